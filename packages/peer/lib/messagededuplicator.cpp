#include <rhubarbtiller/peer/messagededuplicator.h>

#include <cassert>

namespace rhubarbtiller::peer {

bool MessageDeduplicator::start(const RequestId &id, MonotonicTime now)
{
    this->dropExpired(now);
    return this->states.try_emplace(id, State::Running).second;
}

void MessageDeduplicator::finish(const RequestId &id, MonotonicTime now)
{
    assert(this->states.contains(id) && "a request must start before it finishes");
    this->remember(id, State::Finished, now);
}

CancelOutcome MessageDeduplicator::cancel(const RequestId &id, MonotonicTime now)
{
    this->dropExpired(now);
    const auto found = this->states.find(id);
    if (found == this->states.end()) {
        this->remember(id, State::Barred, now);
        return CancelOutcome::NeverStarted;
    }
    switch (found->second) {
    case State::Running:
        return CancelOutcome::Running;
    case State::Finished:
        return CancelOutcome::Finished;
    case State::Barred:
        break;
    }
    return CancelOutcome::NeverStarted;
}

void MessageDeduplicator::remember(const RequestId &id, State state, MonotonicTime now)
{
    this->states[id] = state;
    this->expiries.push_back({now + RetentionTime, id});
}

void MessageDeduplicator::dropExpired(MonotonicTime now)
{
    while (!this->expiries.empty() && (this->expiries.front().at <= now || this->expiries.size() > MaxEntries)) {
        this->states.erase(this->expiries.front().id);
        this->expiries.pop_front();
    }
}

} // namespace rhubarbtiller::peer
