#include "digest.h"

#include <openssl/sha.h>

#include <array>

namespace rhubarbtiller::platform {

std::string sha256Hex(std::string_view text)
{
    static constexpr char Digits[] = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    std::string hex;
    hex.reserve(2 * digest.size());
    for (const unsigned char byte : digest) {
        hex += Digits[byte >> 4];
        hex += Digits[byte & 0xf];
    }
    return hex;
}

} // namespace rhubarbtiller::platform
