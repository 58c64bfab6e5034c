#pragma once

#include <rhubarbtiller/settings/settings.h>

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <system_error>

namespace rhubarbtiller::host {

/// All parts of a running host, put together.
///
/// Thread safety: start() and the destructor on one thread; beginDrain() on any thread.
class HostProcess
{
public:
    /// Precondition: \p context outlives this object and is not run before start(); \p whenDrained is called after a planned stop.
    HostProcess(asio::io_context &context, settings::HostSettings hostSettings, std::function<void()> whenDrained);
    ~HostProcess();
    HostProcess(const HostProcess &) = delete;
    HostProcess &operator=(const HostProcess &) = delete;

    /// Opens the ports and begins to work. Precondition: called once.
    std::error_code start();

    /// Begins a planned stop. Precondition: started. Thread safety: any thread.
    void beginDrain();

private:
    struct Parts;

    asio::io_context &ioContext;
    settings::HostSettings settings;
    std::function<void()> drained;
    std::unique_ptr<Parts> parts;
};

} // namespace rhubarbtiller::host
