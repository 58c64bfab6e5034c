#pragma once

#include <rhubarbtiller/catalog/catalog.h>

namespace rhubarbtiller::catalog {

enum class Severity {
    /// Works, but probably not as meant.
    Warning,
    /// Has no effect, or another effect than the one stated.
    Error,
};

/// The kinds of entries of a catalog.
enum class EntryKind {
    Catalog,
    Route,
    Service,
    Organisation,
    Limits,
};

/// The properties of entries that findings and differences name.
enum class Property {
    Name,
    Version,
    VirtualHost,
    Prefix,
    RetrySemantics,
    TimeLimit,
    LatencyObjective,
    Priority,
    Services,
    MaxAttempts,
    IsPublic,
    ColdRate,
    Rate,
    Burst,
    Keys,
    MaxHeader,
    MaxBody,
    HeaderTime,
    IdleTime,
};

/// A fault of one entry of a catalog.
struct PartFinding
{
    Severity severity = Severity::Warning;
    EntryKind kind = EntryKind::Catalog;
    /// Empty for the catalog and its limits.
    std::string name;
    Property property = Property::Name;
    /// Never contains a key.
    std::string message;
};

/// One property in which an entry differs between two catalogs.
struct PropertyChange
{
    Property property = Property::Name;
    std::string before;
    std::string after;
};

/// An entry that differs between two catalogs.
struct PartDifference
{
    enum class Change {
        Added,
        Changed,
        Removed,
    };

    Change change = Change::Changed;
    EntryKind kind = EntryKind::Catalog;
    std::string name;
    /// Empty unless the entry changed; never contains a key.
    std::vector<PropertyChange> properties;
};

/// Returns entries that can never apply, references to nothing, and limits that contradict each other.
///
/// Precondition: the indices of the keys are valid. Thread safety: any thread.
std::vector<PartFinding> checkParts(const CatalogParts &parts);

/// Returns an error if \p proposed could not replace \p current because its version is not higher.
///
/// Precondition: none. Thread safety: any thread.
std::vector<PartFinding> checkVersion(const CatalogParts &current, const CatalogParts &proposed);

/// Returns what changes when \p proposed replaces \p current; of entries with equal names only the first is compared.
///
/// Precondition: the indices of the keys are valid. Thread safety: any thread.
std::vector<PartDifference> compareParts(const CatalogParts &current, const CatalogParts &proposed);

} // namespace rhubarbtiller::catalog
