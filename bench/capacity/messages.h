#pragma once

#include <rhubarbtiller/peer/messages.h>

#include <cstddef>

namespace rhubarbtiller::bench {

/// Examples of the messages between hosts, with values as long as in the fleet of the target size. Thread safety: any thread.

peer::wire::Envelope voteRequest(std::size_t shards, std::size_t witnesses);
peer::wire::Envelope voteReply(std::size_t shards, std::size_t witnesses);
peer::wire::Envelope serverReport(std::size_t samples);
peer::wire::Envelope ejectionReply(std::size_t grants);

/// The answer of a guardian that does not own the pool.
peer::wire::Envelope notOwnerReply();

/// Returns the bytes of the frame, with its length prefix and without TCP/IP headers. Precondition: none. Thread safety: any thread.
double encodedBytes(const peer::wire::Envelope &message);

} // namespace rhubarbtiller::bench
