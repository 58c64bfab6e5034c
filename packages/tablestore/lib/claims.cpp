#include <rhubarbtiller/tablestore/changelogstore.h>

#include "logitems.h"

#include <rhubarbtiller/tablestore/errors.h>

#include <algorithm>
#include <cassert>
#include <chrono>
#include <utility>

namespace rhubarbtiller::tablestore {

static constexpr int MaxLostAnswers = 3;
static constexpr int MaxTransactionConflicts = 8;
static constexpr const char *AttemptAttribute = "attempt";
static constexpr const char *RequestDigestAttribute = "requestDigest";
// Seconds since 1970, as the table service's expiry of items takes it.
static constexpr const char *ExpiryAttribute = "expiresAt";

// Each claim has its own partition, because the table service bounds the writes of one partition.
static ItemKey claimKey(const IdempotencyClaim &claim)
{
    return {"claim#" + claim.organisation.text() + "#" + claim.keyDigest, "claim"};
}

static std::int64_t epochSeconds(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count();
}

namespace {

/// Claims a key and finds out what became of the claim.
class ClaimOperation : public std::enable_shared_from_this<ClaimOperation>
{
public:
    ClaimOperation(TableService &tableService,
                   const Clock &systemClock,
                   IdempotencyClaim ownClaim,
                   MonotonicTime endTime,
                   Handler<ClaimResult> resultHandler)
        : tables(tableService), clock(systemClock), claim(std::move(ownClaim)), deadline(endTime), handler(std::move(resultHandler))
    {
    }

    void write()
    {
        Item item;
        item.key = claimKey(this->claim);
        item.attributes[AttemptAttribute] = this->claim.attempt.text();
        item.attributes[RequestDigestAttribute] = this->claim.requestDigest;
        item.attributes[ExpiryAttribute] = epochSeconds(this->claim.expiry);
        Transaction transaction;
        transaction.writes.emplace_back(PutItem{std::move(item), ItemAbsent{}});
        transaction.clientRequestToken = requestToken("claim#" + this->claim.attempt.text());
        this->tables.writeTransaction(std::move(transaction), this->partOfTime(), [self = this->shared_from_this()](Status status) {
            self->onWritten(status);
        });
    }

private:
    MonotonicTime partOfTime() const
    {
        const MonotonicTime now = this->clock.now();
        return this->deadline > now ? now + (this->deadline - now) / 2 : this->deadline;
    }

    void onWritten(Status status)
    {
        if (!status) {
            this->handler({ClaimOutcome::Claimed, false, {}});
        } else if (status == PlatformError::ConditionFailed) {
            this->readBack(this->deadline);
        } else if (isOutcomeUnknown(status)) {
            this->lostAnswer = status;
            ++this->lostAnswers;
            this->readBack(this->partOfTime());
        } else if (status == PlatformError::TransactionConflict && ++this->transactionConflicts < MaxTransactionConflicts) {
            this->write();
        } else {
            this->unknown(status);
        }
    }

    void readBack(MonotonicTime endTime)
    {
        this->tables.readItem(claimKey(this->claim), endTime, [self = this->shared_from_this()](const Result<Item> &item) {
            self->onReadBack(item);
        });
    }

    void onReadBack(const Result<Item> &item)
    {
        if (item) {
            const auto *attempt = item->findString(AttemptAttribute);
            const auto *digest = item->findString(RequestDigestAttribute);
            if (!attempt || !digest) {
                this->unknown(PlatformError::Malformed);
                return;
            }
            if (*attempt == this->claim.attempt.text()) {
                this->handler({ClaimOutcome::Claimed, false, {}});
                return;
            }
            this->handler({ClaimOutcome::AlreadyClaimed, *digest == this->claim.requestDigest, {}});
            return;
        }
        if (item.error() != PlatformError::NotFound) {
            this->unknown(item.error());
            return;
        }
        // Either the answer of a write without effect was lost, or the claim that stood in the way has been deleted since.
        if (++this->emptyReads >= MaxLostAnswers || this->lostAnswers >= MaxLostAnswers || this->clock.now() >= this->deadline) {
            this->unknown(this->lostAnswer ? this->lostAnswer : make_error_code(PlatformError::TransactionConflict));
            return;
        }
        this->write();
    }

    void unknown(std::error_code cause)
    {
        this->handler({ClaimOutcome::Unknown, false, this->lostAnswer ? this->lostAnswer : cause});
    }

    TableService &tables;
    const Clock &clock;
    IdempotencyClaim claim;
    MonotonicTime deadline;
    Handler<ClaimResult> handler;
    std::error_code lostAnswer;
    int lostAnswers = 0;
    int emptyReads = 0;
    int transactionConflicts = 0;
};

} // namespace

void ChangeLogStore::claimIdempotencyKey(IdempotencyClaim claim, MonotonicTime deadline, Handler<ClaimResult> handler)
{
    assert(!claim.attempt.isEmpty() && "a claim needs an attempt to be recognised by");
    std::make_shared<ClaimOperation>(this->tables, this->clock, std::move(claim), deadline, std::move(handler))->write();
}

void ChangeLogStore::releaseIdempotencyKey(const IdempotencyClaim &claim, MonotonicTime deadline, Handler<Status> handler)
{
    Transaction transaction;
    transaction.writes.emplace_back(DeleteItem{claimKey(claim), AttributeEquals{AttemptAttribute, claim.attempt.text()}});
    transaction.clientRequestToken = requestToken("release#" + claim.attempt.text());
    this->tables.writeTransaction(std::move(transaction), deadline, [handler = std::move(handler)](Status status) {
        // A failed condition means that this attempt holds no claim.
        handler(status == PlatformError::ConditionFailed ? Status() : status);
    });
}

} // namespace rhubarbtiller::tablestore
