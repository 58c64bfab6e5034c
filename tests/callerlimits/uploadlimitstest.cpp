#include "callerloads.h"

#include "../fleet/httpconnection.h"

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::callerlimits;

/// Memory of small machines, which the process stays within whatever its callers send.
static constexpr unsigned SmallMegabytes = 96;
/// Memory of the machines of most deployments.
static constexpr unsigned UsualMegabytes = 260;

/// The largest body that a configuration allows.
static constexpr std::size_t MaxBody = 67'108'864;
static constexpr std::size_t HugeBody = 46'000'000;
static constexpr std::size_t LargeBody = 6'000'000;
static constexpr std::size_t SmallBody = 1'000'000;
static constexpr std::size_t LargeChunk = 65'536;

/// A target whose requests the server holds without a response.
static const std::string HeldTarget = "/wait/1";

/// Checks what holds under every load, and that a small request is still passed on to the server.
static void checkServingHost(LimitedHost &host, unsigned memoryMegabytes)
{
    checkHost(host, memoryMegabytes);
    CHECK(host.openDescriptors() <= DescriptorBound);
    CHECK_MESSAGE(ordinaryStatus(host.callerAddress(), "/ordinary") == 200, "an ordinary request is not served");
}

// Guards against a body that is in memory more than once while a server works on its request.
TEST_CASE("huge uploads that a server holds stay within the memory of the host")
{
    static constexpr std::size_t Callers = 2;
    Deployment deployment;
    LimitedHost host({UsualMegabytes, MaxDescriptors, deployment.storeAddress()});
    RawCallers callers(host.callerAddress(), Callers);
    SUBCASE("with a Content-Length")
    {
        callers.send(lengthLoad(HugeBody, HeldTarget, BodyEnd::Sent), WholePiece);
    }
    SUBCASE("in chunks")
    {
        callers.send(chunkedLoad(HugeBody, LargeChunk, HeldTarget, BodyEnd::Sent), WholePiece);
    }
    checkServingHost(host, UsualMegabytes);
}

// Guards against whole uploads that are counted only while they are read, so that the memory of a crowd of them has no bound.
TEST_CASE("many large uploads that a server holds stay within the memory of the host")
{
    static constexpr std::size_t Callers = 30;
    Deployment deployment;
    LimitedHost host({SmallMegabytes, MaxDescriptors, deployment.storeAddress()});
    RawCallers callers(host.callerAddress(), Callers);
    SUBCASE("with a Content-Length")
    {
        callers.send(lengthLoad(LargeBody, HeldTarget, BodyEnd::Sent), WholePiece);
    }
    SUBCASE("with a Content-Length piece by piece")
    {
        callers.send(lengthLoad(LargeBody, HeldTarget, BodyEnd::Sent), SmallPiece);
    }
    SUBCASE("in chunks")
    {
        callers.send(chunkedLoad(LargeBody, LargeChunk, HeldTarget, BodyEnd::Sent), WholePiece);
    }
    checkServingHost(host, SmallMegabytes);
}

/// Sends bodies far over the limit to a host without or with a configuration.
static void sendOversized(LimitedHost &host)
{
    static constexpr std::size_t Callers = 8;
    static constexpr std::size_t AnnouncedBody = 1'000'000'000;
    static constexpr std::size_t OversizedBody = 2 * MaxBody;
    RawCallers callers(host.callerAddress(), Callers);
    SUBCASE("announced")
    {
        auto load = lengthLoad(OversizedBody);
        load.start = requestHead("POST", "/x") + "Content-Length: " + std::to_string(AnnouncedBody) + "\r\n\r\n";
        callers.send(load, WholePiece);
    }
    SUBCASE("in chunks")
    {
        callers.send(chunkedLoad(OversizedBody, LargeChunk), WholePiece);
    }
    SUBCASE("in a single chunk")
    {
        callers.send(chunkedLoad(OversizedBody, OversizedBody), WholePiece);
    }
    checkHost(host, SmallMegabytes);
    CHECK(host.openDescriptors() <= DescriptorBound);
}

