#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/health/evidence.h>
#include <rhubarbtiller/health/units.h>

#include <string>
#include <vector>

namespace rhubarbtiller::health {

/// What a policy thinks of one server.
struct Verdict
{
    BackendServerId server;
    /// The server should be ejected, or stay ejected.
    bool wantsEjection = false;
    /// Share of the usual load while there is no ejection lease.
    ServerWeight weight{1.0};
    /// One line for logs; without names of organisations.
    std::string evidence;
};

/// Judges the servers of one pool by their samples; runs at the pool owner.
///
/// Thread safety: none; the pool owner calls it from one strand.
class OutlierPolicy
{
public:
    OutlierPolicy() = default;
    OutlierPolicy(const OutlierPolicy &) = delete;
    OutlierPolicy &operator=(const OutlierPolicy &) = delete;
    virtual ~OutlierPolicy() = default;

    /// Takes over the pool's sensitivity, 0 to 1; other values are clamped. Precondition: none.
    virtual void setSensitivity(double sensitivity) = 0;

    /// Counts one sample that arrived now. Precondition: \p now does not go back.
    virtual void observe(const ServerSample &sample, MonotonicTime now) = 0;

    /// Learns that an ejection lease for the server was granted or renewed. Precondition: none.
    virtual void onEjected(const BackendServerId &server, MonotonicTime now) = 0;

    /// Forgets a server that left the pool. Precondition: none.
    virtual void forget(const BackendServerId &server) = 0;

    /// Returns the verdicts that differ from "healthy, full weight", worst first. Precondition: \p now does not go back.
    virtual std::vector<Verdict> judge(MonotonicTime now) = 0;
};

} // namespace rhubarbtiller::health
