// Stand-ins for the review cases: the platform's store, backend servers, callers, and gateway processes.
//
// Every connection has a thread of its own; all addresses are loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace review {

using json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// The exit codes of a case.
constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

/// Whether the case plays its disruption.
inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// The record of a run: one line for each event, with the milliseconds since the start.
class Record
{
public:
    explicit Record(const std::string &path) : file(path)
    {
    }

    void add(const std::string &line)
    {
        const std::lock_guard lock(this->mutex);
        char stamp[32];
        const auto elapsed = std::chrono::duration_cast<milliseconds>(Clock::now() - this->start).count();
        std::snprintf(stamp, sizeof stamp, "%7ld ms  ", static_cast<long>(elapsed));
        this->file << stamp << line << std::endl;
        std::cout << stamp << line << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream file;
    const Clock::time_point start = Clock::now();
};

struct Message
{
    std::string first;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : this->headers) {
            if (key.size() == name.size() && strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }

    int status() const
    {
        return this->first.size() > 12 ? std::atoi(this->first.c_str() + 9) : 0;
    }

    std::string target() const
    {
        const auto begin = this->first.find(' ') + 1;
        return this->first.substr(begin, this->first.find(' ', begin) - begin);
    }
};

inline sockaddr_in socketAddress(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// One TCP connection with buffered reads.
class Connection
{
public:
    explicit Connection(int descriptor) : fd(descriptor)
    {
        const int on = 1;
        setsockopt(this->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    ~Connection()
    {
        ::close(this->fd);
    }

    static std::shared_ptr<Connection> open(const std::string &ip, int port)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = socketAddress(ip, port);
        if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
            ::close(fd);
            return nullptr;
        }
        return std::make_shared<Connection>(fd);
    }

    bool send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto count = ::send(this->fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Reads one message with a length; returns nothing at the end of the connection, at an error or at \p until.
    std::optional<Message> read(Clock::time_point until = Clock::time_point::max())
    {
        std::size_t headerEnd = 0;
        while ((headerEnd = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->fill(until)) {
                return std::nullopt;
            }
        }
        Message message;
        std::size_t at = this->buffer.find("\r\n");
        message.first = this->buffer.substr(0, at);
        while (at < headerEnd) {
            at += 2;
            const auto end = this->buffer.find("\r\n", at);
            const auto colon = this->buffer.find(':', at);
            auto begin = colon + 1;
            while (begin < end && this->buffer[begin] == ' ') {
                ++begin;
            }
            message.headers.emplace_back(this->buffer.substr(at, colon - at), this->buffer.substr(begin, end - begin));
            at = end;
        }
        const std::size_t length = std::strtoul(message.header("Content-Length").c_str(), nullptr, 10);
        while (this->buffer.size() < headerEnd + 4 + length) {
            if (!this->fill(until)) {
                return std::nullopt;
            }
        }
        message.body = this->buffer.substr(headerEnd + 4, length);
        this->buffer.erase(0, headerEnd + 4 + length);
        return message;
    }

    /// How the last read ended.
    std::string ending;

    /// Whether the peer has closed the connection or sent something unexpected.
    bool hasEnded() const
    {
        char byte = 0;
        const auto count = ::recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    void reset()
    {
        const linger abort{1, 0};
        setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
        ::shutdown(this->fd, SHUT_RD);
    }

    const int fd;

private:
    bool fill(Clock::time_point until)
    {
        int wait = -1;
        if (until != Clock::time_point::max()) {
            wait = static_cast<int>(std::max<std::int64_t>(0, std::chrono::ceil<milliseconds>(until - Clock::now()).count()));
        }
        pollfd waiting{this->fd, POLLIN, 0};
        if (::poll(&waiting, 1, wait) <= 0) {
            this->ending = "no more bytes in time";
            return false;
        }
        char bytes[16384];
        const auto count = ::recv(this->fd, bytes, sizeof bytes, 0);
        if (count <= 0) {
            this->ending = count == 0 ? "closed" : std::strerror(errno);
            return false;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    std::string buffer;
};

/// Listens on a free loopback port and runs a function for each connection on a thread of its own.
class Listener
{
public:
    using Function = std::function<void(const std::shared_ptr<Connection> &)>;

    Listener(const std::string &ip, Function function) : handler(std::move(function))
    {
        this->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = socketAddress(ip, 0);
        socklen_t size = sizeof address;
        if (::bind(this->fd, reinterpret_cast<sockaddr *>(&address), size) != 0 || ::listen(this->fd, 512) != 0) {
            throw std::runtime_error("no port to listen on");
        }
        ::getsockname(this->fd, reinterpret_cast<sockaddr *>(&address), &size);
        this->boundPort = ntohs(address.sin_port);
        std::thread([fd = this->fd, handler = this->handler] {
            for (;;) {
                const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) {
                    return;
                }
                std::thread([accepted, handler] {
                    handler(std::make_shared<Connection>(accepted));
                }).detach();
            }
        }).detach();
    }

    int port() const
    {
        return this->boundPort;
    }

private:
    Function handler;
    int fd = -1;
    int boundPort = 0;
};

inline std::string base64(const std::string &bytes)
{
    static const char *const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += i + k <= bytes.size() ? letters[group >> (18 - 6 * k) & 63U] : '=';
        }
    }
    return text;
}

inline std::string response(int status, const std::string &headers, const std::string &body)
{
    static const std::map<int, std::string> reasons{{200, "OK"},
                                                    {403, "Forbidden"},
                                                    {404, "Not Found"},
                                                    {410, "Gone"},
                                                    {412, "Precondition Failed"},
                                                    {421, "Misdirected Request"},
                                                    {500, "Internal Server Error"},
                                                    {503, "Service Unavailable"},
                                                    {504, "Gateway Timeout"}};
    return "HTTP/1.1 " + std::to_string(status) + " " + reasons.at(status) + "\r\n" + headers + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

/// The platform's store: rows-get, rows-feed and rows-tx without conditions.
class Store
{
public:
    explicit Store(const std::string &ip = "127.0.0.1") : ip(ip), listener(ip, [this](const auto &connection) {
        while (const auto request = connection->read()) {
            if (!connection->send(this->answer(*request))) {
                return;
            }
        }
    })
    {
    }

    std::string address() const
    {
        return this->ip + ":" + std::to_string(this->listener.port());
    }

    /// Writes a row as the operator or a server does; returns its version.
    std::uint64_t put(const std::string &table, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(this->mutex);
        this->history.push_back({++this->version, table, key, value, false});
        this->tables[table][key] = {value, this->version};
        this->changed.notify_all();
        return this->version;
    }

    /// Keeps \p value as it was sent in place of base64 text, as a store does that does not decode values.
    std::uint64_t putRaw(const std::string &table, const std::string &key, const std::string &value)
    {
        {
            const std::lock_guard lock(this->mutex);
            this->rawValues[table + "/" + key] = value;
        }
        return this->put(table, key, value);
    }

    std::uint64_t remove(const std::string &table, const std::string &key)
    {
        const std::lock_guard lock(this->mutex);
        this->history.push_back({++this->version, table, key, "", true});
        this->tables[table].erase(key);
        this->changed.notify_all();
        return this->version;
    }

private:
    struct Change
    {
        std::uint64_t version;
        std::string table;
        std::string key;
        std::string value;
        bool isRemoved;
    };

    static std::string unescaped(const std::string &text)
    {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                result += text[i];
            }
        }
        return result;
    }

    static std::map<std::string, std::string> query(const std::string &target)
    {
        std::map<std::string, std::string> result;
        auto at = target.find('?');
        while (at != std::string::npos) {
            const auto end = target.find('&', at + 1);
            const auto item = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            const auto equals = item.find('=');
            if (equals != std::string::npos) {
                result[item.substr(0, equals)] = unescaped(item.substr(equals + 1));
            }
            at = end;
        }
        return result;
    }

    json stamped() const
    {
        return {{"ver", this->version},
                {"now_s", std::chrono::duration<double>(Clock::now().time_since_epoch()).count()},
                {"rows", json::array()},
                {"has_more", false}};
    }

    std::string answer(const Message &request)
    {
        const auto target = request.target();
        const auto path = target.substr(0, target.find('?'));
        auto parameters = query(target);
        std::unique_lock lock(this->mutex);
        if (path == "/-/rows-get") {
            auto body = this->stamped();
            const auto &rows = this->tables[parameters["table"]];
            for (auto row = rows.lower_bound(parameters["from"]); row != rows.end() && parameters["part"].empty(); ++row) {
                body["rows"].push_back({{"table", parameters["table"]},
                                        {"part", ""},
                                        {"key", row->first},
                                        {"value", this->valueOf(parameters["table"], row->first, row->second.first)},
                                        {"ver", row->second.second}});
            }
            return response(200, "Content-Type: application/json\r\n", body.dump());
        }
        if (path == "/-/rows-feed") {
            const auto after = std::stoull("0" + parameters["after"]);
            const auto until = Clock::now() + milliseconds(std::min(30000, std::atoi(parameters["wait_ms"].c_str())));
            for (;;) {
                auto body = this->stamped();
                for (const auto &change : this->history) {
                    if (change.version <= after || change.table != parameters["table"]) {
                        continue;
                    }
                    json row{{"table", change.table}, {"part", ""}, {"key", change.key}, {"ver", change.version}};
                    if (change.isRemoved) {
                        row["removed"] = true;
                    } else {
                        row["value"] = this->valueOf(change.table, change.key, change.value);
                    }
                    body["rows"].push_back(std::move(row));
                }
                if (!body["rows"].empty() || Clock::now() >= until) {
                    return response(200, "Content-Type: application/json\r\n", body.dump());
                }
                this->changed.wait_until(lock, until);
            }
        }
        if (path == "/-/rows-tx") {
            const auto document = json::parse(request.body, nullptr, false);
            ++this->version;
            for (const auto &write : document.value("writes", json::array())) {
                // Values of the system's own rows are kept as they came, in base64.
                const auto table = write.at("table").get<std::string>();
                const auto bytes = decoded(write.at("value").get<std::string>());
                this->history.push_back({this->version, table, write.at("key"), bytes, false});
                this->tables[table][write.at("key")] = {bytes, this->version};
            }
            this->changed.notify_all();
            return response(200, "Content-Type: application/json\r\n", this->stamped().dump());
        }
        return response(404, "", "");
    }

    std::string valueOf(const std::string &table, const std::string &key, const std::string &bytes) const
    {
        const auto raw = this->rawValues.find(table + "/" + key);
        return raw == this->rawValues.end() ? base64(bytes) : raw->second;
    }

    static std::string decoded(const std::string &text)
    {
        std::string bytes;
        std::uint32_t group = 0;
        int bits = 0;
        for (const char letter : text) {
            static const std::string letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
            const auto value = letters.find(letter);
            if (value == std::string::npos) {
                break;
            }
            group = group << 6 | static_cast<std::uint32_t>(value);
            bits += 6;
            if (bits >= 8) {
                bits -= 8;
                bytes += static_cast<char>(group >> bits & 255U);
            }
        }
        return bytes;
    }

    const std::string ip;
    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t version = 0;
    std::map<std::string, std::map<std::string, std::pair<std::string, std::uint64_t>>> tables;
    std::vector<Change> history;
    std::map<std::string, std::string> rawValues;
    Listener listener;
};

/// What reached a backend server, and what became of it.
struct Arrival
{
    std::string id;
    std::string server;
    Clock::time_point at;
    milliseconds deadline{0};
    std::string tenant;
    /// Set when the work was finished and the response was sent.
    std::optional<Clock::time_point> finishedAt;
    /// Set when the server stopped because its caller closed the connection.
    std::optional<Clock::time_point> brokenOffAt;
};

/// The requests that reached all servers.
class Arrivals
{
public:
    std::size_t add(Arrival arrival)
    {
        const std::lock_guard lock(this->mutex);
        this->entries.push_back(std::move(arrival));
        return this->entries.size() - 1;
    }

    void finish(std::size_t number)
    {
        const std::lock_guard lock(this->mutex);
        this->entries[number].finishedAt = Clock::now();
    }

    void breakOff(std::size_t number)
    {
        const std::lock_guard lock(this->mutex);
        this->entries[number].brokenOffAt = Clock::now();
    }

    std::vector<Arrival> all() const
    {
        const std::lock_guard lock(this->mutex);
        return this->entries;
    }

    std::vector<Arrival> of(const std::string &id) const
    {
        std::vector<Arrival> found;
        for (const auto &arrival : this->all()) {
            if (arrival.id == id) {
                found.push_back(arrival);
            }
        }
        return found;
    }

private:
    mutable std::mutex mutex;
    std::vector<Arrival> entries;
};

/// A sound backend server: works for a given time, stops at the deadline it received or when its caller has closed the connection.
class Server
{
public:
    /// Returns how long the server works on a request.
    using Work = std::function<milliseconds(const Message &)>;

    Server(std::string serverId, Arrivals &all, Record &eventRecord, Work work)
        : id(std::move(serverId)), arrivals(all), record(eventRecord), workTime(std::move(work)), listener("127.0.0.1", [this](const auto &connection) {
            while (const auto request = connection->read()) {
                if (!this->serve(*connection, *request)) {
                    return;
                }
            }
        })
    {
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->listener.port());
    }

    json entry(const std::string &service, const std::string &zone, int capacity = 4, const std::string &state = "ready") const
    {
        return {{"service", service},
                {"addr", this->address()},
                {"zone", zone},
                {"version", "1.0"},
                {"capacity", capacity},
                {"state", state},
                {"warmup_left_s", 0},
                {"seq", 1},
                {"born", 1'700'000'000'000}};
    }

    const std::string id;

private:
    bool serve(Connection &connection, const Message &request)
    {
        const auto attempt = request.header("Attempt-Id");
        const std::string echo = "Attempt-Id: " + attempt + "\r\nKeep-Alive: timeout=10\r\n";
        if (request.target() == "/healthz") {
            return connection.send(response(200, "Instance-Id: " + this->id + "\r\n", ""));
        }
        if (const auto expected = request.header("Expect-Instance"); !expected.empty() && expected != this->id) {
            return connection.send(response(421, echo + "Not-Executed: 1\r\n", ""));
        }
        Arrival arrival;
        arrival.id = attempt;
        arrival.server = this->id;
        arrival.at = Clock::now();
        arrival.deadline = milliseconds(std::atol(request.header("Deadline-Ms").c_str()));
        arrival.tenant = request.header("Tenant");
        const auto number = this->arrivals.add(arrival);
        this->record.add("server " + this->id + " begins " + attempt + " (Deadline-Ms " + std::to_string(arrival.deadline.count()) + ")");
        const auto end = arrival.at + this->workTime(request);
        const auto deadline = arrival.at + arrival.deadline;
        while (Clock::now() < std::min(end, deadline)) {
            if (connection.hasEnded()) {
                this->arrivals.breakOff(number);
                this->record.add("server " + this->id + " stops " + attempt + ": its connection was closed");
                return false;
            }
            std::this_thread::sleep_for(milliseconds(5));
        }
        if (end > deadline) {
            this->record.add("server " + this->id + " reached the deadline of " + attempt);
            return connection.send(response(504, echo, ""));
        }
        this->arrivals.finish(number);
        this->record.add("server " + this->id + " ran " + attempt + " to its end");
        const std::string body = "body of " + attempt;
        return connection.send(response(200, echo + "Server-Seal: seal." + attempt + "\r\n", body));
    }

    Arrivals &arrivals;
    Record &record;
    const Work workTime;
    Listener listener;
};

/// One entry of the operator's configuration.
inline json resource(const std::string &kind, const std::string &name, json spec)
{
    return {{"resource_type", kind}, {"meta", {{"name", name}}}, {"spec", std::move(spec)}};
}

inline json route(const std::string &name, const std::string &host, const std::string &service, bool isSafe, double timeoutSeconds)
{
    return resource("routes",
                    name,
                    {{"host", host},
                     {"prefix", "/" + name + "/"},
                     {"service", service},
                     {"type", isSafe ? "safe" : "unsafe"},
                     {"timeout_s", timeoutSeconds},
                     {"slo_s", 0.8},
                     {"max_attempts", 3},
                     {"priority", isSafe ? 2 : 1}});
}

/// Some free ports of one loopback address, the same for all addresses of a run.
struct Ports
{
    int caller = 0;
    int readiness = 0;
    int directory = 0;
    int control = 0;
    int peer = 0;

