#pragma once

#include <rhubarbtiller/blackboard/blackboard.h>
#include <rhubarbtiller/host/forwardclient.h>
#include <rhubarbtiller/host/serverowner.h>
#include <rhubarbtiller/host/work.h>
#include <rhubarbtiller/limits/borrowing.h>
#include <rhubarbtiller/limits/rateshares.h>
#include <rhubarbtiller/limits/retrybudget.h>
#include <rhubarbtiller/routing/outcometracker.h>
#include <rhubarbtiller/routing/serverchooser.h>
#include <rhubarbtiller/tablestore/changelogstore.h>

#include <asio/awaitable.hpp>

#include <optional>
#include <set>

namespace rhubarbtiller::host {

/// Admits the requests of the organisations whose home this host is, and has them run on backend servers.
///
/// Thread safety: any thread.
class HomeService
{
public:
    /// The objects that a HomeService works with.
    struct Parts
    {
        const Clock &clock;
        const blackboard::Blackboard &board;
        HostId self;
        limits::RateShares &rates;
        limits::TokenBorrower &borrower;
        limits::RetryBudgets &retries;
        routing::ServerChooser &chooser;
        ServerOwner &serverOwner;
        ForwardClient &forwarder;
        peer::PeerNetwork &network;
        tablestore::ChangeLogStore &store;
        RandomSource &random;
        telemetry::SpanExporter &spans;
    };

    /// Precondition: what \p homeParts refers to outlives this object.
    explicit HomeService(const Parts &homeParts);

    /// Admits and runs a request; the reason NoHome says that this host carries no share of the slice's rate.
    ///
    /// Precondition: the work carries no key.
    asio::awaitable<WorkOutcome> run(Work work);

    /// Deducts tokens of a slice whose home this host is, for a sibling slice of the same organisation.
    ///
    /// Returns none if this host is not the home. Precondition: none.
    RequestCount lend(const OrganisationId &organisation, std::uint32_t slice, RequestCount wanted);

private:
    /// What a request was admitted by, so that it can be given back.
    struct Admitted
    {
        limits::RateSlice slice;
        limits::Admission admission;
    };

    std::optional<WorkOutcome> check(const Work &work, const blackboard::RoutingView &view, const config::Route *&route) const;
    asio::awaitable<std::optional<WorkOutcome>>
    admit(const Work &work, const blackboard::RoutingView &view, std::optional<Admitted> &admitted);
    asio::awaitable<bool>
    borrow(const Work &work, const blackboard::RoutingView &view, const config::Organisation &organisation, const limits::RateSlice &slice);
    asio::awaitable<std::optional<WorkOutcome>> claim(const Work &work, std::optional<tablestore::IdempotencyClaim> &claimed);
    asio::awaitable<WorkOutcome> attemptAll(const Work &work, const config::Route &route);
    void noteLoad(const routing::ServerView &server, const WorkOutcome &outcome) const;
    asio::awaitable<WorkOutcome>
    attempt(const Work &work, const routing::ServerView &server, const blackboard::RoutingView &view, MonotonicTime attemptDeadline);
    const config::Host *ownerOf(const ShardId &shard, const blackboard::RoutingView &view, const std::set<HostId> &tried) const;

    Parts parts;
};

} // namespace rhubarbtiller::host
