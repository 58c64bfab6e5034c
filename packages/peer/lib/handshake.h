#pragma once

#include <rhubarbtiller/base/strongid.h>

#include <peer_types.h>

#include <optional>
#include <string>

namespace rhubarbtiller::peer {

/// The mutual proof of the shared credential at the beginning of a connection.
///
/// The accepting side sends a nonce; the connecting side answers with its name, a nonce of its own and an
/// HMAC-SHA256 of all of them; the accepting side proves the credential over the connecting side's nonce. The two
/// codes cover different texts, so that neither can be reflected. Thread safety: any thread.
class Handshake
{
public:
    Handshake(HostId ownId, std::string sharedCredential);

    /// Returns the first frame's message of the accepting side. Precondition: none.
    wire::Challenge challenge() const;

    /// Returns the connecting side's answer. Precondition: none.
    wire::ChallengeResponse respond(const wire::Challenge &challenge) const;

    /// Returns the name of the connecting side if it has the credential. Precondition: \p challenge was sent to it.
    std::optional<HostId> verify(const wire::Challenge &challenge, const wire::ChallengeResponse &response) const;

    /// Returns the accepting side's proof. Precondition: verify() succeeded.
    wire::ChallengeProof prove(const wire::ChallengeResponse &response) const;

    /// Returns the name of the accepting side if it has the credential. Precondition: \p response was sent to it.
    std::optional<HostId> verify(const wire::ChallengeResponse &response, const wire::ChallengeProof &proof) const;

private:
    std::string responseCode(const std::string &challengeNonce, const wire::ChallengeResponse &response) const;
    std::string proofCode(const wire::ChallengeResponse &response, const std::string &host) const;

    HostId self;
    std::string credential;
};

} // namespace rhubarbtiller::peer
