#include "handshake.h"

#include <rhubarbtiller/base/digest.h>

#include <openssl/rand.h>

#include <array>
#include <cstdlib>

namespace rhubarbtiller::peer {

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
    return hmacSha256(credential, joined(challengeNonce, host, connectorNonce));
}

std::string
acceptorProof(const std::string &credential, std::string_view challengeNonce, std::string_view host, std::string_view connectorNonce)
{
    return hmacSha256(hmacSha256(credential, "acceptor"), joined(connectorNonce, host, challengeNonce));
}

bool isSameProof(std::string_view left, std::string_view right)
{
    return isEqualInConstantTime(left, right);
}

} // namespace rhubarbtiller::peer
