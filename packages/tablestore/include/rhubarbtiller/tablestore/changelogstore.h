#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/base/strongnumber.h>
#include <rhubarbtiller/config/change.h>
#include <rhubarbtiller/config/snapshot.h>
#include <rhubarbtiller/tablestore/objectstore.h>
#include <rhubarbtiller/tablestore/tableservice.h>

#include <memory>
#include <string>
#include <vector>

namespace rhubarbtiller::tablestore {

/// The state of the change log as one consistent read sees it.
struct LogHead
{
    /// The version of the last change; 0 for an empty log.
    ConfigVersion version;
    /// The version of the last change of routes or pools.
    ConfigVersion tablesVersion;
    /// The version of the last change of a table that operators edit, so of any table but the hosts and the fleet parameters.
    ///
    /// An operator's edit is based on this revision: the edit may be appended at \c version if the revision did not move.
    ConfigVersion operatorRevision;
    /// The version of the newest stored snapshot; 0 if there is none.
    ConfigVersion snapshotVersion;
    /// The SHA-256 digest of the stored snapshot, in lower-case hexadecimal digits.
    std::string snapshotDigest;

    bool operator==(const LogHead &) const = default;
};

enum class AppendOutcome {
    /// The change stands in the log at its version.
    Committed,
    /// The change does not stand in the log and never will at this version; the caller may rebase it.
    Conflict,
    /// The store did not tell; the change may stand in the log now or later. Ask with resolve().
    Unresolved,
};

/// What came of an append.
struct AppendResult
{
    AppendOutcome outcome = AppendOutcome::Unresolved;
    /// The last error of the store for Unresolved; unset otherwise.
    std::error_code cause;
};

enum class ClaimOutcome {
    /// This attempt holds the idempotency key and may run.
    Claimed,
    /// Another attempt holds the idempotency key.
    AlreadyClaimed,
    /// The store did not tell; the key may be held by this attempt, which must not run.
    Unknown,
};

/// What came of a claim.
struct ClaimResult
{
    ClaimOutcome outcome = ClaimOutcome::Unknown;
    /// For AlreadyClaimed: whether the other attempt was made for the same request digest.
    bool isSameRequest = false;
    /// The last error of the store for Unknown; unset otherwise.
    std::error_code cause;
};

/// The right of one attempt to run a non-idempotent request.
struct IdempotencyClaim
{
    OrganisationId organisation;
    /// The digest of the caller's idempotency key.
    std::string keyDigest;
    /// The digest of the request's method, target and body.
    std::string requestDigest;
    /// When the platform may delete the claim.
    WallTime expiry;
    /// Unique for each attempt, so that a claim whose answer was lost can be recognised by reading it back.
    RequestId attempt;
};

/// The change log, its snapshots and the idempotency claims in the platform's services.
///
/// A change at version v+1 is one transaction: put the item "change#<v+1>" if absent and advance the item "head" from v
/// to v+1. Nothing blocks; handlers run exactly once, on a thread of the services. Each call keeps a part of its time
/// for reading back a write whose answer was lost. Thread safety: any thread.
class ChangeLogStore
{
public:
    /// Precondition: the services and the clock outlive every call.
    ChangeLogStore(TableService &tableService, ObjectStore &objectStore, const Clock &systemClock);

    /// Reads the head by one consistent read; an empty log has version 0. Precondition: none.
    void readHead(MonotonicTime deadline, Handler<Result<LogHead>> handler);

    /// Reads the changes of the versions after \p after up to \p upTo, in order and without a gap.
    ///
    /// Ends with Malformed if a change is missing. Returns at most MaxChangesPerRead changes; the caller continues after
    /// the last one. Precondition: after <= upTo and upTo is not above the head.
    void readChanges(ConfigVersion after, ConfigVersion upTo, MonotonicTime deadline, Handler<Result<std::vector<config::Change>>> handler);

    /// Appends a change at \p expectedVersion + 1 if the head still stands at \p expectedVersion.
    ///
    /// The version of the stored change is set here. Precondition: the id of \p change is unique for this attempt;
    /// \p expectedVersion was read from the head.
    void append(config::Change change, ConfigVersion expectedVersion, MonotonicTime deadline, Handler<AppendResult> handler);

    /// Asks again about an append that was Unresolved; appends the change if its place in the log is still empty.
    ///
    /// Precondition: \p change has the version at which it was appended.
    void resolve(config::Change change, MonotonicTime deadline, Handler<AppendResult> handler);

    /// Stores a snapshot as an object and records it in the head unless a newer one is recorded. Precondition: none.
    void writeSnapshot(const std::shared_ptr<const config::Snapshot> &snapshot, MonotonicTime deadline, Handler<Status> handler);

    /// Reads the snapshot that \p head records; an empty one if it records none.
    ///
    /// Ends with Malformed if the object's digest or version differs from the head's. Precondition: \p head was read from the store.
    void readSnapshot(LogHead head, MonotonicTime deadline, Handler<Result<std::shared_ptr<const config::Snapshot>>> handler);

    /// Claims an idempotency key for an attempt if nobody holds it.
    ///
    /// A claim past its expiry still counts until the platform has deleted it. Precondition: \p claim is complete.
    void claimIdempotencyKey(IdempotencyClaim claim, MonotonicTime deadline, Handler<ClaimResult> handler);

    /// Gives up a claim of an attempt that did not run, so that the caller may try again with the same key.
    ///
    /// Precondition: nothing of the attempt ran or will run.
    void releaseIdempotencyKey(const IdempotencyClaim &claim, MonotonicTime deadline, Handler<Status> handler);

    static constexpr std::uint32_t MaxChangesPerRead = 1000;

private:
    TableService &tables;
    ObjectStore &objects;
    const Clock &clock;
};

} // namespace rhubarbtiller::tablestore
