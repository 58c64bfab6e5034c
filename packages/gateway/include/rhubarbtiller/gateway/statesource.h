#pragma once

#include <rhubarbtiller/base/result.h>
#include <rhubarbtiller/base/strongnumber.h>
#include <rhubarbtiller/catalog/servertable.h>

#include <compare>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace rhubarbtiller::gateway {

enum class SourceError {
    /// No response, or a response that the service is unavailable.
    Unavailable = 1,
    /// The changes since the requested version have been discarded.
    HistoryGone,
    /// The service rejected the request.
    Rejected,
    /// The response could not be decoded.
    Malformed,
    /// A row does not have the version that a conditional write expects.
    Conflict,
};

/// Returns the error category of this layer. Precondition: none. Thread safety: any thread.
const std::error_category &sourceCategory();

std::error_code make_error_code(SourceError error);

/// The tables of the platform's store that hosts read.
enum class SourceTable {
    /// The operator's configuration and orders.
    Configuration,
    /// The entries of the backend servers.
    Servers,
    /// Addresses of hosts that have started.
    Hosts,
    /// The results of the operator's orders, which the hosts write.
    Status,
};

/// Counts how often the store has returned from an older copy of its rows; 0 for a store that does not say.
using StoreEra = StrongNumber<struct StoreEraTag, std::uint64_t>;

/// A position in the changes of the store. The store gives out numbers again in a later era.
struct StoreVersion
{
    StoreEra era;
    std::uint64_t number = 0;

    auto operator<=>(const StoreVersion &) const = default;
};

struct SourceRow
{
    std::string key;
    std::string value;
    /// The number of the change that wrote the row, in the era of the batch.
    std::uint64_t version = 0;
    bool isRemoved = false;
};

struct SourceBatch
{
    std::vector<SourceRow> rows;
    /// The number of the store's newest change at the time of the response.
    std::uint64_t version = 0;
    StoreEra era{};

    StoreVersion storeVersion() const
    {
        return {this->era, this->version};
    }
};

/// Reads and writes the tables of the platform's store.
///
/// Each handler is called exactly once, on a thread of the source. Thread safety: any thread.
class StateSource
{
public:
    using BatchHandler = std::function<void(Result<SourceBatch>)>;
    using WriteHandler = std::function<void(Status)>;

    StateSource() = default;
    StateSource(const StateSource &) = delete;
    StateSource &operator=(const StateSource &) = delete;
    virtual ~StateSource() = default;

    /// Reads a whole table. Precondition: none.
    virtual void read(SourceTable table, BatchHandler handler) = 0;

    /// Waits for changes after number \p after, for at most \p wait. Precondition: none.
    ///
    /// The changes belong to the era of the batch, which may be later than the one of \p after.
    virtual void watch(SourceTable table, std::uint64_t after, std::chrono::milliseconds wait, BatchHandler handler) = 0;

    /// Writes one row unconditionally. Precondition: the system may write to the table.
    virtual void write(SourceTable table, std::string key, std::string value, WriteHandler handler) = 0;

    /// Writes one row if it has version \p expectedVersion, or does not exist if that is 0; the error is Conflict otherwise.
    ///
    /// After another error the write may still happen later. Precondition: the system may write to the table.
    virtual void write(SourceTable table, std::string key, std::string value, std::uint64_t expectedVersion, WriteHandler handler) = 0;
};

/// A row in the replica of a host.
struct ReplicatedRow
{
    std::string value;
    StoreVersion version;
    MonotonicTime receivedAt{};
};

using ReplicatedRows = std::map<std::string, ReplicatedRow>;

/// Decodes rows. Thread safety: any thread.
class StateDecoder
{
public:
    StateDecoder() = default;
    StateDecoder(const StateDecoder &) = delete;
    StateDecoder &operator=(const StateDecoder &) = delete;
    virtual ~StateDecoder() = default;

    /// Returns the catalog of the configuration rows; nullptr if there is none that can be decoded. Precondition: none.
    virtual std::shared_ptr<const catalog::Catalog> catalog(const ReplicatedRows &rows) const = 0;

    /// Returns the evacuated failure domains, which receive no new requests. Precondition: none.
    virtual std::set<FailureDomainId> evacuatedDomains(const ReplicatedRows &rows) const = 0;

    /// Returns the orders to roll out a version, by service. Precondition: none.
    virtual std::map<catalog::ServiceName, catalog::RolloutOrder> rolloutOrders(const ReplicatedRows &rows) const = 0;

    /// Returns the state of a roll-out, or nothing if the row describes none. Precondition: none.
    virtual std::optional<catalog::RolloutStatus> rolloutStatus(const SourceRow &row) const = 0;

    /// Returns the key and the value of the row for a state. Precondition: the phase is not Ordered.
    virtual std::pair<std::string, std::string> encodeRolloutStatus(const catalog::RolloutStatus &status) const = 0;

    /// Returns the entry of one backend server, or nothing if the row describes none. Precondition: none.
    virtual std::optional<catalog::ServerEntry> server(const std::string &key, const ReplicatedRow &row) const = 0;

    /// Compares when the writer of a row wrote two values of it; unordered if the values do not say. Precondition: none.
    virtual std::partial_ordering
    compareValues(SourceTable table, const std::string &key, const std::string &left, const std::string &right) const = 0;
};

} // namespace rhubarbtiller::gateway

template<>
struct std::is_error_code_enum<rhubarbtiller::gateway::SourceError> : std::true_type
{
};
