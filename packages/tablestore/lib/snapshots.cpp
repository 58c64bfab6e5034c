#include <rhubarbtiller/tablestore/changelogstore.h>

#include "logitems.h"

#include <rhubarbtiller/base/digest.h>
#include <rhubarbtiller/config/codec.h>
#include <rhubarbtiller/tablestore/errors.h>

#include <utility>

namespace rhubarbtiller::tablestore {

// Each repetition means that another host moved the head in between or that the answer was lost.
static constexpr int MaxHeadUpdates = 5;

// The digest is part of the name, so that two builds that encode a version differently do not overwrite each other's
// object, which would leave the head with a digest that no object has.
static ObjectName snapshotName(ConfigVersion version, const std::string &digest)
{
    return ObjectName("snapshot-" + std::to_string(version.count()) + "-" + digest.substr(0, 16));
}

namespace {

/// Stores a snapshot and records it in the head.
class WriteSnapshotOperation : public std::enable_shared_from_this<WriteSnapshotOperation>
{
public:
    WriteSnapshotOperation(TableService &tableService,
                           ObjectStore &objectStore,
                           ConfigVersion snapshotVersion,
                           std::string snapshotContent,
                           MonotonicTime endTime,
                           Handler<Status> resultHandler)
        : tables(tableService)
        , objects(objectStore)
        , version(snapshotVersion)
        , content(std::move(snapshotContent))
        , digest(sha256Hex(this->content))
        , deadline(endTime)
        , handler(std::move(resultHandler))
    {
    }

    void start()
    {
        this->objects.writeObject(snapshotName(this->version, this->digest),
                                  std::move(this->content),
                                  this->deadline,
                                  [self = this->shared_from_this()](Status status) {
                                      if (status) {
                                          self->handler(status);
                                          return;
                                      }
                                      self->readHead(Status());
                                  });
    }

private:
    /// \p lastStatus is the reason for reading the head again.
    void readHead(Status lastStatus)
    {
        if (++this->attempts > MaxHeadUpdates) {
            this->handler(lastStatus);
            return;
        }
        this->tables.readItem(headKey(), this->deadline, [self = this->shared_from_this()](const Result<Item> &item) {
            self->onHead(item);
        });
    }

    void onHead(const Result<Item> &item)
    {
        if (!item) {
            this->handler(item.error() == PlatformError::NotFound ? make_error_code(PlatformError::InvalidRequest) : item.error());
            return;
        }
        const auto head = decodeHead(*item);
        if (!head) {
            this->handler(PlatformError::Malformed);
            return;
        }
        if (head->snapshotVersion >= this->version) {
            this->handler(Status());
            return;
        }
        if (head->version < this->version) {
            this->handler(PlatformError::InvalidRequest);
            return;
        }
        const auto previous = static_cast<std::int64_t>(head->snapshotVersion.count());
        UpdateItem update{
            headKey(),
            {{SnapshotVersionAttribute, static_cast<std::int64_t>(this->version.count())}, {SnapshotDigestAttribute, this->digest}},
            AttributeEquals{SnapshotVersionAttribute, previous}};
        Transaction transaction;
        transaction.writes.emplace_back(std::move(update));
        transaction.clientRequestToken = requestToken("snapshot#" + std::to_string(previous) + "#" + this->digest);
        this->tables.writeTransaction(std::move(transaction), this->deadline, [self = this->shared_from_this()](Status status) {
            self->onWritten(status);
        });
    }

    void onWritten(Status status)
    {
        const bool mayRepeat
            = status == PlatformError::ConditionFailed || status == PlatformError::TransactionConflict || isOutcomeUnknown(status);
        if (mayRepeat) {
            this->readHead(status);
            return;
        }
        this->handler(status);
    }

    TableService &tables;
    ObjectStore &objects;
    ConfigVersion version;
    std::string content;
    std::string digest;
    MonotonicTime deadline;
    Handler<Status> handler;
    int attempts = 0;
};

} // namespace

void ChangeLogStore::writeSnapshot(const std::shared_ptr<const config::Snapshot> &snapshot, MonotonicTime deadline, Handler<Status> handler)
{
    std::make_shared<WriteSnapshotOperation>(
        this->tables, this->objects, snapshot->version(), config::encodeSnapshot(*snapshot), deadline, std::move(handler))
        ->start();
}

void ChangeLogStore::readSnapshot(LogHead head, MonotonicTime deadline, Handler<Result<std::shared_ptr<const config::Snapshot>>> handler)
{
    if (head.snapshotVersion.count() == 0) {
        handler(std::make_shared<const config::Snapshot>());
        return;
    }
    auto name = snapshotName(head.snapshotVersion, head.snapshotDigest);
    this->objects.readObject(
        std::move(name), deadline, [head = std::move(head), handler = std::move(handler)](const Result<std::string> &content) {
            if (!content) {
                handler(content.error());
                return;
            }
            if (sha256Hex(*content) != head.snapshotDigest) {
                handler(make_error_code(PlatformError::Malformed));
                return;
            }
            auto snapshot = config::decodeSnapshot(*content);
            if (!snapshot || (*snapshot)->version() != head.snapshotVersion) {
                handler(make_error_code(PlatformError::Malformed));
                return;
            }
            handler(std::move(snapshot).value());
        });
}

} // namespace rhubarbtiller::tablestore
