#pragma once

#include <string>
#include <string_view>

namespace rhubarbtiller::peer {

// Fixed, so that the parts of the authenticated text cannot be shifted against each other.
static constexpr std::size_t NonceSize = 32;

/// Returns a fresh random nonce. Thread safety: any thread.
std::string makeNonce();

/// Returns what a connecting host proves its knowledge of the credential with. Thread safety: any thread.
std::string
connectorProof(const std::string &credential, std::string_view challengeNonce, std::string_view host, std::string_view connectorNonce);

/// Returns what an accepting host proves its knowledge of the credential with.
///
/// The key differs from that of connectors, so that no connector can be used to make the proof of an acceptor.
/// Thread safety: any thread.
std::string
acceptorProof(const std::string &credential, std::string_view challengeNonce, std::string_view host, std::string_view connectorNonce);

/// Compares two proofs in a time that does not depend on where they differ. Thread safety: any thread.
bool isSameProof(std::string_view left, std::string_view right);

} // namespace rhubarbtiller::peer
