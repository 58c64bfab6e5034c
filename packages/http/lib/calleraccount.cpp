#include <rhubarbtiller/http/calleraccount.h>

namespace rhubarbtiller::http {

std::string_view closureReasonName(ClosureReason reason)
{
    switch (reason) {
    case ClosureReason::RequestMemory:
        return "request_memory";
    case ClosureReason::ConnectionLimit:
        return "connection_limit";
    case ClosureReason::HeaderTimeout:
        return "header_timeout";
    case ClosureReason::RequestTimeout:
        return "request_timeout";
    case ClosureReason::UnreadResponses:
        return "unread_responses";
    }
    return "unknown";
}

CallerAccount::CallerAccount(const CallerMemoryLimits &memoryLimits, std::function<void(const CallerClosure &)> closureObserver)
    : observer(std::move(closureObserver)), ledger(memoryLimits)
{
}

std::uint32_t CallerAccount::addServer()
{
    const std::lock_guard lock(this->mutex);
    return this->nextServer++;
}

LedgerNumber CallerAccount::open(std::uint32_t server, EndHandler end)
{
    const std::lock_guard lock(this->mutex);
    const auto number = this->nextNumber++;
    this->ledger.open(number, server, this->clock.now());
    this->endHandlers.emplace(number, std::move(end));
    return number;
}

void CallerAccount::close(LedgerNumber number)
{
    EndHandler dropped;
    const std::lock_guard lock(this->mutex);
    this->ledger.close(number);
    if (const auto found = this->endHandlers.find(number); found != this->endHandlers.end()) {
        dropped = std::move(found->second);
        this->endHandlers.erase(found);
    }
}

void CallerAccount::onRead(LedgerNumber number, ByteCount held, ByteCount received)
{
    std::unique_lock lock(this->mutex);
    this->ledger.onRead(number, held, received, this->clock.now());
    this->endVictims(std::move(lock));
}

void CallerAccount::onRequestRead(LedgerNumber number, ByteCount held)
{
    std::unique_lock lock(this->mutex);
    this->ledger.onRequestRead(number, held, this->clock.now());
    this->endVictims(std::move(lock));
}

void CallerAccount::onRequest(LedgerNumber number, ByteCount bytes)
{
    std::unique_lock lock(this->mutex);
    this->ledger.onRequest(number, bytes);
    this->endVictims(std::move(lock));
}

void CallerAccount::onResponse(LedgerNumber number)
{
    const std::lock_guard lock(this->mutex);
    this->ledger.onResponse(number, this->clock.now());
}

void CallerAccount::onReleased(ByteCount bytes)
{
    const std::lock_guard lock(this->mutex);
    this->ledger.onReleased(bytes);
}

void CallerAccount::chargeUnread(ByteCount bytes)
{
    std::unique_lock lock(this->mutex);
    this->ledger.chargeUnread(bytes);
    this->endVictims(std::move(lock));
}

void CallerAccount::removeUnread(ByteCount bytes)
{
    const std::lock_guard lock(this->mutex);
    this->ledger.removeUnread(bytes);
}

bool CallerAccount::replaceConnection(std::uint32_t server)
{
    EndHandler end;
    {
        const std::lock_guard lock(this->mutex);
        const auto number = this->ledger.takeReplaceable(server, this->clock.now());
        if (!number) {
            return false;
        }
        end = this->endHandlers.at(*number);
    }
    this->report({ClosureReason::ConnectionLimit, ByteCount(0), false});
    end(ClosureReason::ConnectionLimit);
    return true;
}

void CallerAccount::report(const CallerClosure &closure) const
{
    if (this->observer) {
        this->observer(closure);
    }
}

void CallerAccount::endVictims(std::unique_lock<std::mutex> lock)
{
    if (!this->ledger.isExhausted()) {
        return;
    }
    const auto victims = this->ledger.takeVictims(this->clock.now());
    std::vector<EndHandler> ends;
    ends.reserve(victims.size());
    for (const auto &victim : victims) {
        ends.push_back(this->endHandlers.at(victim.number));
    }
    lock.unlock();
    for (std::size_t i = 0; i < victims.size(); ++i) {
        this->report({ClosureReason::RequestMemory, victims[i].held, victims[i].hasUnanswered});
        ends[i](ClosureReason::RequestMemory);
    }
}

} // namespace rhubarbtiller::http
