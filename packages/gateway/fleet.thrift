// Messages between hosts. Regenerate with: thrift --gen cpp:no_skeleton -out generated fleet.thrift
namespace cpp rhubarbtiller.gateway.wire

// Heartbeat of a host.
struct HostBeat {
    1: string host
    2: string failureDomain
    3: string callerAddress
    4: string peerAddress
    5: string controlAddress
    6: i64 incarnation
    7: bool isLeaving
    8: i32 beatIntervalMs
    // Store version of this host's replica of each table.
    9: i64 configurationVersion
    10: i64 serversVersion
    // Time since the last response of the store to this host; negative if it does not read the store itself.
    11: i32 storeContactAgeMs
    // Whether it handles requests of organisations.
    12: bool isServing
    // Whether it is an entry host of its failure domain by its own view.
    13: bool isEntry
    // Thousandths of a processor core that the host may use.
    14: i32 milliCores
    // Part of the limits of its failure domain, in thousandths, that it and the hosts whose heartbeats it receives may use.
    15: i32 reachPermille = 1000
    // Hosts of its failure domain among which it divides the limits, lost ones included; 0 if unknown.
    16: i32 domainHosts
    // Eras of the store in which its versions count.
    17: i64 configurationEra
    18: i64 serversEra
}

// Fields of a heartbeat that may change; the addresses come from a full heartbeat of the same incarnation.
struct HostBrief {
    1: string host
    2: i64 incarnation
    3: bool isLeaving
    4: bool isServing
    5: bool isEntry
    6: i32 beatIntervalMs
    7: i64 configurationVersion
    8: i64 serversVersion
    9: i32 storeContactAgeMs
    10: i32 reachPermille = 1000
    11: i32 domainHosts
    12: i64 configurationEra
    13: i64 serversEra
}

struct ServerEvidence {
    1: string server
    2: i8 evidence
}

struct ServerLoad {
    1: string server
    2: i32 outstanding
}

struct Admissions {
    1: string organisation
    2: i64 admitted
    // The part of it that no earlier report contained.
    3: i64 sinceLastReport
}

// Admissions of the fleet for an organisation in the last window, as recorded at the sender.
struct WindowUse {
    1: string organisation
    // Admissions at the sender itself since it started.
    2: i64 admitted
    // Upper bound of admissions whose reports the sender may not have received.
    3: double assumed
    // By age in slices of the window, the newest first.
    4: list<i32> bySlice
}

// Sums of one host since its start for one route of a service, at servers of the target or at the others.
struct RolloutCell {
    1: string route
    2: bool isTarget
    3: i64 successes
    4: i64 failures
    5: i64 broken
    6: i64 judged
    7: i64 slow
    // By bucket of the latency histogram; without the empty buckets at its end.
    8: list<i32> latencies
}

// The state of a roll-out at a host; in heartbeats without cells.
struct RolloutState {
    1: string serviceName
    2: string targetVersion
    // Unset while the host does not know the phase.
    3: optional i8 phase
    4: bool isCondemned
    5: i32 orderAgeMs
    // Requests in progress at servers of the service, and those at servers of other versions than the target.
    6: i32 inProgress
    7: i32 inProgressAtOthers
    8: list<RolloutCell> cells
    // Sets of servers by hash values.
    9: i64 failingServers
    10: i64 slowServers
}

struct Datagram {
    1: optional HostBeat sender
    // Announcements of hosts that may be unknown to the receiver.
    2: optional list<HostBeat> mentioned
    3: optional list<ServerEvidence> evidence
    4: optional list<ServerLoad> loads
    5: optional list<Admissions> admissions
    // Requests announcements of the entry hosts known to the receiver.
    6: optional bool wantsMentions
    // Requests the admissions of the fleet in the last window from a serving host.
    7: optional bool wantsWindowUses
    8: optional list<WindowUse> windowUses
    // Whether organisations that are not in windowUses have no admissions in the window.
    9: optional bool namesAllUses
    // Replaces the sender's full heartbeat in frequent datagrams.
    10: optional HostBrief brief
    11: optional list<RolloutState> rollouts
}

// One row of a table of the store.
struct ReplicaRow {
    1: string key
    2: binary value
    3: i64 version
    // Age of the row at the sender, so that times relative to its arrival stay correct.
    4: i64 ageMs
    5: i64 era
}

// Response to a peer whose replica is behind.
struct ReplicaAnswer {
    1: i64 version
    // Rows that are newer than the replica of the peer.
    2: list<ReplicaRow> rows
    // All keys of the table, any other was removed; set if the sender has no history of the removals since the peer's version.
    3: optional list<string> keys
    // Keys that were removed since the peer's version; the rows are newer.
    4: optional list<string> removed
    5: i64 era
    // Keys of rows that the store lists since its return although they were removed before, and how long they do not count yet.
    6: optional list<string> withheld
    7: i32 withheldMs
}
