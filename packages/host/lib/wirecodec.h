#pragma once

#include <rhubarbtiller/health/evidence.h>
#include <rhubarbtiller/host/work.h>
#include <rhubarbtiller/membership/freshness.h>
#include <rhubarbtiller/membership/votes.h>

#include <rhubarbtiller/peer/messages.h>

namespace rhubarbtiller::host {

/// Conversions between decision types and messages. Thread safety: any thread.

peer::wire::EvidenceVector toWire(const membership::EvidenceVector &evidence);
membership::EvidenceVector fromWire(const peer::wire::EvidenceVector &message);

peer::wire::VoteRequest toWire(const membership::VoteRequest &request);
membership::VoteRequest fromWire(const peer::wire::VoteRequest &message);

peer::wire::VoteReply toWire(const membership::VoteReply &reply);
membership::VoteReply fromWire(const peer::wire::VoteReply &message);

peer::wire::ServerSample toWire(const health::ServerSample &sample);
health::ServerSample fromWire(const peer::wire::ServerSample &message);

/// \p server is empty in the admission stage.
peer::wire::ForwardRequest toWire(const Work &work, const BackendServerId &server, MonotonicTime now);
Work fromWire(const peer::wire::ForwardRequest &message, MonotonicTime now);

peer::wire::ForwardReply toWire(const WorkOutcome &outcome);
WorkOutcome fromWire(const peer::wire::ForwardReply &message);

} // namespace rhubarbtiller::host