    /// Takes ports that are free on 127.0.0.1 now.
    static Ports find()
    {
        std::vector<int> sockets;
        std::vector<int> ports;
        for (int i = 0; i < 5; ++i) {
            const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            auto address = socketAddress("127.0.0.1", 0);
            socklen_t size = sizeof address;
            if (::bind(fd, reinterpret_cast<sockaddr *>(&address), size) != 0) {
                throw std::runtime_error("no free port");
            }
            ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
            ports.push_back(ntohs(address.sin_port));
            sockets.push_back(fd);
        }
        for (const int fd : sockets) {
            ::close(fd);
        }
        return {ports[0], ports[1], ports[2], ports[3], ports[4]};
    }
};

/// The gateway processes of a small deployment; one host for each zone unless more are asked for.
class Fleet
{
public:
    Fleet(std::string programPath, const Store &store, std::vector<std::string> zoneNames, int hostCount, Record &eventRecord)
        : program(std::move(programPath)), storeAddress(store.address()), zones(std::move(zoneNames)), record(eventRecord), ports(Ports::find())
    {
        std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (::mkdtemp(name.data()) == nullptr) {
            throw std::runtime_error("no temporary folder");
        }
        this->folder = name;
        const auto process = static_cast<int>(::getpid());
        const auto prefix = "127." + std::to_string(16 + process % 200) + "." + std::to_string(process / 200 % 250) + ".";
        for (int i = 0; i < hostCount; ++i) {
            this->hosts.push_back({prefix + std::to_string(i + 1), 0});
        }
        for (int i = 0; i < hostCount; ++i) {
            this->start(i, true);
        }
    }

    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    ~Fleet()
    {
        for (auto &host : this->hosts) {
            if (host.pid > 0) {
                ::kill(host.pid, SIGKILL);
                ::waitpid(host.pid, nullptr, 0);
            }
        }
        if (std::getenv("KEEP_LOGS") == nullptr) {
            std::error_code ignored;
            std::filesystem::remove_all(this->folder, ignored);
        } else {
            std::cout << "logs: " << this->folder << std::endl;
        }
    }

