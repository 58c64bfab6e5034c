#include "handshake.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <cstdlib>

namespace rhubarbtiller::peer {

static std::string hmac(const std::string &key, const std::string &text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    HMAC(EVP_sha256(),
         key.data(),
         static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(text.data()),
         text.size(),
         digest.data(),
         &size);
    return {reinterpret_cast<const char *>(digest.data()), size};
}

static std::string joined(std::string_view first, std::string_view second, std::string_view third)
{
    std::string text(first);
    text += second;
    text += third;
    return text;
}

std::string makeNonce()
{
    std::array<unsigned char, NonceSize> nonce{};
    if (RAND_bytes(nonce.data(), static_cast<int>(nonce.size())) != 1) {
        // A predictable nonce would let an old handshake be replayed.
        std::abort();
    }
    return {reinterpret_cast<const char *>(nonce.data()), nonce.size()};
}

std::string
connectorProof(const std::string &credential, std::string_view challengeNonce, std::string_view host, std::string_view connectorNonce)
{
    return hmac(credential, joined(challengeNonce, host, connectorNonce));
}

std::string
acceptorProof(const std::string &credential, std::string_view challengeNonce, std::string_view host, std::string_view connectorNonce)
{
    return hmac(hmac(credential, "acceptor"), joined(connectorNonce, host, challengeNonce));
}

bool isSameProof(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace rhubarbtiller::peer
