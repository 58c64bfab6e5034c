#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/base/strongnumber.h>

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace rhubarbtiller::testing {

/// Identifies one call of a caller; unique in a history and sent along as X-Caller-Tag.
using CallTag = StrongId<struct CallTagTag>;

/// A request that a caller sent.
struct CallRecord
{
    CallTag tag;
    HostId host;
    /// The organisation of the key that the call carried; empty if it carried no valid key.
    OrganisationId organisation;
    KeyName key;
    bool isOpenToAll = false;
    bool isIdempotent = true;
    /// The value of the Idempotency-Key header; empty for none.
    std::string idempotencyKey;
    WallTime sentAt;
};

/// A response from a backend server that a caller received as whole by its framing.
struct AnswerRecord
{
    CallTag tag;
    /// What the body says about the request that it answers.
    CallTag answeredTag;
    OrganisationId answeredOrganisation;
    /// Whether the body was what the backend server was asked for, to its last byte.
    bool isIntact = true;
    WallTime receivedAt;
};

enum class ExecutionClaim {
    NotRun,
    Ran,
    Unknown,
};

/// A response of the system that says that there is no answer.
struct RefusalRecord
{
    CallTag tag;
    int status = 503;
    std::string reason;
    ExecutionClaim claim = ExecutionClaim::Unknown;
    WallTime receivedAt;
};

/// A call whose connection ended without a whole response.
struct BrokenCallRecord
{
    CallTag tag;
    /// False if the connection was refused, so that no request was interrupted.
    bool wasConnected = true;
    WallTime at;
};

/// A run of a request on a backend server, as the server recorded it.
struct ExecutionRecord
{
    BackendServerId server;
    CallTag tag;
    OrganisationId organisation;
    /// Requests running on the server at the start, this one included.
    std::uint32_t concurrency = 1;
    bool wasCold = false;
    bool containsSecret = false;
    WallTime startedAt;
};

enum class ConfigurationEvent {
    KeyGranted,
    KeyRevoked,
    DomainWithdrawn,
    DomainReturned,
    ServerDrained,
    ServerReturned,
};

/// A change that was accepted.
struct ConfigurationRecord
{
    ConfigurationEvent event = ConfigurationEvent::KeyGranted;
    /// The name of the key, failure domain or backend server.
    std::string subject;
    WallTime acceptedAt;
};

/// A rate that was accepted for an organisation; also those at the beginning.
struct RateRecord
{
    OrganisationId organisation;
    RequestRate rate;
    RequestCount burst;
    WallTime acceptedAt;
};

/// A version that was accepted.
struct AcceptedVersionRecord
{
    ConfigVersion version;
    WallTime acceptedAt;
};

/// The version by which a host served at a time.
struct VersionInForceRecord
{
    HostId host;
    ConfigVersion version;
    WallTime at;
};

/// A planned stop of a host, from the signal to the end of the process.
struct PlannedStopRecord
{
    HostId host;
    WallTime beganAt;
    WallTime endedAt;
};

/// A server that was ejected from its pool or came back.
struct EjectionRecord
{
    BackendServerId server;
    bool isEjected = true;
    WallTime at;
};

/// What the checkers need to know about a backend server.
struct ServerDescription
{
    PoolName pool;
    FailureDomainId failureDomain;
    SlotCount coldSlots{1};
};

/// Everything that happened in a run.
struct History
{
    std::vector<CallRecord> calls;
    std::vector<AnswerRecord> answers;
    std::vector<RefusalRecord> refusals;
    std::vector<BrokenCallRecord> brokenCalls;
    std::vector<ExecutionRecord> executions;
    std::vector<ConfigurationRecord> configuration;
    std::vector<RateRecord> rates;
    std::vector<AcceptedVersionRecord> acceptedVersions;
    std::vector<VersionInForceRecord> versionsInForce;
    std::vector<PlannedStopRecord> plannedStops;
    std::vector<EjectionRecord> ejections;
    std::map<BackendServerId, ServerDescription> servers;
    std::map<PoolName, Percent> floors;
};

/// Collects a history from many threads.
///
/// Thread safety: any thread.
class HistoryRecorder
{
public:
    void record(CallRecord entry);
    void record(AnswerRecord entry);
    void record(RefusalRecord entry);
    void record(BrokenCallRecord entry);
    void record(ExecutionRecord entry);
    void record(ConfigurationRecord entry);
    void record(RateRecord entry);
    void record(AcceptedVersionRecord entry);
    void record(VersionInForceRecord entry);
    void record(PlannedStopRecord entry);
    void record(EjectionRecord entry);
    void describe(BackendServerId server, ServerDescription description);
    void describe(PoolName pool, Percent floor);

    /// Returns what was recorded so far. Precondition: none.
    History history() const;

private:
    mutable std::mutex mutex;
    History collected;
};

/// One event that breaks an invariant.
struct Violation
{
    /// "I1" to "I13".
    std::string invariant;
    std::string description;

    bool operator==(const Violation &) const = default;
};

/// The tolerances of the checkers.
struct CheckBounds
{
    /// How long an accepted change may take to be in force everywhere.
    std::chrono::milliseconds changeBound{5000};
    /// Executions above rate and burst that come from the time between admission and start, not from the system.
    double rateTolerance = 0;
};

/// I1: ejection leaves at least the floor of each pool.
std::vector<Violation> checkFloor(const History &history);

/// I2: a request runs only for the organisation of its key, unless its route is open to all.
std::vector<Violation> checkOwnOrganisation(const History &history);

/// I3: no backend server sees a key.
std::vector<Violation> checkKeyHidden(const History &history);

/// I4: nothing runs for a revoked key after the bound.
std::vector<Violation> checkRevokedKey(const History &history, const CheckBounds &bounds = {});

/// I5: the calls that run for an organisation stay within its rate and burst. A repetition of a call counts once.
std::vector<Violation> checkRate(const History &history, const CheckBounds &bounds = {});

/// I6: a cold backend server runs no more requests at a time than it bears.
std::vector<Violation> checkColdStart(const History &history);

/// I7: nothing starts in a withdrawn failure domain after the bound.
std::vector<Violation> checkWithdrawnDomain(const History &history, const CheckBounds &bounds = {});

/// I8: each answer is the whole answer to the caller's own call, and a call has one outcome.
std::vector<Violation> checkOwnAnswer(const History &history);

/// I9: a refusal that says "not run" or "ran" is true.
std::vector<Violation> checkTrueRefusal(const History &history);

/// I10: a call that is not idempotent runs at most once, also over calls with the same idempotency key.
std::vector<Violation> checkAtMostOnce(const History &history);

/// I11: nothing starts on a leaving backend server after the bound.
std::vector<Violation> checkLeavingServer(const History &history, const CheckBounds &bounds = {});

/// I12: a planned stop breaks no call.
std::vector<Violation> checkPlannedStop(const History &history);

/// I13: an accepted version is in force everywhere after the bound and no host goes back.
std::vector<Violation> checkConfiguration(const History &history, const CheckBounds &bounds = {});

/// Runs all checkers.
std::vector<Violation> checkAll(const History &history, const CheckBounds &bounds = {});

} // namespace rhubarbtiller::testing