    std::string zoneOf(int host) const
    {
        return this->zones[static_cast<std::size_t>(host) % this->zones.size()];
    }

    void start(int host, bool isFirstStart)
    {
        auto &own = this->hosts[static_cast<std::size_t>(host)];
        const auto at = [&](int port) {
            return own.ip + ":" + std::to_string(port);
        };
        json seeds = json::array();
        for (std::size_t i = 0; i < std::min<std::size_t>(3, this->hosts.size()); ++i) {
            seeds.push_back(this->hosts[i].ip + ":" + std::to_string(this->ports.control));
        }
        // The fields of deploy/host.json.template, with the bounds of the smaller deployments.
        json settings{{"id", "host-" + std::to_string(host + 1)},
                      {"failureDomain", this->zoneOf(host)},
                      {"failureDomains", this->zones},
                      {"callerAddress", at(this->ports.caller)},
                      {"readinessAddress", at(this->ports.readiness)},
                      {"directoryAddress", at(this->ports.directory)},
                      {"controlAddress", at(this->ports.control)},
                      {"peerAddress", at(this->ports.peer)},
                      {"storeAddress", this->storeAddress},
                      {"seeds", seeds},
                      {"processorCores", 0.2},
                      {"memoryMb", 260},
                      {"quotaWindowSeconds", 5},
                      {"stopGraceSeconds", 6},
                      {"retryBudget", {{"ratio", 0.2}, {"slack", 62}, {"windowSeconds", 10}}},
                      {"logLevel", "info"}};
        if (isFirstStart) {
            settings["firstStart"] = true;
        }
        const auto base = this->folder + "/host-" + std::to_string(host + 1);
        std::ofstream(base + ".json") << settings.dump(2);
        const auto argument = "--settings=" + base + ".json";
        const auto log = base + ".log";
        const pid_t pid = ::fork();
        if (pid == 0) {
            // A case that is ended from outside leaves no process behind.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
            ::dup2(output, 1);
            ::dup2(output, 2);
            ::execl(this->program.c_str(), this->program.c_str(), "--gateway", argument.c_str(), nullptr);
            ::_exit(127);
        }
        own.pid = pid;
        this->record.add("host-" + std::to_string(host + 1) + " starts");
    }

