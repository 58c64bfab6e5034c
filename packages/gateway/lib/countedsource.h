#pragma once

#include <rhubarbtiller/gateway/statesource.h>
#include <rhubarbtiller/telemetry/metrics.h>

namespace rhubarbtiller::gateway {

/// Counts the calls of another source by operation, table and result.
///
/// Thread safety: any thread.
class CountedSource : public StateSource
{
public:
    /// Precondition: both objects outlive this one and the calls in progress.
    CountedSource(StateSource &countedSource, telemetry::Metrics &hostMetrics) : source(countedSource), metrics(hostMetrics)
    {
    }

    /// Precondition: none.
    void read(SourceTable table, BatchHandler handler) override;

    /// Precondition: none.
    void watch(SourceTable table, std::uint64_t after, std::chrono::milliseconds wait, BatchHandler handler) override;

    /// Precondition: the system may write to the table.
    void write(SourceTable table, std::string key, std::string value, WriteHandler handler) override;

    /// Precondition: the system may write to the table.
    void write(SourceTable table, std::string key, std::string value, std::uint64_t expectedVersion, WriteHandler handler) override;

private:
    BatchHandler counted(std::string_view operation, BatchHandler handler);

    StateSource &source;
    telemetry::Metrics &metrics;
};

} // namespace rhubarbtiller::gateway
