#pragma once

#include <rhubarbtiller/base/clock.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace rhubarbtiller::telemetry {

/// Values that describe the present state of a host.
enum class Gauge {
    FreshForSeconds,
    AppliedVersion,
    SettledVersion,
    StoreReachable,
    ShardsOwned,
    VotesHeld,
    ServersOwned,
    ServersEjected,
    RequestsInProgress,
    RateEntries,
    ControlCpuSeconds,
};

/// The metrics of a host, in the form that Prometheus reads.
///
/// Labels have few values: reasons and states, never organisations, so the page stays small with 22,000 of them.
/// Thread safety: any thread.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Counts a request of a caller; \p reason is "none" for a response of a backend server. Precondition: both are constant words.
    void countRequest(std::string_view reason, std::string_view execution);

    /// Counts an attempt at a backend server. Precondition: \p outcome is a constant word.
    void countAttempt(std::string_view outcome);

    /// Notes the time that the host itself added to a request. Precondition: none.
    void observeAddedTime(Duration time);

    /// Counts bytes of control messages. Precondition: none.
    void countControlBytes(std::uint64_t bytes);

    /// Sets a value of the present state. Precondition: none.
    void set(Gauge gauge, double value);

    /// Returns the page in Prometheus' text format. Precondition: none.
    std::string exposition() const;

private:
    struct Families;

    std::unique_ptr<Families> families;
};

} // namespace rhubarbtiller::telemetry