    void signal(int host, int number)
    {
        const auto name = number == SIGTERM ? "SIGTERM" : number == SIGKILL ? "SIGKILL" : number == SIGSTOP ? "SIGSTOP" : number == SIGCONT ? "SIGCONT" : "a signal";
        this->record.add("host-" + std::to_string(host + 1) + " gets " + name);
        ::kill(this->hosts[static_cast<std::size_t>(host)].pid, number);
    }

    /// Waits for the end of a process; returns its exit code or minus its signal.
    std::optional<int> waitForEnd(int host, milliseconds bound)
    {
        auto &own = this->hosts[static_cast<std::size_t>(host)];
        const auto until = Clock::now() + bound;
        while (Clock::now() < until) {
            int status = 0;
            if (::waitpid(own.pid, &status, WNOHANG) == own.pid) {
                own.pid = 0;
                const int code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
                this->record.add("host-" + std::to_string(host + 1) + " has ended with " + std::to_string(code));
                return code;
            }
            std::this_thread::sleep_for(milliseconds(10));
        }
        return std::nullopt;
    }

    bool isReady(int host) const
    {
        const auto connection = Connection::open(this->hosts[static_cast<std::size_t>(host)].ip, this->ports.readiness);
        if (!connection || !connection->send("GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")) {
            return false;
        }
        const auto answer = connection->read(Clock::now() + milliseconds(500));
        return answer && answer->status() == 200;
    }

