#pragma once

#include <rhubarbtiller/base/result.h>
#include <rhubarbtiller/config/change.h>
#include <rhubarbtiller/tablestore/changelogstore.h>
#include <rhubarbtiller/tablestore/tableservice.h>

#include <optional>
#include <string>
#include <vector>

namespace rhubarbtiller::tablestore {

/// The partition of the head and of the changes.
inline constexpr const char *LogPartition = "config";

/// Returns the key of the head. Thread safety: any thread.
ItemKey headKey();

/// Returns the key of the change at a version; its sort key orders as the version does. Thread safety: any thread.
ItemKey changeKey(ConfigVersion version);

/// Returns the range that holds all items of the changes from \p first to \p last. Thread safety: any thread.
KeyRange changeRange(ConfigVersion first, ConfigVersion last);

/// Returns the items of a change: the one under changeKey() and, for a long change, its further parts. Thread safety: any thread.
std::vector<Item> encodeChangeItems(const config::Change &change);

/// Moves the whole changes at the beginning of \p items to \p changes, which go on without a gap from \p next.
///
/// A change of which parts are missing at the end stays in \p items. Returns false if an item is not what it should be.
bool takeChanges(std::vector<Item> &items, ConfigVersion next, std::vector<config::Change> &changes);

/// Reads the head from its item. Thread safety: any thread.
std::optional<LogHead> decodeHead(const Item &item);

/// Returns the write that advances the head from \p expected to the version of \p change. Thread safety: any thread.
Write advanceHead(const config::Change &change, ConfigVersion expected);

/// Returns the transaction that appends \p change behind \p expected. Thread safety: any thread.
Transaction appendTransaction(const config::Change &change, ConfigVersion expected);

/// Returns a token of 32 characters that is the same for the same text. Thread safety: any thread.
std::string requestToken(const std::string &text);

/// The attributes of the items.
inline constexpr const char *VersionAttribute = "version";
inline constexpr const char *ChangeIdAttribute = "changeId";
inline constexpr const char *SnapshotVersionAttribute = "snapshotVersion";
inline constexpr const char *SnapshotDigestAttribute = "snapshotDigest";

} // namespace rhubarbtiller::tablestore
