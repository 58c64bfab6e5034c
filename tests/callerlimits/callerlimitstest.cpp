#include "callerloads.h"

#include "../fleet/httpconnection.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <thread>
#include <vector>

using namespace rhubarbtiller;
using namespace rhubarbtiller::callerlimits;

/// The memory of the host, which the process stays within whatever its callers send.
static constexpr unsigned MemoryMegabytes = 96;

static constexpr std::size_t LargeBody = 6'000'000;
/// The default limit of the control port and of the address query.
static constexpr std::size_t SmallBody = 1'000'000;

// Guards against a process that runs out of memory because callers send large bodies at once and stop just short of the end.
TEST_CASE("bodies with a Content-Length that stop short stay within the memory of the host")
{
    static constexpr std::size_t Callers = 30;
    LimitedHost host({MemoryMegabytes, 0, ""});
    RawCallers callers(host.callerAddress(), Callers);
    SUBCASE("whole")
    {
        callers.send(lengthLoad(LargeBody), WholePiece);
    }
    SUBCASE("piece by piece")
    {
        callers.send(lengthLoad(LargeBody), SmallPiece);
    }
    checkHost(host, MemoryMegabytes);
}

// Guards against bodies without an announced length that no limit counts while they are read.
TEST_CASE("chunked bodies that stop short stay within the memory of the host")
{
    static constexpr std::size_t Callers = 30;
    static constexpr std::size_t ChunkSize = 65'536;
    LimitedHost host({MemoryMegabytes, 0, ""});
    RawCallers callers(host.callerAddress(), Callers);
    SUBCASE("whole")
    {
        callers.send(chunkedLoad(LargeBody, ChunkSize), WholePiece);
    }
    SUBCASE("piece by piece")
    {
        callers.send(chunkedLoad(LargeBody, ChunkSize), SmallPiece);
    }
    checkHost(host, MemoryMegabytes);
}

// Guards against records by chunk, which need many times the memory of a chunk of one byte.
TEST_CASE("bodies in chunks of one byte stay within the memory of the host")
{
    static constexpr std::size_t Callers = 12;
    LimitedHost host({MemoryMegabytes, 0, ""});
    RawCallers callers(host.callerAddress(), Callers);
    callers.send(chunkedLoad(SmallBody, 1), WholePiece);
    checkHost(host, MemoryMegabytes);
}

// Guards against headers that no limit counts together.
TEST_CASE("many long headers that stop short stay within the memory of the host")
{
    static constexpr std::size_t Callers = 800;
    static constexpr std::size_t Fields = 60;
    LimitedHost host({MemoryMegabytes, 0, ""});
    RawCallers callers(host.callerAddress(), Callers);
    CallerLoad load;
    load.start = requestHead("GET", "/x");
    load.unit = "Long: " + std::string(1000, 'x') + "\r\n";
    load.repeats = Fields;
    callers.send(load, WholePiece);
    checkHost(host, MemoryMegabytes);
}

// Guards against bodies that callers send behind a request that waits for its server, for which no time limit runs.
TEST_CASE("pipelined requests behind one that waits stay within the memory of the host")
{
    static constexpr std::size_t Callers = 30;
    Deployment deployment;
    LimitedHost host({MemoryMegabytes, 0, deployment.storeAddress()});
    RawCallers callers(host.callerAddress(), Callers);
    auto load = lengthLoad(LargeBody);
    load.start = requestHead("GET", "/wait/1") + "\r\n" + load.start;
    callers.send(load, WholePiece);
    checkHost(host, MemoryMegabytes);
}

// Guards against whole requests that pile up behind one that waits.
TEST_CASE("many small pipelined requests behind one that waits stay within the memory of the host")
{
    static constexpr std::size_t Callers = 30;
    static constexpr std::size_t Requests = 400;
    static constexpr std::size_t BodySize = 10'000;
    Deployment deployment;
    LimitedHost host({MemoryMegabytes, 0, deployment.storeAddress()});
    RawCallers callers(host.callerAddress(), Callers);
    CallerLoad load;
    load.start = requestHead("GET", "/wait/1") + "\r\n";
    load.unit = requestHead("POST", "/wait/2") + "Content-Length: " + std::to_string(BodySize) + "\r\n\r\n" + std::string(BodySize, 'x');
    load.repeats = Requests;
    callers.send(load, WholePiece);
    checkHost(host, MemoryMegabytes);
}

