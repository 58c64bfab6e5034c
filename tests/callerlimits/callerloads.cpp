#include "callerloads.h"

#include "../fleet/httpconnection.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdio>
#include <thread>

namespace rhubarbtiller::callerlimits {

/// Callers stop this many bytes before the end of a body.
static constexpr std::size_t Shortfall = 10;

std::string requestHead(const std::string &method, const std::string &target)
{
    return method + " " + target + " HTTP/1.1\r\n" + Deployment::requestFields("a-1");
}

CallerLoad lengthLoad(std::size_t bodySize, const std::string &target, BodyEnd end)
{
    const std::size_t sent = bodySize - (end == BodyEnd::Missing ? Shortfall : 0);
    CallerLoad load;
    load.start = requestHead("POST", target) + "Content-Length: " + std::to_string(bodySize) + "\r\n\r\n";
    load.unit = std::string(1000, 'x');
    load.repeats = sent / load.unit.size();
    load.end = std::string(sent % load.unit.size(), 'x');
    return load;
}

CallerLoad chunkedLoad(std::size_t bodySize, std::size_t chunkSize, const std::string &target, BodyEnd end)
{
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", chunkSize);
    CallerLoad load;
    load.start = requestHead("POST", target) + "Transfer-Encoding: chunked\r\n\r\n";
    load.unit = size + std::string(chunkSize, 'x') + "\r\n";
    load.repeats = bodySize / chunkSize;
    load.end = end == BodyEnd::Sent ? "0\r\n\r\n" : "";
    return load;
}

int ordinaryStatus(const std::string &address, const std::string &target)
{
    fleettests::HttpConnection connection(address);
    return connection.call("GET", target, Deployment::requestFields("ordinary"), "", AnswerTimeout).status;
}

void waitUntilRead(const LimitedHost &host)
{
    static constexpr std::chrono::milliseconds CalmTime{1500};
    static constexpr std::chrono::seconds Longest{20};
    const auto began = std::chrono::steady_clock::now();
    auto changedAt = began;
    for (unsigned peak = host.peakMegabytes(); std::chrono::steady_clock::now() < std::min(changedAt + CalmTime, began + Longest);) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        if (const unsigned next = host.peakMegabytes(); next != peak) {
            peak = next;
            changedAt = std::chrono::steady_clock::now();
        }
    }
}

void checkHost(LimitedHost &host, unsigned memoryMegabytes)
{
    REQUIRE_MESSAGE(host.isRunning(), "the process has ended");
    waitUntilRead(host);
    CHECK_MESSAGE(ordinaryStatus(host.callerAddress(), "/ordinary") != 0, "no response to an ordinary caller");
    CHECK_MESSAGE(ordinaryStatus(host.controlAddress(), "/metrics") == 200, "no response on the control port");
    CHECK_MESSAGE(ordinaryStatus(host.directoryAddress(), "/x") != 0, "no response to an address query");
    REQUIRE_MESSAGE(host.isRunning(), "the process has ended");
    MESSAGE("peak of resident memory: ", host.peakMegabytes(), " MB, open descriptors: ", host.openDescriptors());
    CHECK(host.peakMegabytes() <= memoryMegabytes);
}

} // namespace rhubarbtiller::callerlimits
