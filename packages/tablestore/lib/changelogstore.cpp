#include <rhubarbtiller/tablestore/changelogstore.h>

#include "logitems.h"

#include <rhubarbtiller/config/codec.h>
#include <rhubarbtiller/tablestore/errors.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace rhubarbtiller::tablestore {

// Bounds on repetitions within one call; the caller decides whether to ask again.
static constexpr int MaxLostAnswers = 3;
static constexpr int MaxTransactionConflicts = 8;

/// Returns a deadline that leaves half of the remaining time for reading back a write whose answer is lost.
static MonotonicTime writeDeadline(const Clock &clock, MonotonicTime deadline)
{
    const MonotonicTime now = clock.now();
    return deadline > now ? now + (deadline - now) / 2 : deadline;
}

ChangeLogStore::ChangeLogStore(TableService &tableService, ObjectStore &objectStore, const Clock &systemClock)
    : tables(tableService), objects(objectStore), clock(systemClock)
{
}

static void readHeadOf(TableService &tables, MonotonicTime deadline, Handler<Result<LogHead>> handler)
{
    tables.readItem(headKey(), deadline, [handler = std::move(handler)](const Result<Item> &item) {
        if (!item) {
            if (item.error() == PlatformError::NotFound) {
                handler(LogHead());
                return;
            }
            handler(item.error());
            return;
        }
        const auto head = decodeHead(*item);
        if (!head) {
            handler(make_error_code(PlatformError::Malformed));
            return;
        }
        handler(*head);
    });
}

void ChangeLogStore::readHead(MonotonicTime deadline, Handler<Result<LogHead>> handler)
{
    readHeadOf(this->tables, deadline, std::move(handler));
}

namespace {

/// Reads a range of changes page by page.
class ReadChangesOperation : public std::enable_shared_from_this<ReadChangesOperation>
{
public:
    ReadChangesOperation(TableService &tableService,
                         ConfigVersion after,
                         ConfigVersion upTo,
                         MonotonicTime endTime,
                         Handler<Result<std::vector<config::Change>>> resultHandler)
        : tables(tableService), next(after.count() + 1), last(upTo), deadline(endTime), handler(std::move(resultHandler))
    {
    }

    void readPage(const std::string &firstSort)
    {
        auto range = changeRange(this->next, this->last);
        if (!firstSort.empty()) {
            range.first = firstSort;
        }
        this->tables.queryItems(std::move(range), this->deadline, [self = this->shared_from_this()](const Result<ItemPage> &page) {
            self->onPage(page);
        });
    }

private:
    void onPage(const Result<ItemPage> &page)
    {
        if (!page) {
            this->handler(page.error());
            return;
        }
        const bool isStuck = !page->isComplete && page->items.empty();
        this->items.insert(this->items.end(), page->items.begin(), page->items.end());
        const ConfigVersion wanted(this->next.count() + this->changes.size());
        const std::string lastSort = this->items.empty() ? "" : this->items.back().key.sort;
        if (isStuck || !takeChanges(this->items, wanted, this->changes)) {
            this->handler(make_error_code(PlatformError::Malformed));
            return;
        }
        const std::uint64_t expected = this->last.count() - this->next.count() + 1;
        if (this->changes.size() >= std::min<std::uint64_t>(expected, ChangeLogStore::MaxChangesPerRead)) {
            this->changes.resize(std::min<std::uint64_t>(expected, ChangeLogStore::MaxChangesPerRead));
            this->handler(std::move(this->changes));
            return;
        }
        if (page->isComplete) {
            this->handler(make_error_code(PlatformError::Malformed));
            return;
        }
        // "!" sorts before the "#" of the further parts of a change.
        this->readPage(lastSort + "!");
    }

    TableService &tables;
    ConfigVersion next;
    ConfigVersion last;
    MonotonicTime deadline;
    Handler<Result<std::vector<config::Change>>> handler;
    std::vector<Item> items;
    std::vector<config::Change> changes;
};

/// Appends a change and finds out what became of it.
class AppendOperation : public std::enable_shared_from_this<AppendOperation>
{
public:
    AppendOperation(TableService &tableService,
                    const Clock &systemClock,
                    config::Change ownChange,
                    MonotonicTime endTime,
                    Handler<AppendResult> resultHandler)
        : tables(tableService), clock(systemClock), change(std::move(ownChange)), deadline(endTime), handler(std::move(resultHandler))
    {
    }