// Guards against responses that pile up for callers that never read.
TEST_CASE("callers that never read stay within the memory of the host")
{
    static constexpr std::size_t Callers = 60;
    static constexpr std::size_t Requests = 16;
    Deployment deployment;
    LimitedHost host({MemoryMegabytes, 0, deployment.storeAddress()});
    RawCallers callers(host.callerAddress(), Callers);
    CallerLoad load;
    load.unit = requestHead("GET", "/large") + "\r\n";
    load.repeats = Requests;
    callers.send(load, WholePiece);
    checkHost(host, MemoryMegabytes);
}

// Guards against ports for hosts and operators that have limits of their own, which no limit of callers covers.
TEST_CASE("bodies to the control port and the address query stay within the memory of the host")
{
    static constexpr std::size_t Callers = 80;
    LimitedHost host({MemoryMegabytes, 0, ""});
    RawCallers control(host.controlAddress(), Callers);
    RawCallers directory(host.directoryAddress(), Callers);
    SUBCASE("with a Content-Length")
    {
        control.send(lengthLoad(SmallBody), WholePiece);
        directory.send(lengthLoad(SmallBody), WholePiece);
    }
    SUBCASE("chunks of one byte")
    {
        control.send(chunkedLoad(SmallBody / 10, 1), WholePiece);
        directory.send(chunkedLoad(SmallBody / 10, 1), WholePiece);
    }
    checkHost(host, MemoryMegabytes);
}

// Guards against limits that refuse ordinary uploads: 100 of the largest size at once on the smallest host.
TEST_CASE("ordinary uploads at once are all served")
{
    static constexpr unsigned SmallestHostMegabytes = 112;
    static constexpr std::size_t Uploads = 100;
    static constexpr std::size_t UploadSize = 360'000;
    Deployment deployment;
    LimitedHost host({SmallestHostMegabytes, 0, deployment.storeAddress()});
    std::vector<int> statuses(Uploads);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < Uploads; ++i) {
        callers.emplace_back([&host, &status = statuses[i], i] {
            fleettests::HttpConnection connection(host.callerAddress());
            const auto fields = Deployment::requestFields("upload-" + std::to_string(i));
            status = connection.call("POST", "/upload", fields, std::string(UploadSize, 'x'), AnswerTimeout).status;
        });
    }
    for (auto &caller : callers) {
        caller.join();
    }
    CHECK(std::count(statuses.begin(), statuses.end(), 200) == Uploads);
    REQUIRE(host.isRunning());
    MESSAGE("peak of resident memory: ", host.peakMegabytes(), " MB");
    CHECK(host.peakMegabytes() <= SmallestHostMegabytes);
}

/// Connects callers that hold their connections without a request that is being served, and checks the host.
static void checkIdleConnections(LimitedHost &host, const std::string &address)
{
    static constexpr std::size_t Callers = 300;
    RawCallers callers(address, Callers);
    CallerLoad load;
    SUBCASE("without a byte")
    {
    }
    SUBCASE("within a header")
    {
        load.start = "GET /x HTTP/1.1\r\n";
    }
    SUBCASE("after a response")
    {
        load.start = requestHead("GET", "/x") + "\r\n";
    }
    callers.send(load, WholePiece);
    // A host that accepts connections in turn has the time to do so; a slower one has fewer open.
    std::this_thread::sleep_for(std::chrono::seconds(1));
    CHECK(host.openDescriptors() <= DescriptorBound);
    checkHost(host, MemoryMegabytes);
    CHECK(host.openDescriptors() <= DescriptorBound);
}

// The next three guard against connections without a request that take all descriptors, so that ordinary callers are not accepted.
TEST_CASE("idle connections leave descriptors for ordinary callers")
{
    LimitedHost host({MemoryMegabytes, MaxDescriptors, ""});
    checkIdleConnections(host, host.callerAddress());
}

TEST_CASE("idle connections to the control port leave descriptors for ordinary callers")
{
    LimitedHost host({MemoryMegabytes, MaxDescriptors, ""});
    checkIdleConnections(host, host.controlAddress());
}

TEST_CASE("idle connections to the address query leave descriptors for ordinary callers")
{
    LimitedHost host({MemoryMegabytes, MaxDescriptors, ""});
    checkIdleConnections(host, host.directoryAddress());
}
