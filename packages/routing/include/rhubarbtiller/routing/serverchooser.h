#pragma once

#include <rhubarbtiller/base/random.h>
#include <rhubarbtiller/routing/poolview.h>

#include <set>

namespace rhubarbtiller::routing {

/// Chooses the backend server for the next attempt of a request.
class ServerChooser
{
public:
    ServerChooser() = default;
    ServerChooser(const ServerChooser &) = delete;
    ServerChooser &operator=(const ServerChooser &) = delete;
    virtual ~ServerChooser() = default;

    /// Returns a server that is not in \p tried, or nullptr if there is none. Thread safety: any thread.
    virtual const ServerView *choose(const PoolView &pool, const std::set<BackendServerId> &tried, MonotonicTime now) = 0;
};

/// Takes the less loaded of two random servers; servers in other failure domains count as more loaded.
class TwoChoicesChooser : public ServerChooser
{
public:
    /// Precondition: \p random outlives the chooser.
    TwoChoicesChooser(RandomSource &random, FailureDomainId ownDomain);

    const ServerView *choose(const PoolView &pool, const std::set<BackendServerId> &tried, MonotonicTime now) override;

private:
    std::uint64_t cost(const ServerView &view, MonotonicTime now) const;

    RandomSource &randomSource;
    FailureDomainId domain;
};

/// Takes a random server. A baseline for measurements.
class RandomChooser : public ServerChooser
{
public:
    /// Precondition: \p random outlives the chooser.
    explicit RandomChooser(RandomSource &random);

    const ServerView *choose(const PoolView &pool, const std::set<BackendServerId> &tried, MonotonicTime now) override;

private:
    RandomSource &randomSource;
};

} // namespace rhubarbtiller::routing
