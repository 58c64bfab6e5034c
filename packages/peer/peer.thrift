// The messages between hosts; see docs/design.md section 5. Generate with scripts/generate-peer-messages.
namespace cpp rhubarbtiller.peer.wire

// What one witness reported, and how long ago the report was requested.
struct WitnessEvidence {
  1: string host
  2: i64 version
  3: i64 ageMicros
}

// The newest evidence that a host has of the version in force.
struct EvidenceVector {
  1: i64 storeVersion
  // -1 when no read of the store is known.
  2: i64 storeAgeMicros = -1
  3: list<WitnessEvidence> witnesses
  // The newest version that the sender knows to be settled.
  4: i64 settledVersion
}

struct VoteRequest {
  1: string holder
  2: i64 incarnation
  3: i64 configVersion
  4: list<i32> wanted
  5: list<i32> released
  6: EvidenceVector evidence
  7: i64 sequence
  8: bool hearsReplies
  // Set while the holder is shutting down.
  9: bool leaving = false
}

struct VoteReply {
  1: list<i32> granted
  2: i64 configVersion
  3: EvidenceVector evidence
  // Set while the guardian is shutting down, so that holders stop routing new work to it.
  4: bool leaving = false
}

struct WireHeader {
  1: string name
  2: string value
}

enum ForwardStage {
  ADMISSION = 1,
  DISPATCH = 2,
}

enum Execution {
  NOT_RUN = 1,
  RAN = 2,
  UNKNOWN = 3,
}

struct ForwardRequest {
  1: string requestId
  2: ForwardStage stage
  3: string method
  4: string target
  5: list<WireHeader> headers
  6: binary body
  7: i64 remainingMicros
  8: string organisation
  9: string keyDigest
  10: string route
  11: i32 slice
  12: string backendServer
  13: string traceParent
  14: i64 configVersion
}

struct ForwardReply {
  1: Execution execution
  // Set for a whole response of a backend server; unset for a refusal.
  2: bool hasResponse
  3: i32 status
  4: list<WireHeader> headers
  5: binary body
  6: string reason
  7: i64 retryAfterMicros = -1
  // Requests in progress and waiting at the server, relative to its limit in thousandths; -1 when unknown.
  8: i32 loadPermille = -1
}

struct CancelRequest {
  1: string requestId
}

enum CancelState {
  NEVER_STARTED = 1,
  RUNNING = 2,
  FINISHED = 3,
}

struct CancelReply {
  1: CancelState state
}

struct BorrowRequest {
  1: string organisation
  2: i32 slice
  3: i32 wanted
}

struct BorrowReply {
  1: i32 lent
}

// Counters of one server in one reporting period, by organisation bucket.
struct ServerSample {
  1: string server
  2: list<i32> successes
  3: list<i32> failures
  4: i32 medianLatencyMicros
  5: i32 slowAnswers
  6: i32 failuresInRow
}

// A server that the sender holds an ejection lease for.
struct HeldEjection {
  1: string server
  2: bool isInForce
}

struct ServerReport {
  1: string pool
  2: list<ServerSample> samples
  3: list<HeldEjection> held
  // The epoch of the pool owner that the sender last read in a reply; 0 for none.
  4: i64 knownEpoch
}

struct EjectionGrant {
  1: string server
  2: i64 validForMicros
  3: string evidence
}

struct ServerWeightAdvice {
  1: string server
  2: i32 weightPermille
}

struct EjectionReply {
  1: bool isPoolOwner
  2: list<EjectionGrant> grants
  3: list<ServerWeightAdvice> weights
  4: i64 epoch
}

struct ConfigRequest {
  1: i64 afterVersion
}

struct ConfigReply {
  1: i64 version
  // Changes in rising order, as stored; empty when a snapshot is sent.
  2: list<binary> changes
  3: binary snapshot
}

// One frame after the handshake. Exactly one of the optional fields is set.
struct Envelope {
  1: i64 callId
  2: bool isReply
  10: optional VoteRequest voteRequest
  11: optional VoteReply voteReply
  12: optional ForwardRequest forwardRequest
  13: optional ForwardReply forwardReply
  14: optional CancelRequest cancelRequest
  15: optional CancelReply cancelReply
  16: optional BorrowRequest borrowRequest
  17: optional BorrowReply borrowReply
  18: optional ServerReport serverReport
  19: optional EjectionReply ejectionReply
  20: optional ConfigRequest configRequest
  21: optional ConfigReply configReply
}

// The first frame of the accepting side.
struct Challenge {
  1: binary nonce
}

// The first frame of the connecting side: HMAC-SHA256 of the nonce under the shared credential.
struct ChallengeResponse {
  1: string host
  2: binary nonce
  3: binary mac
}

// The second frame of the accepting side: HMAC-SHA256 of both nonces and its name, under a key derived for acceptors.
struct ChallengeAccepted {
  1: string host
  2: binary mac
}