// The next two guard against bodies over the limit that are kept in memory until their end, which may never come.
TEST_CASE("bodies far over the limit stay within the memory of a host without a configuration")
{
    LimitedHost host({SmallMegabytes, MaxDescriptors, ""});
    sendOversized(host);
}

TEST_CASE("bodies far over the limit stay within the memory of a host with a configuration")
{
    Deployment deployment;
    LimitedHost host({SmallMegabytes, MaxDescriptors, deployment.storeAddress()});
    sendOversized(host);
    CHECK_MESSAGE(ordinaryStatus(host.callerAddress(), "/ordinary") == 200, "an ordinary request is not served");
}

// Guards against whole requests and requests that are still being read whose memory is bounded only separately.
TEST_CASE("bodies that stop short beside whole ones stay within the memory of the host")
{
    static constexpr std::size_t StoppingCallers = 20;
    static constexpr std::size_t WholeCallers = 10;
    Deployment deployment;
    LimitedHost host({SmallMegabytes, MaxDescriptors, deployment.storeAddress()});
    RawCallers stopping(host.callerAddress(), StoppingCallers);
    RawCallers whole(host.callerAddress(), WholeCallers);
    SUBCASE("stopping first")
    {
        stopping.send(lengthLoad(LargeBody), WholePiece);
        whole.send(lengthLoad(LargeBody, HeldTarget, BodyEnd::Sent), WholePiece);
    }
    SUBCASE("whole first")
    {
        whole.send(lengthLoad(LargeBody, HeldTarget, BodyEnd::Sent), WholePiece);
        stopping.send(lengthLoad(LargeBody), WholePiece);
    }
    SUBCASE("in large chunks")
    {
        whole.send(chunkedLoad(LargeBody, LargeChunk, HeldTarget, BodyEnd::Sent), WholePiece);
        stopping.send(chunkedLoad(LargeBody, LargeChunk), WholePiece);
    }
    SUBCASE("in chunks of one byte")
    {
        whole.send(chunkedLoad(SmallBody, 1, HeldTarget, BodyEnd::Sent), WholePiece);
        stopping.send(chunkedLoad(SmallBody, 1), WholePiece);
    }
    checkServingHost(host, SmallMegabytes);
}

/// Sends one body of the largest legal size to a host, which serves it within its memory.
static void checkSingleUpload(unsigned memoryMegabytes)
{
    Deployment deployment;
    LimitedHost host({memoryMegabytes, MaxDescriptors, deployment.storeAddress()});
    {
        fleettests::HttpConnection connection(host.callerAddress());
        const auto fields = Deployment::requestFields("upload-1");
        CHECK(connection.call("POST", "/upload", fields, std::string(MaxBody, 'x'), 2 * AnswerTimeout).status == 200);
    }
    checkServingHost(host, memoryMegabytes);
}

// Guards against limits that refuse a single request of the largest legal size, and against copies of its body.
TEST_CASE("a single upload of the largest legal size is served within the memory of the host")
{
    checkSingleUpload(UsualMegabytes);
}

// Guards against limits by the memory of a host that are below the largest legal size.
TEST_CASE("a single upload of the largest legal size is served within the memory of the smallest host")
{
    static constexpr unsigned SmallestMegabytes = 112;
    checkSingleUpload(SmallestMegabytes);
}

// Guards against idle connections to servers that keep the body of the last request.
TEST_CASE("uploads one after the other to many servers stay within the memory of the host")
{
    static constexpr std::size_t Servers = 8;
    static constexpr std::size_t Uploads = 16;
    static constexpr std::size_t UploadSize = 20'000'000;
    Deployment deployment(Servers);
    LimitedHost host({SmallMegabytes, MaxDescriptors, deployment.storeAddress()});
    fleettests::HttpConnection connection(host.callerAddress());
    const std::string body(UploadSize, 'x');
    for (std::size_t i = 0; i < Uploads; ++i) {
        connection.call("POST", "/upload", Deployment::requestFields("upload-" + std::to_string(i)), body, AnswerTimeout);
    }
    checkServingHost(host, SmallMegabytes);
}
