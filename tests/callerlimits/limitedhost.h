#pragma once

#include "../fleet/process.h"

#include <rhubarbtiller/testing/rawhttpserver.h>
#include <rhubarbtiller/testing/rowstorestandin.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <filesystem>
#include <memory>
#include <string>
#include <thread>

namespace rhubarbtiller::callerlimits {

/// A store with one public route and its backend servers, on a thread of their own.
///
/// The servers hold requests below "/wait/" without a response, and answer others with a body of LargeBodySize. Thread safety: one thread.
class Deployment
{
public:
    static constexpr std::size_t LargeBodySize = 300'000;
    static constexpr const char *VirtualHost = "limits.example";

    /// Precondition: \p serverCount is above 0.
    explicit Deployment(std::size_t serverCount = 1);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /// Returns the header lines of a request of a caller, each with its line end. Thread safety: any thread.
    static std::string requestFields(const std::string &requestId);

    /// Returns the address of the store. Precondition: none.
    std::string storeAddress() const;

private:
    void start(std::size_t serverCount);
    void addServer(std::size_t number);

    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::unique_ptr<testing::RowStoreStandin> store;
    std::vector<std::unique_ptr<testing::RawHttpServer>> servers;
    std::vector<std::shared_ptr<testing::RawConnection>> held;
    std::string storeText;
    std::thread thread;
};

struct HostOptions
{
    unsigned memoryMegabytes = 0;
    /// Limit of open files of the process, or 0 for that of the test program.
    unsigned maxDescriptors = 0;
    /// Address of the store, or empty for a host without a configuration.
    std::string storeAddress;
};

/// The real host program with low limits on a loopback address of its own.
///
/// Thread safety: one thread.
class LimitedHost
{
public:
    /// Starts the program and waits until it accepts callers. Throws std::runtime_error if it does not.
    explicit LimitedHost(const HostOptions &options);
    ~LimitedHost();
    LimitedHost(const LimitedHost &) = delete;
    LimitedHost &operator=(const LimitedHost &) = delete;

    std::string callerAddress() const;
    std::string directoryAddress() const;
    std::string controlAddress() const;
    std::string readinessAddress() const;

    /// Returns whether the process still runs. Precondition: none.
    bool isRunning();

    /// Returns the largest resident memory that the process ever had, in megabytes. Precondition: it runs.
    unsigned peakMegabytes() const;

    /// Returns the number of open descriptors. Precondition: the process runs.
    std::size_t openDescriptors() const;

private:
    std::string ip;
    std::filesystem::path folder;
    std::unique_ptr<fleettests::Process> process;
};

} // namespace rhubarbtiller::callerlimits
