#pragma once

#include "callerclient.h"

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/random.h>
#include <rhubarbtiller/config/change.h>
#include <rhubarbtiller/host/hostprocess.h>
#include <rhubarbtiller/http/curlhttpclient.h>
#include <rhubarbtiller/tablestore/changelogstore.h>
#include <rhubarbtiller/tablestore/dynamotableservice.h>
#include <rhubarbtiller/tablestore/s3objectstore.h>
#include <rhubarbtiller/testing/backendstandin.h>
#include <rhubarbtiller/testing/history.h>
#include <rhubarbtiller/testing/platformstandin.h>

#include <asio/executor_work_guard.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace rhubarbtiller::host {

using Json = nlohmann::json;

/// An io_context with its thread.
class ContextThread
{
public:
    ContextThread();
    ~ContextThread();
    void stop();

    asio::io_context context;

private:
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::thread thread;
};

/// A fleet of hosts, each alone in its failure domain, with stand-ins of the platform and of backend servers.
///
/// Pool "main" has the servers b0 to b2, pool "solo" the server b3; all in different failure domains but b3, which
/// shares d0. Routes: /read and /solo-read are idempotent, /write and /solo-write are not, /open needs no key. The
/// organisations o0 to o5 have the keys keyOf(0) to keyOf(5).
class Fleet
{
public:
    static constexpr std::size_t HostCount = 3;
    static constexpr std::size_t ServerCount = 4;
    static constexpr std::size_t OrganisationCount = 6;

    Fleet();
    ~Fleet();

    static std::string keyOf(std::size_t organisation);
    static std::string peerCredential();
    static std::string organisationName(std::size_t organisation);

    Endpoint callerAddress(std::size_t host) const;
    Endpoint peerAddress(std::size_t host) const;
    Endpoint operatorAddress(std::size_t host) const;

    /// Stops a host without notice, as if its machine had failed.
    void destroyHost(std::size_t host);

    /// Waits until all shards are owned and all hosts serve again after faults.
    bool becomesReady() const;

    /// Returns the state document of a host's operator port.
    Json state(std::size_t host) const;

    /// Returns the host that owns a backend server, or HostCount.
    std::size_t ownerOf(const std::string &server) const;

    /// Returns the host that the address answer for the organisation names first.
    std::size_t homeOf(std::size_t organisation) const;

    /// Cuts or restores the link between two hosts for messages from one to the other.
    void cutLink(std::size_t from, std::size_t to) const;
    void restoreLinks() const;

    /// Appends mutations to the change log and waits until all hosts have applied them.
    bool change(std::vector<config::Mutation> mutations);

    /// Sets the gray failure rules of all backend servers, or of one.
    void setRules(const Json &rules, std::size_t server = ServerCount);
    /// Sets how many requests a backend server takes before it sheds load.
    void setSlots(std::size_t server, int count);
    /// Sets the faults of the platform's services.
    void setFaults(const Json &faults);

    Json executions(std::size_t server) const;
    Json backendState(std::size_t server) const;
    /// Returns how often the backend servers ran requests with this tag.
    std::size_t runsOf(const std::string &tag) const;

    /// Sends a tagged request as a caller of an organisation and records it with its outcome.
    Exchange call(std::size_t host, std::size_t organisation, http::HttpRequest request, const std::string &idempotencyKey = "");

    /// Starts call() on a thread of its own.
    std::future<Exchange>
    callLater(std::size_t host, std::size_t organisation, http::HttpRequest request, const std::string &idempotencyKey = "");

    /// Returns what callers saw since the last call, with the runs of the backend servers; nothing is running then.
    testing::History takeHistory();

    /// Returns the lines of the span files of all hosts up to now.
    std::string spanText() const;

    /// The tag that the last call() on this thread used.
    static thread_local std::string lastTag;

private:
    struct HostEntry
    {
        std::unique_ptr<ContextThread> thread;
        std::unique_ptr<HostProcess> process;
    };

    void startHost(std::size_t index);
    std::vector<config::Mutation> initialRows() const;
    bool isReady() const;
    /// Reads the change log and returns whether all hosts have joined.
    bool areRowsKnown();
    const config::Host &row(std::size_t host) const;

    SystemClock clock;
    SystemRandom random;
    ContextThread standins;
    std::unique_ptr<http::HttpClient> client;
    testing::PlatformStandin platformStandin;
    std::unique_ptr<tablestore::DynamoTableService> tables;
    std::unique_ptr<tablestore::S3ObjectStore> objects;
    std::unique_ptr<tablestore::ChangeLogStore> store;
    std::vector<std::unique_ptr<testing::BackendStandin>> servers;
    std::vector<HostEntry> hosts;
    std::shared_ptr<const config::Snapshot> snapshot = std::make_shared<const config::Snapshot>();
    std::string spanFolder;
    std::unique_ptr<testing::HistoryRecorder> recorder = std::make_unique<testing::HistoryRecorder>();
    std::atomic<std::uint64_t> nextTag{1};
};

/// Fails the test for each breach of I2, I3, I8, I9 and I10 in what callers and backend servers saw.
void checkHistory(const testing::History &history);

/// Returns the fleet that test cases share which leave it as they found it.
Fleet &sharedFleet();

} // namespace rhubarbtiller::host
