#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/strongnumber.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace rhubarbtiller::telemetry {

/// The measurements of one host, for Prometheus.
///
/// Label values are words of the program, never taken from callers or tables, so that the number of time series is
/// bounded; beyond 32 values of one metric the rest is counted under "other".
class Metrics
{
public:
    Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;
    ~Metrics();

    /// Counts a request by its execution state ("ran", "not_run", "unknown") and the reason of its refusal, or "none".
    ///
    /// Precondition: both are constant words. Thread safety: any thread.
    void countRequest(std::string_view outcome, std::string_view reason);

    /// Counts a request that the queue refused. Priorities outside 0 to 3 are counted under the nearest.
    ///
    /// Precondition: \p cause is a constant word. Thread safety: any thread.
    void countQueueRefusal(int priority, std::string_view cause);

    /// Records the time that the system added to a request. Precondition: none. Thread safety: any thread.
    void observeAddedLatency(Duration added);

    /// Counts an admission of a request at its organisation's home. Precondition: none. Thread safety: any thread.
    void countAdmission();

    /// Counts a refusal at an organisation's home. Precondition: \p reason is a constant word. Thread safety: any thread.
    void countAdmissionRefusal(std::string_view reason);

    /// Counts an ejection. Precondition: \p evidence is a constant word. Thread safety: any thread.
    void countEjection(std::string_view evidence);

    /// Sets the age of the newest evidence that the configuration is current. Thread safety: any thread.
    void setFreshnessAge(Duration age);

    /// Sets the configuration version that the host has applied. Precondition: none. Thread safety: any thread.
    void setAppliedVersion(ConfigVersion version);

    /// Sets the newest version that is known to be settled. Precondition: none. Thread safety: any thread.
    void setSettledVersion(ConfigVersion version);

    /// Sets the number of votes held over all shards. Precondition: none. Thread safety: any thread.
    void setVotesHeld(std::uint64_t votes);

    /// Sets the number of shards owned. Precondition: none. Thread safety: any thread.
    void setShardsOwned(std::uint64_t shards);

    /// Sets the number of authenticated connections to peers. Precondition: none. Thread safety: any thread.
    void setPeersConnected(std::uint64_t peers);

    /// Sets the least share, over the services with requests, of this failure domain's servers that are used; 0 to 1.
    ///
    /// Precondition: none. Thread safety: any thread.
    void setLeastUsedServers(double share);

    /// Sets the largest share, over the services with requests, of requests that were not served lately; 0 to 1.
    ///
    /// Precondition: none. Thread safety: any thread.
    void setMostUnserved(double share);

    /// Counts a call to the platform's store by operation, with its table, and by result.
    ///
    /// Precondition: both are constant words. Thread safety: any thread.
    void countStoreCall(std::string_view operation, std::string_view result);

    /// Counts a phase that a roll-out of a service version has reached, as this host learns of it.
    ///
    /// Precondition: \p phase is a constant word. Thread safety: any thread.
    void countRolloutPhase(std::string_view phase);

    /// Counts a connection of a caller that the host ended. Precondition: \p reason is a constant word. Thread safety: any thread.
    void countCallerClosure(std::string_view reason);

    /// Counts a failed call to the platform. Precondition: \p operation is a constant word. Thread safety: any thread.
    void countStoreError(std::string_view operation);

    /// Counts bytes of control messages, in either direction. Precondition: none. Thread safety: any thread.
    void countControlBytes(ByteCount bytes);

    /// Counts processor time of controllers. Precondition: none. Thread safety: any thread.
    void countControlCpu(Duration used);

    /// Returns all measurements in the Prometheus text format. Precondition: none. Thread safety: any thread.
    std::string exposition() const;

private:
    class State;
    std::unique_ptr<State> state;
};

} // namespace rhubarbtiller::telemetry
