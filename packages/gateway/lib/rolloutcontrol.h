#pragma once

#include "statesync.h"

#include <rhubarbtiller/balance/hostdirectory.h>
#include <rhubarbtiller/balance/rollout.h>
#include <rhubarbtiller/balance/scoreboard.h>
#include <rhubarbtiller/telemetry/metrics.h>

#include "fleet_types.h"

namespace rhubarbtiller::gateway {

/// Carries out the decisions on roll-outs: follows the orders, reads and writes the states in the store, and exchanges reports.
///
/// Without an order it does nothing. Thread safety: the thread of the serving context.
class RolloutControl
{
public:
    struct Parts
    {
        asio::io_context &serving;
        /// The context that calls the source.
        asio::io_context &control;
        const Clock &clock;
        RandomSource &random;
        const balance::HostDirectory &directory;
        const balance::Scoreboard &board;
        StateSource &source;
        const StateDecoder &decoder;
        telemetry::Metrics &metrics;
        balance::RolloutBounds bounds;
        std::vector<FailureDomainId> failureDomains;
        /// Returns whether this host reads the store and had a response lately.
        std::function<bool()> isInContact;
    };

    /// Precondition: the objects that \p controlParts refers to outlive this object and the calls of the source.
    explicit RolloutControl(Parts controlParts);

    /// Follows a new state. Precondition: none.
    void onState(std::shared_ptr<const catalog::FleetState> state);

    /// Updates verdicts and the rows of the store where that is due; to be called several times a second. Precondition: none.
    void update();

    /// Returns the versions of servers that a request may be sent to. Precondition: none.
    balance::VersionFilter filterFor(const catalog::ServiceName &service, bool isIdempotent, bool hasUsedTarget) const;

    /// Returns the versions in place of those of \p filter if no server of these is available, or nothing. Precondition: none.
    std::optional<balance::VersionFilter> alternativeTo(const catalog::ServiceName &service, const balance::VersionFilter &filter) const;

    /// Counts a request to a server; returns the ticket for onEnded(), or 0 without a roll-out. Precondition: none.
    std::uint64_t onSent(const catalog::ServerEntry &server, const RouteName &route, bool isFirst);

    /// Counts the end of a request. Precondition: none; unknown tickets are ignored.
    void onEnded(const catalog::ServiceName &service, std::uint64_t ticket, balance::RolloutResult result);

    /// Returns the states for other hosts; with \p hasCells including the counts, if this host has requests. Precondition: none.
    std::vector<wire::RolloutState> states(bool hasCells) const;

    /// Processes the states of another host. Precondition: none.
    void onStates(const HostId &host, Incarnation incarnation, const std::vector<wire::RolloutState> &states);

    /// Returns the roll-outs for the state page, as a JSON array. Precondition: none.
    std::string describe() const;

private:
    struct Entry
    {
        balance::Rollout rollout;
        balance::RolloutSurroundings surroundings{};
        /// When this host first saw each server of the target.
        std::map<BackendServerId, MonotonicTime> targetsSince{};
        /// Versions of earlier roll-outs of the service that were not completed.
        std::set<catalog::ServiceVersion> rejected{};
        bool isWithdrawn = false;
        bool isWriting = false;
        /// The state that was due at the last read, and since when; other hosts write it first.
        std::optional<catalog::RolloutPhase> duePhase{};
        MonotonicTime dueSince{};
        catalog::RolloutPhase loggedPhase = catalog::RolloutPhase::Ordered;
        bool isCondemnationLogged = false;
    };

    void updateSurroundings(Entry &entry, MonotonicTime now);
    void logChanges(Entry &entry);
    bool shouldReadStore(MonotonicTime now) const;
    void readStore(MonotonicTime now);
    void onRows(const Result<SourceBatch> &batch);
    void writeIfDue(Entry &entry, std::uint64_t rowVersion, MonotonicTime now);
    Duration writeDelay() const;

    Parts parts;
    std::shared_ptr<const catalog::FleetState> state;
    std::map<catalog::ServiceName, Entry> entries;
    bool hasConfiguration = false;
    /// Since when this host has been in contact with other hosts or the store; the end of time while it is not.
    MonotonicTime contactSince = MonotonicTime::max();
    MonotonicTime nextUpdateAt{};
    MonotonicTime nextReadAt{};
    bool isReading = false;
};

} // namespace rhubarbtiller::gateway
