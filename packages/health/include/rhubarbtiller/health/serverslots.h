#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/result.h>
#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/config/rows.h>
#include <rhubarbtiller/health/errors.h>
#include <rhubarbtiller/health/units.h>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <shared_mutex>
#include <unordered_map>

namespace rhubarbtiller::health {

/// How many requests may wait for one server, and which signs count as a cold restart.
struct SlotSettings
{
    /// Requests that may wait for one server.
    std::size_t maxWaiting = 64;
    /// An answer this many times slower than the recent median of the server is a sign of a cold start.
    double latencyJumpFactor = 3.0;
    /// Jumps below this excess over the median are noise of the network.
    Duration leastLatencyJump = std::chrono::milliseconds(20);
    /// Slow answers in a row that make a jump; a single one is common on a warm server.
    std::uint32_t slowAnswersForJump = 2;
    /// After this long without a running request the server may have restarted unseen: the cold limit holds until the
    /// next success of usual latency. A restart that takes less time than this may stay unseen on an idle server.
    Duration idleBeforeCheck = std::chrono::milliseconds(500);
    /// A request counts as load here for longer than at the server, by its time on the network; the slow start takes this
    /// much longer than the pool's warm-up time.
    double warmUpMargin = 1.25;
    /// How much faster than the clock of this host the clock of the previous owner may run.
    double drift = 0.034;
    /// Successes with one request at a time before a returning server gets its cold limit.
    std::uint32_t probesAfterEjection = 3;
};

/// One request that needs a slot.
struct SlotRequest
{
    OrganisationId organisation;
    /// When the request must have ended; it is not kept waiting past this time.
    MonotonicTime deadline;
};

/// The right to run one request on a server until its deadline. Give it back with ServerSlots::release().
struct SlotLease
{
    SlotLeaseId id;
    BackendServerId server;
    MonotonicTime deadline;
};

/// How a request on a slot ended.
enum class SlotOutcome {
    Success,
    /// A failure that says nothing about a restart, such as a 500 answer or a timeout.
    Failure,
    ConnectionRefused,
    /// A connection that broke while the request was on it; not a stale idle connection.
    ConnectionReset,
    /// The server answered that it sheds load.
    Shed,
    /// Nothing was sent to the server.
    NotSent,
};

/// What an owner that leaves as planned tells the next owner about a server.
struct SlotHandOver
{
    SlotCount limit;
    /// Requests that still run at the old owner.
    SlotCount running;
    /// How long the last of them may take from the moment of the handover.
    Duration runningFor{};
};

/// Decides at the one owner host of a backend server how many requests it gets at the same time.
///
/// The limit starts at the pool's cold slots and grows to its full slots while the server succeeds under load. Signs
/// of a cold restart set it back at once. No request is granted a slot while as many requests as the limit are
/// running; requests that were running when the limit was set back are left to end. Waiting requests are served by
/// the fewest running requests of their organisation, then in turn, and first come first served inside an
/// organisation. A full queue refuses the latest request of the organisation with the most waiting requests.
///
/// Thread safety: all methods from any thread. Each server has a mutex: its owner handles a few hundred requests a
/// second, so waiting for it is rare. Handlers are called outside the mutex, on the thread whose call decided them.
class ServerSlots
{
public:
    using Handler = std::function<void(Result<SlotLease>)>;

    explicit ServerSlots(SlotSettings slotSettings = {});
    ~ServerSlots();
    ServerSlots(const ServerSlots &) = delete;
    ServerSlots &operator=(const ServerSlots &) = delete;

    /// Starts to act for a server after an unplanned change, with an unknown state of the server.
    ///
    /// Nothing is granted before \p takeOverAt, since requests of the previous owner may still run. Calling it again
    /// for a server with requests of this host keeps counting them.
    /// Precondition: \p takeOverAt is at least one vote lease and the largest time limit of a request after the
    /// previous owner can last have renewed, unless there was none. \p ownedUntil is the deadline of the votes.
    void takeOver(const BackendServerId &server,
                  const config::Pool &pool,
                  MonotonicTime takeOverAt,
                  MonotonicTime ownedUntil,
                  MonotonicTime now);