    bool waitUntilReady(milliseconds bound = milliseconds(10000)) const
    {
        const auto until = Clock::now() + bound;
        for (std::size_t host = 0; host < this->hosts.size(); ++host) {
            while (!this->isReady(static_cast<int>(host))) {
                if (Clock::now() > until) {
                    return false;
                }
                std::this_thread::sleep_for(milliseconds(50));
            }
        }
        return true;
    }

    /// Returns what a host answers to the callers' question for addresses.
    std::string resolve(int host) const
    {
        const auto connection = Connection::open(this->hosts[static_cast<std::size_t>(host)].ip, this->ports.directory);
        if (!connection || !connection->send("GET /-/resolve?name=site.example&region=r&zone=" + this->zoneOf(host) + " HTTP/1.1\r\nHost: x\r\n\r\n")) {
            return {};
        }
        const auto answer = connection->read(Clock::now() + milliseconds(1000));
        return answer ? std::to_string(answer->status()) + " " + answer->body : std::string();
    }

    std::shared_ptr<Connection> connect(int host) const
    {
        return Connection::open(this->hosts[static_cast<std::size_t>(host)].ip, this->ports.caller);
    }

    std::string callerAddress(int host) const
    {
        return this->hosts[static_cast<std::size_t>(host)].ip + ":" + std::to_string(this->ports.caller);
    }