    void write()
    {
        const ConfigVersion expected(this->change.version.count() - 1);
        this->tables.writeTransaction(appendTransaction(this->change, expected),
                                      writeDeadline(this->clock, this->deadline),
                                      [self = this->shared_from_this()](Status status) {
                                          self->onWritten(status);
                                      });
    }

    /// Finds out about an earlier append, which may still take effect.
    void resolve()
    {
        this->lostAnswer = PlatformError::Timeout;
        this->readBack(false);
    }

private:
    void onWritten(Status status)
    {
        if (!status) {
            this->handler({AppendOutcome::Committed, {}});
        } else if (status == PlatformError::ConditionFailed) {
            this->readBack(true);
        } else if (isOutcomeUnknown(status)) {
            this->lostAnswer = status;
            ++this->lostAnswers;
            this->readBack(false);
        } else if (status == PlatformError::TransactionConflict && ++this->transactionConflicts < MaxTransactionConflicts) {
            this->write();
        } else {
            this->unresolved(status);
        }
    }

    void readBack(bool isConditionFailed)
    {
        const auto endTime = isConditionFailed ? this->deadline : writeDeadline(this->clock, this->deadline);
        this->tables.readItem(
            changeKey(this->change.version), endTime, [self = this->shared_from_this(), isConditionFailed](const Result<Item> &item) {
                self->onReadBack(item, isConditionFailed);
            });
    }

    void onReadBack(const Result<Item> &item, bool isConditionFailed)
    {
        if (item) {
            const auto *id = item->findString(ChangeIdAttribute);
            if (!id) {
                this->lostAnswer = PlatformError::Malformed;
                this->unresolved(PlatformError::Malformed);
                return;
            }
            this->handler({*id == this->change.id.text() ? AppendOutcome::Committed : AppendOutcome::Conflict, {}});
            return;
        }
        if (item.error() != PlatformError::NotFound) {
            // After a failed condition, an earlier write of this change may be what stands there.
            this->unresolved(item.error());
            return;
        }
        if (isConditionFailed) {
            // The head moved although nothing stands at this version: it does not stand where the caller read it.
            if (this->lostAnswer) {
                this->unresolved(PlatformError::Malformed);
                return;
            }
            this->handler({AppendOutcome::Conflict, {}});
            return;
        }
        // The lost write may still take effect. Writing again is safe, because only one put of this version can succeed.
        if (this->lostAnswers >= MaxLostAnswers || this->clock.now() >= this->deadline) {
            this->unresolved(this->lostAnswer);
            return;
        }
        this->write();
    }

    void unresolved(std::error_code cause)
    {
        // A lost answer stays the cause, so that isOutcomeUnknown(cause) tells whether the change may stand in the log.
        this->handler({AppendOutcome::Unresolved, this->lostAnswer ? this->lostAnswer : cause});
    }

    TableService &tables;
    const Clock &clock;
    config::Change change;
    MonotonicTime deadline;
    Handler<AppendResult> handler;
    std::error_code lostAnswer;
    int lostAnswers = 0;
    int transactionConflicts = 0;
};

} // namespace

void ChangeLogStore::readChanges(ConfigVersion after,
                                 ConfigVersion upTo,
                                 MonotonicTime deadline,
                                 Handler<Result<std::vector<config::Change>>> handler)
{
    assert(after <= upTo && "a range of changes does not end before it begins");
    if (after == upTo) {
        handler(std::vector<config::Change>());
        return;
    }
    std::make_shared<ReadChangesOperation>(this->tables, after, upTo, deadline, std::move(handler))->readPage("");
}

void ChangeLogStore::append(config::Change change, ConfigVersion expectedVersion, MonotonicTime deadline, Handler<AppendResult> handler)
{
    assert(!change.id.isEmpty() && "a change needs an id to be recognised by");
    change.version = ConfigVersion(expectedVersion.count() + 1);
    std::make_shared<AppendOperation>(this->tables, this->clock, std::move(change), deadline, std::move(handler))->write();
}

void ChangeLogStore::resolve(config::Change change, MonotonicTime deadline, Handler<AppendResult> handler)
{
    assert(change.version.count() > 0 && "only a change with a version was appended before");
    std::make_shared<AppendOperation>(this->tables, this->clock, std::move(change), deadline, std::move(handler))->resolve();
}

} // namespace rhubarbtiller::tablestore