    /// Starts to act for a server that its previous owner handed over.
    ///
    /// Requests that still run at the previous owner use up slots until they must have ended.
    /// Precondition: \p handOver was made by the direct previous owner; a copy that was delayed past another
    /// change of owner must be dropped by the caller.
    void receive(const BackendServerId &server,
                 const config::Pool &pool,
                 const SlotHandOver &handOver,
                 MonotonicTime ownedUntil,
                 MonotonicTime now);

    /// Moves the deadline of the ownership forward; returns false if it had passed, so that takeOver() is needed.
    ///
    /// Precondition: the votes are held until \p ownedUntil.
    bool extendOwnership(const BackendServerId &server, MonotonicTime ownedUntil, MonotonicTime now);

    /// Takes over changed values of the pool. Precondition: none.
    void reconfigure(const BackendServerId &server, const config::Pool &pool, MonotonicTime now);

    /// Stops acting for a server and returns what the next owner needs; refuses all waiting requests.
    ///
    /// Returns nothing if this host does not own the server or still holds back. Precondition: none.
    std::optional<SlotHandOver> handOver(const BackendServerId &server, MonotonicTime now);

    /// Stops acting for a server whose votes were lost; refuses all waiting requests. Precondition: none.
    void stopOwning(const BackendServerId &server, MonotonicTime now);

    /// Asks for a slot; \p handler is called exactly once with a lease or a HealthError, possibly before this returns.
    ///
    /// Precondition: none. A refused request was not run.
    SlotTicket acquire(const BackendServerId &server, const SlotRequest &request, MonotonicTime now, Handler handler);

    /// Withdraws a waiting request and calls its handler with HealthError::Cancelled.
    ///
    /// Returns false if the request no longer waits. Precondition: none.
    bool cancel(const BackendServerId &server, SlotTicket ticket);

    /// Gives a slot back and learns from the outcome. \p latency is that of the server alone.
    ///
    /// Precondition: the request has ended at this host. A second call for the same lease changes nothing.
    void release(const SlotLease &lease, SlotOutcome outcome, Duration latency, MonotonicTime now);

    /// Counts a sign of a restart outside of requests, such as the loss of all idle connections. Precondition: none.
    void noteRestartSign(const BackendServerId &server, MonotonicTime now);

    /// Lets a server return from ejection: single probing requests first, then a slow start. Precondition: none.
    void returnFromEjection(const BackendServerId &server, MonotonicTime now);

    /// Refuses waiting requests past their deadline and grants slots that became free by time.
    ///
    /// Precondition: called at least once a second, since it also forgets idle organisations.
    void advance(MonotonicTime now);

    /// Returns when advance() has something to do next, if nothing else happens. Precondition: none.
    std::optional<MonotonicTime> nextEventAt() const;

    /// Returns the load for server choice; nothing if this host may not act for the server. Precondition: none.
    std::optional<LoadFigure> load(const BackendServerId &server, MonotonicTime now) const;

    /// Returns how many requests the server may have now; 0 if this host may not act for it. Precondition: none.
    SlotCount limit(const BackendServerId &server, MonotonicTime now) const;

    /// Returns how many requests of this host run on the server. Precondition: none.
    SlotCount running(const BackendServerId &server) const;

private:
    struct Server;

    std::shared_ptr<Server> find(const BackendServerId &server) const;
    std::shared_ptr<Server> findOrCreate(const BackendServerId &server);

    SlotSettings settings;
    mutable std::shared_mutex serversMutex;
    std::unordered_map<BackendServerId, std::shared_ptr<Server>> servers;
    std::atomic<std::uint64_t> nextId{1};
};

} // namespace rhubarbtiller::health