    const std::string &logFolder() const
    {
        return this->folder;
    }

private:
    struct Host
    {
        std::string ip;
        pid_t pid = 0;
    };

    const std::string program;
    const std::string storeAddress;
    const std::vector<std::string> zones;
    Record &record;
    const Ports ports;
    std::string folder;
    std::vector<Host> hosts;
};

inline std::string requestText(const std::string &method, const std::string &target, const std::string &host, const std::string &id, int deadlineMs,
                               const std::string &key, const std::string &body = {})
{
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(deadlineMs)
        + "\r\nAuthorization: Bearer " + key + "\r\n";
    if (method != "GET") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

/// Runs a case and turns what stops it into the code for a case that could not run.
inline int runCase(int argc, char **argv, const std::function<int(const std::string &program, Record &record)> &body)
{
    if (argc != 3) {
        std::cerr << "usage: " << argv[0] << " GATEWAY-PROGRAM RECORD-FILE\n";
        return CouldNotRun;
    }
    ::signal(SIGPIPE, SIG_IGN);
    Record record(argv[2]);
    int code = CouldNotRun;
    try {
        code = body(argv[1], record);
    } catch (const std::exception &error) {
        record.add(std::string("the case could not run: ") + error.what());
    }
    record.add(code == Held ? "result: the rule held" : code == Broken ? "result: the rule was broken" : "result: the case could not run");
    // The threads of the stand-ins are still running.
    std::cout.flush();
    ::_exit(code);
}

} // namespace review
