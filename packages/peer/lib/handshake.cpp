#include "handshake.h"

#include <rhubarbtiller/base/digest.h>
#include <rhubarbtiller/base/random.h>

namespace rhubarbtiller::peer {

static constexpr std::size_t NonceDigits = 32;

static std::string newNonce()
{
    SystemRandom random;
    return randomHex(random, NonceDigits);
}

Handshake::Handshake(HostId ownId, std::string sharedCredential) : self(std::move(ownId)), credential(std::move(sharedCredential))
{
}

wire::Challenge Handshake::challenge() const
{
    wire::Challenge message;
    message.nonce = newNonce();
    return message;
}

std::string Handshake::responseCode(const std::string &challengeNonce, const wire::ChallengeResponse &response) const
{
    return hmacSha256(this->credential, "response\n" + challengeNonce + "\n" + response.nonce + "\n" + response.host);
}

std::string Handshake::proofCode(const wire::ChallengeResponse &response, const std::string &host) const
{
    return hmacSha256(this->credential, "proof\n" + response.nonce + "\n" + host);
}

wire::ChallengeResponse Handshake::respond(const wire::Challenge &challenge) const
{
    wire::ChallengeResponse response;
    response.host = this->self.text();
    response.nonce = newNonce();
    response.mac = this->responseCode(challenge.nonce, response);
    return response;
}

std::optional<HostId> Handshake::verify(const wire::Challenge &challenge, const wire::ChallengeResponse &response) const
{
    if (!isEqualInConstantTime(response.mac, this->responseCode(challenge.nonce, response))) {
        return std::nullopt;
    }
    return HostId(response.host);
}

wire::ChallengeProof Handshake::prove(const wire::ChallengeResponse &response) const
{
    wire::ChallengeProof proof;
    proof.host = this->self.text();
    proof.mac = this->proofCode(response, proof.host);
    return proof;
}

std::optional<HostId> Handshake::verify(const wire::ChallengeResponse &response, const wire::ChallengeProof &proof) const
{
    if (!isEqualInConstantTime(proof.mac, this->proofCode(response, proof.host))) {
        return std::nullopt;
    }
    return HostId(proof.host);
}

} // namespace rhubarbtiller::peer
