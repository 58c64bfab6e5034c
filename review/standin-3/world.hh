#pragma once

// Stand-ins of the platform's store, of backend servers and of clients, and the processes of a small fleet of hosts.
//
// All addresses are loopback addresses. Each stand-in serves a connection with a thread of its own.

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using nlohmann::json;

/// Writes lines with the time since the start of the program to a file. Thread safety: any thread.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    void line(const std::string &text);
    /// Seconds since the start of the program.
    double now() const;

private:
    std::mutex mutex;
    FILE *file;
    Clock::time_point startedAt = Clock::now();
};

/// Names are stored in lower case.
using Headers = std::multimap<std::string, std::string>;

struct Request
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
    std::string header(const std::string &name) const;
};

/// A socket that is closed at the end of its life.
class Socket
{
public:
    Socket() = default;
    explicit Socket(int number) : fd(number)
    {
    }
    Socket(Socket &&other) noexcept : fd(other.fd)
    {
        other.fd = -1;
    }
    Socket &operator=(Socket &&other) noexcept;
    ~Socket();
    void close();
    /// Closes with a reset.
    void reset();
    int number() const
    {
        return this->fd;
    }

private:
    int fd = -1;
};

bool sendAll(int socket, std::string_view bytes);
/// Reads one request; \p buffer keeps bytes of the next one. Returns nothing at the end of the connection.
std::optional<Request> readRequest(int socket, std::string &buffer);
/// Returns whether the peer has closed the connection or its sending side.
bool isPeerGone(int socket);
Socket connectTo(const std::string &address, milliseconds timeout, int receiveBuffer = 0, int segment = 0);

/// Accepts connections on a loopback address and serves each with a thread.
class Listener
{
public:
    using Serve = std::function<void(int socket)>;
    /// \p port 0 takes a free port.
    Listener(const std::string &ip, int port, Serve serve);
    ~Listener();
    /// Refuses further connections and lets those that are open go on.
    void closeListener();
    /// Ends the open connections as well, with a reset.
    void end();
    std::string address() const;

private:
    void accept();
    std::string ip;
    int port = 0;
    Serve serve;
    std::atomic<int> fd{-1};
    std::thread acceptor;
    std::mutex mutex;
    std::set<int> open;
    std::atomic<int> running{0};
    std::atomic<bool> isEnding{false};
};

/// The platform's store: rows-get, rows-feed and rows-tx.
class Store
{
public:
    Store(const std::string &ip, Record &record);
    std::string address() const;
    void put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);
    /// Every answer waits for this long.
    std::atomic<int> answerDelayMs{4};
    /// Reads and writes are refused with this status, if it is not 0.
    std::atomic<int> refusal{0};

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
    };
    struct Change
    {
        std::string table;
        std::string key;
        std::string value;
        std::uint64_t version = 0;
        bool isRemoved = false;
    };
    void serve(int socket);
    std::pair<int, json> answer(const Request &request);
    std::pair<int, json> transact(const Request &request);
    Record &record;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::map<std::string, Row>> tables;
    std::vector<Change> history;
    std::uint64_t version = 0;
    std::unique_ptr<Listener> listener;
};

/// What a server did with a request.
struct Run
{
    std::string id;
    std::string server;
    std::string tenant;
    std::string target;
    double arrivedAt = 0;
    /// When the server sent its answer, or noticed that its caller was gone.
    double endedAt = 0;
    int status = 0;
    bool isAnswered = false;
    bool isDropped = false;
};

/// A backend server. The target says what it does: `/route/work-MS/size-BYTES/NAME`.
class Server
{
public:
    Server(const std::string &ip, Store &rows, Record &log, const json &entry, const std::string &serverId);
    ~Server();
    std::string address() const;
    std::vector<Run> runs() const;
    /// Writes the entry with a state.
    void publish(const std::string &state);
    const std::string id;
    /// Chooses how a request ends; nothing for an ordinary answer. Gets the socket and the request.
    std::function<bool(int socket, const Request &request, Run &run)> fault;
    void end();

private:
    void serve(int socket);
    Store &store;
    Record &record;
    json base;
    std::uint64_t seq = 0;
    mutable std::mutex mutex;
    std::list<Run> list;
    std::unique_ptr<Listener> listener;
};

std::string bodyFor(const std::string &id, std::size_t size);
std::string answerText(int status, const std::string &id, const std::string &body, const std::string &extra = "");

struct ClientCall
{
    std::string address;
    std::string method = "GET";
    std::string target;
    std::string host;
    std::string key;
    std::string id;
    std::string body;
    int deadlineMs = 4000;
    /// Bytes a second at which the client reads the answer; 0 for no limit.
    double readRate = 0;
    int receiveBuffer = 0;
    int segment = 0;
};

struct ClientResult
{
    /// 0 without an answer.
    int status = 0;
    Headers headers;
    std::string body;
    std::size_t announced = 0;
    bool isComplete = false;
    double sentAt = 0;
    double endedAt = 0;
    std::string end;
    std::string header(const std::string &name) const;
};

/// A request that is sent some time after the others; its answer is not read.
struct LaterCall
{
    milliseconds after{0};
    ClientCall call;
};

/// Sends requests one behind the other on a new connection, and reads the answers in their order until the deadline of the first.
std::vector<ClientResult>
pipeline(const std::vector<ClientCall> &calls, Record &record, const std::vector<LaterCall> &later = {});

/// Sends one request on \p kept, or on a new connection if it has none, and reads the answer until the deadline.
ClientResult call(const ClientCall &what, Record &record, Socket *kept = nullptr);

/// Asks a host which addresses to use.
std::vector<std::string> resolve(const std::string &directory, const std::string &host, const std::string &zone, double &lifetime);

/// The hosts of a fleet, processes of the project's own program.
class Fleet
{
public:
    struct Options
    {
        std::vector<std::string> zones{"zone-a", "zone-b", "zone-c"};
        int hostsPerZone = 2;
        int memoryMb = 260;
        double graceSeconds = 6;
        bool startsAtOnce = true;
        /// The limit of open descriptors of a host; 0 for that of this program.
        unsigned descriptors = 0;
        double processorCores = 0.2;
    };
    Fleet(const std::string &root, const std::string &folder, const std::string &prefix, const std::string &storeAddress, Record &log, const Options &fleetOptions);
    ~Fleet();
    int size() const;
    void start(int host);
    void signal(int host, int number);
    /// Returns whether the process has ended; reaps it.
    bool hasEnded(int host);
    /// "exit N" or "signal N" once it has ended.
    std::string endOf(int host) const;
    bool isReady(int host) const;
    bool waitUntilReady(milliseconds timeout) const;
    std::string caller(int host) const;
    std::string directory(int host) const;
    std::string control(int host) const;
    std::string zone(int host) const;
    std::string id(int host) const;
    int hostOf(const std::string &callerAddress) const;
    pid_t processOf(int host) const;
    void writeSettings(int host) const;

private:
    struct Host
    {
        std::string ip;
        std::string zone;
        pid_t process = 0;
        std::string end;
    };
    std::string root;
    std::string folder;
    std::string storeAddress;
    Record &record;
    Options options;
    std::vector<Host> hosts;
};

/// Reads a status of the process, in kilobytes; 0 if there is none.
long memoryOf(pid_t process, const char *field);

/// Returns a folder of its own for temporary files.
std::string temporaryFolder();

/// Returns a prefix of loopback addresses, such as "127.33.4.", that differs between runs.
std::string addressPrefix();

/// Returns an entry of the configuration.
json resource(const std::string &kind, const std::string &name, json spec);

} // namespace review
