#include <rhubarbtiller/base/digest.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

namespace rhubarbtiller {

std::string sha256Hex(std::string_view text)
{
    static constexpr char Digits[] = "0123456789abcdef";
    unsigned char digest[SHA256_DIGEST_LENGTH];
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest);
    std::string hex;
    hex.reserve(2 * sizeof(digest));
    for (const unsigned char byte : digest) {
        hex.push_back(Digits[byte >> 4]);
        hex.push_back(Digits[byte & 0xf]);
    }
    return hex;
}

std::string hmacSha256(std::string_view key, std::string_view text)
{
    unsigned char digest[SHA256_DIGEST_LENGTH];
    unsigned length = sizeof(digest);
    HMAC(EVP_sha256(),
         key.data(),
         static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(text.data()),
         text.size(),
         digest,
         &length);
    return {reinterpret_cast<const char *>(digest), length};
}

bool isEqualInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace rhubarbtiller
