#pragma once

#include <rhubarbtiller/gateway/dialect.h>
#include <rhubarbtiller/gateway/settings.h>
#include <rhubarbtiller/gateway/statesource.h>
#include <rhubarbtiller/http/httpclient.h>

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <system_error>

namespace rhubarbtiller::gateway {

/// Platform-specific parts: its HTTP conventions, its store, and the decoding of rows.
struct PlatformParts
{
    std::unique_ptr<Dialect> dialect;
    std::unique_ptr<StateSource> source;
    std::unique_ptr<StateDecoder> decoder;
};

/// Makes the parts of a platform whose store is reached through \p client.
using PlatformFactory = std::function<PlatformParts(const GatewaySettings &, http::HttpClient &client, const Clock &)>;

/// Assembles and runs all components of one host of a gateway fleet.
///
/// Requests, peers and decisions run on the serving context; the store, its decoding and the control port on the control
/// context. Thread safety: the threads of the two contexts; each context is run by one thread.
class GatewayProcess
{
public:
    /// Precondition: both contexts outlive this object; \p whenStopped is called after a planned stop.
    GatewayProcess(asio::io_context &servingContext,
                   asio::io_context &controlContext,
                   GatewaySettings gatewaySettings,
                   const PlatformFactory &platform,
                   std::function<void()> whenStopped);
    ~GatewayProcess();
    GatewayProcess(const GatewayProcess &) = delete;
    GatewayProcess &operator=(const GatewayProcess &) = delete;

    /// Opens the ports and starts the components. Precondition: called once, before the contexts run.
    std::error_code start();

    /// Applies the settings that may change at run time; other changes need a restart, which a log line reports.
    ///
    /// Precondition: started. Thread safety: the thread of the serving context.
    void applySettings(const GatewaySettings &changed);

    /// Begins a planned stop. Precondition: started. Thread safety: the thread of the serving context.
    void beginStop();

private:
    struct Parts;

    std::unique_ptr<Parts> parts;
};

} // namespace rhubarbtiller::gateway
