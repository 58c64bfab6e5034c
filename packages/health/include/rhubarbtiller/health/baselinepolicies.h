#pragma once

#include <rhubarbtiller/health/holdtime.h>
#include <rhubarbtiller/health/outlierpolicy.h>

#include <map>

namespace rhubarbtiller::health {

/// Ejects a server after a fixed number of failures in a row, without regard to the pool. A baseline for comparison.
class ConsecutiveFailurePolicy : public OutlierPolicy
{
public:
    explicit ConsecutiveFailurePolicy(std::uint32_t failuresToEject = 5, HoldTimeSettings holdSettings = {});

    /// Has no effect: the count is fixed. Precondition: none.
    void setSensitivity(double sensitivity) override;
    void observe(const ServerSample &sample, MonotonicTime now) override;
    void onEjected(const BackendServerId &server, MonotonicTime now) override;
    void forget(const BackendServerId &server) override;
    std::vector<Verdict> judge(MonotonicTime now) override;

private:
    struct Server
    {
        std::uint32_t failuresInRow = 0;
        HoldTime hold;
    };

    std::uint32_t threshold;
    HoldTimeSettings hold;
    std::map<BackendServerId, Server> servers;
};

/// Never ejects. A baseline for comparison.
class NoEjectionPolicy : public OutlierPolicy
{
public:
    void setSensitivity(double sensitivity) override;
    void observe(const ServerSample &sample, MonotonicTime now) override;
    void onEjected(const BackendServerId &server, MonotonicTime now) override;
    void forget(const BackendServerId &server) override;
    std::vector<Verdict> judge(MonotonicTime now) override;
};

} // namespace rhubarbtiller::health
