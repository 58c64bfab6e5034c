#include <rhubarbtiller/peer/messagededuplicator.h>

#include <cassert>

namespace rhubarbtiller::peer {

MessageDeduplicator::MessageDeduplicator(std::size_t maxEntries, Duration retentionTime, MonotonicTime startedAt)
    : capacity(maxEntries), retention(retentionTime), knownFrom(startedAt + retentionTime)
{
}

StartDecision MessageDeduplicator::onForward(const RequestId &request, MonotonicTime now)
{
    this->forgetOld(now);
    if (const auto found = this->states.find(request); found != this->states.end()) {
        return found->second == State::Barred ? StartDecision::Barred : StartDecision::Duplicate;
    }
    if (this->states.size() >= this->capacity) {
        return StartDecision::TableFull;
    }
    this->states.emplace(request, State::Running);
    return StartDecision::Start;
}

void MessageDeduplicator::onFinished(const RequestId &request, MonotonicTime now)
{
    const auto found = this->states.find(request);
    assert(found != this->states.end() && found->second == State::Running && "a request ended that was not running");
    if (found != this->states.end() && found->second == State::Running) {
        found->second = State::Finished;
        this->forgettable.emplace_back(now + this->retention, request);
    }
}

CancelDecision MessageDeduplicator::onCancel(const RequestId &request, MonotonicTime now)
{
    this->forgetOld(now);
    if (const auto found = this->states.find(request); found != this->states.end()) {
        if (found->second == State::Finished) {
            return CancelDecision::Finished;
        }
        if (found->second == State::Running) {
            return CancelDecision::Running;
        }
    } else {
        if (this->states.size() >= this->capacity) {
            // The request could not be barred, so it might start later.
            return CancelDecision::Running;
        }
        this->states.emplace(request, State::Barred);
        this->forgettable.emplace_back(now + this->retention, request);
    }
    return now < this->knownFrom ? CancelDecision::Running : CancelDecision::NeverStarted;
}

std::size_t MessageDeduplicator::size() const
{
    return this->states.size();
}

void MessageDeduplicator::forgetOld(MonotonicTime now)
{
    while (!this->forgettable.empty() && this->forgettable.front().first <= now) {
        this->states.erase(this->forgettable.front().second);
        this->forgettable.pop_front();
    }
}

} // namespace rhubarbtiller::peer
