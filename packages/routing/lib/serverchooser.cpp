#include <rhubarbtiller/routing/serverchooser.h>

#include <vector>

namespace rhubarbtiller::routing {

// A crossing costs about 1.5 ms, so a server of the own domain is preferred until it has half a slot more work.
static constexpr std::uint64_t CrossingFigure = 250;

TwoChoicesChooser::TwoChoicesChooser(RandomSource &random, FailureDomainId ownDomain) : randomSource(random), domain(std::move(ownDomain))
{
}

std::uint64_t TwoChoicesChooser::cost(const ServerView &view, MonotonicTime now) const
{
    const std::uint64_t crossing = view.server.failureDomain == this->domain ? 0 : CrossingFigure;
    return view.load->figure(now) + crossing;
}

static std::vector<const ServerView *> candidates(const PoolView &pool, const std::set<BackendServerId> &tried, MonotonicTime now)
{
    std::vector<const ServerView *> usable;
    std::vector<const ServerView *> avoided;
    for (const auto &view : pool.servers) {
        if (tried.contains(view.server.id)) {
            continue;
        }
        (view.load->isAvoided(now) ? avoided : usable).push_back(&view);
    }
    // A server that its owner refused a moment ago is better than no server.
    return usable.empty() ? avoided : usable;
}

const ServerView *TwoChoicesChooser::choose(const PoolView &pool, const std::set<BackendServerId> &tried, MonotonicTime now)
{
    const auto usable = candidates(pool, tried, now);
    if (usable.empty()) {
        return nullptr;
    }
    const ServerView *first = usable[this->randomSource.below(usable.size())];
    const ServerView *second = usable[this->randomSource.below(usable.size())];
    return this->cost(*second, now) < this->cost(*first, now) ? second : first;
}

RandomChooser::RandomChooser(RandomSource &random) : randomSource(random)
{
}

const ServerView *RandomChooser::choose(const PoolView &pool, const std::set<BackendServerId> &tried, MonotonicTime now)
{
    const auto usable = candidates(pool, tried, now);
    return usable.empty() ? nullptr : usable[this->randomSource.below(usable.size())];
}

} // namespace rhubarbtiller::routing
