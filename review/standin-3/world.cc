#include "world.hh"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

Record::Record(const std::string &path) : file(std::fopen(path.c_str(), "w"))
{
    if (this->file == nullptr) {
        throw std::runtime_error("cannot write " + path);
    }
}

Record::~Record()
{
    std::fclose(this->file);
}

double Record::now() const
{
    return std::chrono::duration<double>(Clock::now() - this->startedAt).count();
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(this->mutex);
    std::fprintf(this->file, "%8.3f %s\n", this->now(), text.c_str());
    std::fflush(this->file);
}

static std::string lowered(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) {
        return std::tolower(letter);
    });
    return text;
}

static std::string find(const Headers &headers, const std::string &name)
{
    const auto found = headers.find(lowered(name));
    return found == headers.end() ? std::string() : found->second;
}

std::string Request::header(const std::string &name) const
{
    return find(this->headers, name);
}

std::string ClientResult::header(const std::string &name) const
{
    return find(this->headers, name);
}

Socket &Socket::operator=(Socket &&other) noexcept
{
    if (this != &other) {
        this->close();
        this->fd = std::exchange(other.fd, -1);
    }
    return *this;
}

Socket::~Socket()
{
    this->close();
}

void Socket::close()
{
    if (this->fd >= 0) {
        ::close(std::exchange(this->fd, -1));
    }
}

void Socket::reset()
{
    if (this->fd >= 0) {
        const linger now{1, 0};
        ::setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        this->close();
    }
}

bool sendAll(int socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto sent = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

static void parseHeaders(const std::string &text, Headers &headers)
{
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        const auto first = line.find_first_not_of(" \t", colon + 1);
        headers.emplace(lowered(line.substr(0, colon)), first == std::string::npos ? "" : line.substr(first));
    }
}

std::optional<Request> readRequest(int socket, std::string &buffer)
{
    std::array<char, 65536> chunk;
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        const auto size = ::recv(socket, chunk.data(), chunk.size(), 0);
        if (size <= 0) {
            return std::nullopt;
        }
        buffer.append(chunk.data(), static_cast<std::size_t>(size));
    }
    Request request;
    const auto lineEnd = buffer.find("\r\n");
    std::istringstream line(buffer.substr(0, lineEnd));
    line >> request.method >> request.target;
    parseHeaders(buffer.substr(lineEnd + 2, end - lineEnd), request.headers);
    buffer.erase(0, end + 4);
    const auto length = request.header("content-length");
    const std::size_t expected = length.empty() ? 0 : std::stoul(length);
    while (buffer.size() < expected) {
        const auto size = ::recv(socket, chunk.data(), chunk.size(), 0);
        if (size <= 0) {
            return std::nullopt;
        }
        buffer.append(chunk.data(), static_cast<std::size_t>(size));
    }
    request.body = buffer.substr(0, expected);
    buffer.erase(0, expected);
    return request;
}

bool isPeerGone(int socket)
{
    pollfd entry{socket, POLLRDHUP, 0};
    return ::poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

static sockaddr_in parseAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    sockaddr_in parsed{};
    parsed.sin_family = AF_INET;
    parsed.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
    return parsed;
}

Socket connectTo(const std::string &address, milliseconds timeout, int receiveBuffer, int segment)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (receiveBuffer > 0) {
        ::setsockopt(socket.number(), SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    }
    if (segment > 0) {
        ::setsockopt(socket.number(), IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    }
    const auto target = parseAddress(address);
    ::fcntl(socket.number(), F_SETFL, O_NONBLOCK);
    if (::connect(socket.number(), reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        if (errno != EINPROGRESS) {
            return {};
        }
        pollfd entry{socket.number(), POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (::poll(&entry, 1, static_cast<int>(timeout.count())) <= 0
            || ::getsockopt(socket.number(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            return {};
        }
    }
    ::fcntl(socket.number(), F_SETFL, 0);
    const int on = 1;
    ::setsockopt(socket.number(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return socket;
}

Listener::Listener(const std::string &address, int wanted, Serve handler) : ip(address), serve(std::move(handler))
{
    const int number = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(number, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto local = parseAddress(this->ip + ":" + std::to_string(wanted));
    if (::bind(number, reinterpret_cast<sockaddr *>(&local), sizeof local) != 0 || ::listen(number, 1024) != 0) {
        ::close(number);
        throw std::runtime_error("cannot listen on " + this->ip);
    }
    socklen_t size = sizeof local;
    ::getsockname(number, reinterpret_cast<sockaddr *>(&local), &size);
    this->port = ntohs(local.sin_port);
    this->fd = number;
    this->acceptor = std::thread([this] {
        this->accept();
    });
}

Listener::~Listener()
{
    this->end();
}

void Listener::accept()
{
    while (!this->isEnding) {
        const int number = this->fd;
        if (number < 0) {
            return;
        }
        pollfd entry{number, POLLIN, 0};
        if (::poll(&entry, 1, 50) <= 0 || this->fd < 0) {
            continue;
        }
        const int socket = ::accept4(number, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            continue;
        }
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        {
            const std::lock_guard lock(this->mutex);
            this->open.insert(socket);
        }
        ++this->running;
        std::thread([this, socket] {
            this->serve(socket);
            {
                const std::lock_guard lock(this->mutex);
                this->open.erase(socket);
                ::close(socket);
            }
            --this->running;
        }).detach();
    }
}

void Listener::closeListener()
{
    if (const int number = this->fd.exchange(-1); number >= 0) {
        ::shutdown(number, SHUT_RDWR);
        ::close(number);
    }
}

void Listener::end()
{
    this->isEnding = true;
    if (this->acceptor.joinable()) {
        this->acceptor.join();
    }
    this->closeListener();
    {
        const std::lock_guard lock(this->mutex);
        for (const int socket : this->open) {
            const linger now{1, 0};
            ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
            ::shutdown(socket, SHUT_RDWR);
        }
    }
    while (this->running > 0) {
        std::this_thread::sleep_for(milliseconds(5));
    }
}

std::string Listener::address() const
{
    return this->ip + ":" + std::to_string(this->port);
}

static std::string base64(const std::string &text)
{
    static constexpr std::string_view Letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            bits = bits << 8 | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            result += i + j <= text.size() ? Letters[bits >> (18 - 6 * j) & 63] : '=';
        }
    }
    return result;
}

static std::string unbase64(const std::string &text)
{
    static const std::string Letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char letter : text) {
        const auto value = Letters.find(letter);
        if (value == std::string::npos) {
            break;
        }
        bits = bits << 6 | static_cast<std::uint32_t>(value);
        count += 6;
        if (count >= 8) {
            count -= 8;
            result += static_cast<char>(bits >> count & 255);
        }
    }
    return result;
}

static std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    const auto start = target.find('?');
    if (start == std::string::npos) {
        return query;
    }
    std::istringstream fields(target.substr(start + 1));
    std::string field;
    while (std::getline(fields, field, '&')) {
        const auto equals = field.find('=');
        std::string value;
        for (std::size_t i = equals + 1; i < field.size(); ++i) {
            if (field[i] == '%' && i + 2 < field.size()) {
                value += static_cast<char>(std::stoi(field.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                value += field[i];
            }
        }
        query[field.substr(0, equals)] = value;
    }
    return query;
}

Store::Store(const std::string &ip, Record &log) : record(log)
{
    this->listener = std::make_unique<Listener>(ip, 0, [this](int socket) {
        this->serve(socket);
    });
}

std::string Store::address() const
{
    return this->listener->address();
}

void Store::put(const std::string &table, const std::string &key, const std::string &value)
{
    {
        const std::lock_guard lock(this->mutex);
        this->tables[table][key] = {value, ++this->version};
        this->history.push_back({table, key, value, this->version, false});
        this->record.line("store put " + table + "/" + key + " version " + std::to_string(this->version));
    }
    this->changed.notify_all();
}

void Store::remove(const std::string &table, const std::string &key)
{
    {
        const std::lock_guard lock(this->mutex);
        if (this->tables[table].erase(key) == 0) {
            return;
        }
        this->history.push_back({table, key, "", ++this->version, true});
        this->record.line("store remove " + table + "/" + key + " version " + std::to_string(this->version));
    }
    this->changed.notify_all();
}

void Store::serve(int socket)
{
    std::string buffer;
    while (const auto request = readRequest(socket, buffer)) {
        const auto [status, document] = this->answer(*request);
        std::this_thread::sleep_for(milliseconds(this->answerDelayMs.load()));
        const auto body = document.dump();
        const auto text = "HTTP/1.1 " + std::to_string(status) + " Status\r\nStore-Era: 1\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
        if (!sendAll(socket, text)) {
            return;
        }
    }
}

std::pair<int, json> Store::transact(const Request &request)
{
    const auto document = json::parse(request.body, nullptr, false);
    if (document.is_discarded()) {
        return {400, json::object()};
    }
    std::unique_lock lock(this->mutex);
    for (const auto &row : document.value("expected_rev", json::array())) {
        auto &table = this->tables[row.at("table").get<std::string>()];
        const auto found = table.find(row.at("key").get<std::string>());
        if ((found == table.end() ? 0 : found->second.version) != row.at("ver").get<std::uint64_t>()) {
            return {412, json{{"rows", json::array()}, {"ver", this->version}, {"now_s", this->record.now()}}};
        }
    }
    ++this->version;
    for (const auto &row : document.value("writes", json::array())) {
        const auto table = row.at("table").get<std::string>();
        const auto key = row.at("key").get<std::string>();
        if (table == "op" || table == "servers") {
            return {403, json::object()};
        }
        const auto value = unbase64(row.at("value").get<std::string>());
        this->tables[table][key] = {value, this->version};
        this->history.push_back({table, key, value, this->version, false});
    }
    json result{{"ver", this->version}, {"now_s", this->record.now()}};
    lock.unlock();
    this->changed.notify_all();
    return {200, std::move(result)};
}

std::pair<int, json> Store::answer(const Request &request)
{
    if (const int status = this->refusal; status != 0) {
        return {status, json::object()};
    }
    const auto path = request.target.substr(0, request.target.find('?'));
    auto query = queryOf(request.target);
    if (path == "/-/rows-tx") {
        return this->transact(request);
    }
    std::unique_lock lock(this->mutex);
    const auto entryOf = [](const std::string &table, const std::string &key, const std::string &value, std::uint64_t rowVersion) {
        return json{{"table", table}, {"part", ""}, {"key", key}, {"value", base64(value)}, {"ver", rowVersion}};
    };
    json rows = json::array();
    if (path == "/-/rows-get") {
        const std::size_t limit = query.contains("limit") ? std::min<std::size_t>(500, std::stoul(query["limit"])) : 500;
        bool hasMore = false;
        for (const auto &[key, row] : this->tables[query["table"]]) {
            if (key < query["from"] || (query.contains("target") && key >= query["target"])) {
                continue;
            }
            if (rows.size() >= limit) {
                hasMore = true;
                break;
            }
            rows.push_back(entryOf(query["table"], key, row.value, row.version));
        }
        return {200, json{{"rows", rows}, {"has_more", hasMore}, {"ver", this->version}, {"now_s", this->record.now()}}};
    }
    if (path != "/-/rows-feed") {
        return {404, json::object()};
    }
    const auto after = std::stoull(query["after"]);
    const auto until = Clock::now() + milliseconds(std::min(30'000, std::stoi(query["wait_ms"])));
    if (after > this->version) {
        return {410, json::object()};
    }
    while (true) {
        std::map<std::string, const Change *> newest;
        for (const auto &change : this->history) {
            if (change.version > after && change.table == query["table"]) {
                newest[change.key] = &change;
            }
        }
        std::vector<const Change *> ordered;
        for (const auto &[key, change] : newest) {
            ordered.push_back(change);
        }
        std::sort(ordered.begin(), ordered.end(), [](const Change *left, const Change *right) {
            return left->version < right->version;
        });
        for (const auto *const change : ordered) {
            auto entry = entryOf(change->table, change->key, change->value, change->version);
            if (change->isRemoved) {
                entry["removed"] = true;
                entry.erase("value");
            }
            rows.push_back(std::move(entry));
        }
        if (!rows.empty() || this->changed.wait_until(lock, until) == std::cv_status::timeout) {
            return {200, json{{"rows", rows}, {"ver", this->version}, {"now_s", this->record.now()}}};
        }
    }
}

std::string bodyFor(const std::string &id, std::size_t size)
{
    std::string body;
    body.reserve(size + id.size() + 1);
    while (body.size() < size) {
        body += id + ".";
    }
    body.resize(size);
    return body;
}

std::string answerText(int status, const std::string &id, const std::string &body, const std::string &extra)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nAttempt-Id: " + id + "\r\nServer-Seal: seal-" + id + "\r\n" + extra
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Server::Server(const std::string &ip, Store &rows, Record &log, const json &entry, const std::string &serverId)
    : id(serverId), store(rows), record(log), base(entry)
{
    this->listener = std::make_unique<Listener>(ip, 0, [this](int socket) {
        this->serve(socket);
    });
    this->base["addr"] = this->listener->address();
}

Server::~Server()
{
    this->end();
}

void Server::end()
{
    this->listener->end();
}

std::string Server::address() const
{
    return this->listener->address();
}

std::vector<Run> Server::runs() const
{
    const std::lock_guard lock(this->mutex);
    return {this->list.begin(), this->list.end()};
}

void Server::publish(const std::string &state)
{
    auto entry = this->base;
    entry["state"] = state;
    entry["seq"] = ++this->seq;
    this->store.put("servers", this->id, entry.dump());
}

/// Returns the number behind `name-` in a target.
static std::size_t figure(const std::string &target, const std::string &name, std::size_t fallback)
{
    const auto found = target.find("/" + name + "-");
    return found == std::string::npos ? fallback : std::stoul(target.substr(found + name.size() + 2));
}

void Server::serve(int socket)
{
    std::string buffer;
    while (const auto request = readRequest(socket, buffer)) {
        const auto requestId = request->header("attempt-id");
        if (request->target == "/healthz") {
            sendAll(socket, "HTTP/1.1 200 OK\r\nInstance-Id: " + this->id + "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        const auto expected = request->header("expect-instance");
        if (!expected.empty() && expected != this->id) {
            sendAll(socket, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + requestId + "\r\nInstance-Id: " + this->id + "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        Run *run = nullptr;
        {
            const std::lock_guard lock(this->mutex);
            this->list.push_back({requestId, this->id, request->header("tenant"), request->target, this->record.now(), 0, 0, false, false});
            run = &this->list.back();
        }
        this->record.line("server " + this->id + " runs " + requestId + " " + request->method + " " + request->target + " deadline_ms "
                          + request->header("deadline-ms"));
        if (this->fault && this->fault(socket, *request, *run)) {
            const std::lock_guard lock(this->mutex);
            run->endedAt = this->record.now();
            return;
        }
        // A server stops work at the deadline that it receives, and says so.
        const auto work = figure(request->target, "work", 20);
        const auto stated = request->header("deadline-ms");
        const auto limit = stated.empty() ? work : std::stoul(stated);
        const bool isLate = work > limit;
        const auto until = Clock::now() + milliseconds(std::min<std::size_t>(work, limit));
        bool isGone = false;
        while (!isGone && Clock::now() < until) {
            std::this_thread::sleep_for(std::min<Clock::duration>(milliseconds(5), until - Clock::now()));
            isGone = isPeerGone(socket);
        }
        {
            const std::lock_guard lock(this->mutex);
            run->endedAt = this->record.now();
            run->isDropped = isGone;
            run->isAnswered = !isGone;
            run->status = isGone ? 0 : isLate ? 504 : 200;
        }
        this->record.line("server " + this->id + (isGone ? " drops " : isLate ? " stops at the deadline of " : " answers ") + requestId);
        const auto size = isLate ? 0 : figure(request->target, "size", 400);
        if (isGone || !sendAll(socket, answerText(isLate ? 504 : 200, requestId, bodyFor(requestId, size)))) {
            return;
        }
    }
}

static std::string requestText(const ClientCall &what)
{
    std::string text = what.method + " " + what.target + " HTTP/1.1\r\nHost: " + what.host + "\r\nAttempt-Id: " + what.id
        + "\r\nDeadline-Ms: " + std::to_string(what.deadlineMs) + "\r\n";
    if (!what.key.empty()) {
        text += "Authorization: Bearer " + what.key + "\r\n";
    }
    if (what.method != "GET") {
        text += "Content-Length: " + std::to_string(what.body.size()) + "\r\n";
    }
    return text + "\r\n" + what.body;
}

/// Reads bytes of an answer; at a limited rate if \p rate is above 0. Returns why there are none, or nothing.
class AnswerReader
{
public:
    AnswerReader(int number, Clock::time_point deadline, double bytesPerSecond) : socket(number), until(deadline), rate(bytesPerSecond)
    {
    }

    std::string readInto(std::string &bytes)
    {
        while (true) {
            const auto left = std::chrono::duration_cast<milliseconds>(this->until - Clock::now()).count();
            pollfd entry{this->socket, POLLIN, 0};
            if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0) {
                return "deadline";
            }
            std::size_t step = this->chunk.size();
            if (this->rate > 0) {
                // A reader of small pieces, as behind a link of this rate.
                static constexpr std::size_t Piece = 1000;
                this->since = this->since.value_or(Clock::now());
                const double allowed = this->rate * std::chrono::duration<double>(Clock::now() - *this->since).count() + 2 * Piece;
                if (allowed < static_cast<double>(this->total + Piece)) {
                    std::this_thread::sleep_for(milliseconds(2));
                    continue;
                }
                step = std::min(step, static_cast<std::size_t>(allowed) - this->total);
            }
            const auto size = ::recv(this->socket, this->chunk.data(), step, 0);
            if (size <= 0) {
                return size == 0 ? "closed" : std::string("error: ") + std::strerror(errno);
            }
            bytes.append(this->chunk.data(), static_cast<std::size_t>(size));
            this->total += static_cast<std::size_t>(size);
            return "";
        }
    }

private:
    const int socket;
    const Clock::time_point until;
    const double rate;
    std::optional<Clock::time_point> since;
    std::size_t total = 0;
    std::array<char, 65536> chunk;
};

/// Takes one answer out of \p bytes, and reads on as long as it is incomplete.
static void readAnswer(AnswerReader &reader, std::string &bytes, ClientResult &result)
{
    std::size_t headerEnd = std::string::npos;
    while (true) {
        if (headerEnd == std::string::npos && (headerEnd = bytes.find("\r\n\r\n")) != std::string::npos) {
            const auto lineEnd = bytes.find("\r\n");
            result.status = std::atoi(bytes.substr(9, 3).c_str());
            parseHeaders(bytes.substr(lineEnd + 2, headerEnd - lineEnd), result.headers);
            result.announced = std::strtoul(result.header("content-length").c_str(), nullptr, 10);
        }
        if (headerEnd != std::string::npos && bytes.size() >= headerEnd + 4 + result.announced) {
            result.isComplete = true;
            result.end = "complete";
            break;
        }
        if (const auto end = reader.readInto(bytes); !end.empty()) {
            result.end = end;
            break;
        }
    }
    if (headerEnd != std::string::npos) {
        const auto bodySize = std::min(result.announced, bytes.size() - headerEnd - 4);
        result.body = bytes.substr(headerEnd + 4, bodySize);
        bytes.erase(0, headerEnd + 4 + bodySize);
    }
}

static void recordEnd(const ClientCall &what, ClientResult &result, Record &record)
{
    result.endedAt = record.now();
    record.line("client " + what.id + " ends: " + result.end + ", status " + std::to_string(result.status) + ", "
                + std::to_string(result.body.size()) + " of " + std::to_string(result.announced) + " bytes, after "
                + std::to_string(result.endedAt - result.sentAt) + " s");
}

ClientResult call(const ClientCall &what, Record &record, Socket *kept)
{
    ClientResult result;
    const auto until = Clock::now() + milliseconds(what.deadlineMs);
    Socket own;
    Socket &socket = kept != nullptr ? *kept : own;
    if (socket.number() < 0) {
        socket = connectTo(what.address, milliseconds(1000), what.receiveBuffer, what.segment);
    }
    result.sentAt = record.now();
    if (socket.number() < 0) {
        result.end = "no connection";
        recordEnd(what, result, record);
        return result;
    }
    record.line("client " + what.id + " sends " + what.method + " " + what.target + " to " + what.address);
    if (!sendAll(socket.number(), requestText(what))) {
        result.end = "closed while sending";
        recordEnd(what, result, record);
        socket.close();
        return result;
    }
    std::string bytes;
    AnswerReader reader(socket.number(), until, what.readRate);
    readAnswer(reader, bytes, result);
    recordEnd(what, result, record);
    if (!result.isComplete || lowered(result.header("connection")) == "close") {
        socket.close();
    }
    return result;
}

std::vector<ClientResult> pipeline(const std::vector<ClientCall> &calls, Record &record, const std::vector<LaterCall> &later)
{
    std::vector<ClientResult> results(calls.size());
    const auto &first = calls.front();
    const auto until = Clock::now() + milliseconds(first.deadlineMs);
    Socket socket = connectTo(first.address, milliseconds(1000), first.receiveBuffer, first.segment);
    std::string text;
    for (std::size_t i = 0; i < calls.size(); ++i) {
        results[i].sentAt = record.now();
        text += requestText(calls[i]);
        record.line("client " + calls[i].id + " sends " + calls[i].method + " " + calls[i].target + " to " + calls[i].address);
    }
    if (socket.number() < 0 || !sendAll(socket.number(), text)) {
        for (std::size_t i = 0; i < calls.size(); ++i) {
            results[i].end = "no connection";
            recordEnd(calls[i], results[i], record);
        }
        return results;
    }
    std::atomic<bool> isDone{false};
    std::thread sender([&, begin = Clock::now()] {
        for (const auto &next : later) {
            while (!isDone && Clock::now() < begin + next.after) {
                std::this_thread::sleep_for(milliseconds(5));
            }
            if (isDone) {
                return;
            }
            record.line("client " + next.call.id + " sends " + next.call.method + " " + next.call.target + " to " + next.call.address);
            if (!sendAll(socket.number(), requestText(next.call))) {
                record.line("client " + next.call.id + " finds the connection closed");
                return;
            }
        }
    });
    AnswerReader reader(socket.number(), until, first.readRate);
    std::string bytes;
    for (std::size_t i = 0; i < calls.size(); ++i) {
        readAnswer(reader, bytes, results[i]);
        recordEnd(calls[i], results[i], record);
    }
    isDone = true;
    sender.join();
    return results;
}

static std::string get(const std::string &address, const std::string &target, int &status)
{
    status = 0;
    Socket socket = connectTo(address, milliseconds(1000));
    if (socket.number() < 0) {
        return "";
    }
    const timeval wait{1, 0};
    ::setsockopt(socket.number(), SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
    sendAll(socket.number(), "GET " + target + " HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n");
    std::string text;
    std::array<char, 65536> chunk;
    ssize_t size = 0;
    while ((size = ::recv(socket.number(), chunk.data(), chunk.size(), 0)) > 0) {
        text.append(chunk.data(), static_cast<std::size_t>(size));
    }
    const auto end = text.find("\r\n\r\n");
    if (end == std::string::npos) {
        return "";
    }
    status = std::atoi(text.substr(9, 3).c_str());
    return text.substr(end + 4);
}

std::vector<std::string> resolve(const std::string &directory, const std::string &host, const std::string &zone, double &lifetime)
{
    int status = 0;
    const auto body = get(directory, "/-/resolve?name=" + host + "&region=land&zone=" + zone, status);
    const auto document = json::parse(body, nullptr, false);
    std::vector<std::string> addresses;
    if (status == 200 && document.is_object() && document.contains("addresses")) {
        addresses = document["addresses"].get<std::vector<std::string>>();
        lifetime = document["ttl_s"].get<double>();
    }
    return addresses;
}

Fleet::Fleet(const std::string &repository,
             const std::string &temporary,
             const std::string &prefix,
             const std::string &store,
             Record &log,
             const Options &fleetOptions)
    : root(repository), folder(temporary), storeAddress(store), record(log), options(fleetOptions)
{
    int number = 10;
    for (int i = 0; i < this->options.hostsPerZone; ++i) {
        for (const auto &name : this->options.zones) {
            this->hosts.push_back({prefix + std::to_string(++number), name, 0, ""});
        }
    }
    for (int i = 0; this->options.startsAtOnce && i < this->size(); ++i) {
        this->start(i);
    }
}

Fleet::~Fleet()
{
    for (auto &host : this->hosts) {
        if (host.process > 0) {
            ::kill(host.process, SIGKILL);
            ::waitpid(host.process, nullptr, 0);
        }
    }
}

int Fleet::size() const
{
    return static_cast<int>(this->hosts.size());
}

static constexpr int CallerPort = 8689;
static constexpr int ReadinessPort = 8687;
static constexpr int ControlPort = 8683;
static constexpr int DirectoryPort = 8682;
static constexpr int PeerPort = 7360;

static std::string endpoint(const std::string &ip, int port)
{
    return ip + ":" + std::to_string(port);
}

std::string Fleet::caller(int host) const
{
    return endpoint(this->hosts.at(host).ip, CallerPort);
}

std::string Fleet::directory(int host) const
{
    return endpoint(this->hosts.at(host).ip, DirectoryPort);
}

std::string Fleet::control(int host) const
{
    return endpoint(this->hosts.at(host).ip, ControlPort);
}

std::string Fleet::zone(int host) const
{
    return this->hosts.at(host).zone;
}

std::string Fleet::id(int host) const
{
    return "edge-" + std::to_string(host);
}

int Fleet::hostOf(const std::string &callerAddress) const
{
    for (int i = 0; i < this->size(); ++i) {
        if (this->caller(i) == callerAddress) {
            return i;
        }
    }
    return -1;
}

pid_t Fleet::processOf(int host) const
{
    return this->hosts.at(host).process;
}

/// Writes the settings that deploy/host.json.template gives with the fields of a small deployment.
void Fleet::writeSettings(int host) const
{
    const auto &own = this->hosts.at(host);
    json seeds = json::array();
    for (int i = 0; i < std::min(3, this->size()); ++i) {
        seeds.push_back(this->control(i));
    }
    const json settings{{"id", this->id(host)},
                        {"failureDomain", own.zone},
                        {"failureDomains", this->options.zones},
                        {"callerAddress", this->caller(host)},
                        {"readinessAddress", endpoint(own.ip, ReadinessPort)},
                        {"directoryAddress", this->directory(host)},
                        {"controlAddress", this->control(host)},
                        {"peerAddress", endpoint(own.ip, PeerPort)},
                        {"storeAddress", this->storeAddress},
                        {"seeds", seeds},
                        {"processorCores", this->options.processorCores},
                        {"memoryMb", this->options.memoryMb},
                        {"quotaWindowSeconds", 5},
                        {"stopGraceSeconds", this->options.graceSeconds},
                        {"retryBudget", {{"ratio", 0.2}, {"slack", 62}, {"windowSeconds", 10}}},
                        {"rollout", {{"storeAllowanceSeconds", 5}}},
                        {"logLevel", "info"}};
    std::ofstream(this->folder + "/" + this->id(host) + ".json") << settings.dump(2);
}

void Fleet::start(int host)
{
    this->writeSettings(host);
    auto &own = this->hosts.at(host);
    const auto program = this->root + "/target/apps/rhubarbtiller/rhubarbtiller";
    const auto settings = "--settings=" + this->folder + "/" + this->id(host) + ".json";
    const auto output = this->folder + "/" + this->id(host) + ".log";
    own.end.clear();
    const pid_t process = ::fork();
    if (process == 0) {
        // The hosts end with this program, also if it is killed. The main thread starts them all.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (this->options.descriptors > 0) {
            const rlimit files{this->options.descriptors, this->options.descriptors};
            ::setrlimit(RLIMIT_NOFILE, &files);
        }
        const int log = ::open(output.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
        ::dup2(log, 1);
        ::dup2(log, 2);
        ::execl(program.c_str(), program.c_str(), "--gateway", settings.c_str(), static_cast<char *>(nullptr));
        ::_exit(127);
    }
    own.process = process;
    this->record.line("starts " + this->id(host) + " in " + own.zone + " on " + this->caller(host));
}

void Fleet::signal(int host, int number)
{
    this->record.line("sends signal " + std::to_string(number) + " to " + this->id(host));
    ::kill(this->hosts.at(host).process, number);
}

bool Fleet::hasEnded(int host)
{
    auto &own = this->hosts.at(host);
    if (own.process == 0) {
        return true;
    }
    int status = 0;
    if (::waitpid(own.process, &status, WNOHANG) != own.process) {
        return false;
    }
    own.process = 0;
    own.end = WIFEXITED(status) ? "exit " + std::to_string(WEXITSTATUS(status)) : "signal " + std::to_string(WTERMSIG(status));
    this->record.line(this->id(host) + " has ended: " + own.end);
    return true;
}

std::string Fleet::endOf(int host) const
{
    return this->hosts.at(host).end;
}

bool Fleet::isReady(int host) const
{
    int status = 0;
    get(endpoint(this->hosts.at(host).ip, ReadinessPort), "/-/readyz", status);
    return status == 200;
}

bool Fleet::waitUntilReady(milliseconds timeout) const
{
    const auto until = Clock::now() + timeout;
    for (int i = 0; i < this->size(); ++i) {
        while (!this->isReady(i)) {
            if (Clock::now() > until) {
                return false;
            }
            std::this_thread::sleep_for(milliseconds(50));
        }
    }
    return true;
}

long memoryOf(pid_t process, const char *field)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.rfind(field, 0) == 0) {
            return std::atol(line.c_str() + std::strlen(field) + 1);
        }
    }
    return 0;
}

std::string temporaryFolder()
{
    std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    return name;
}

std::string addressPrefix()
{
    const auto process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(20 + process % 200) + "." + std::to_string(1 + process / 200 % 250) + ".";
}

json resource(const std::string &kind, const std::string &name, json spec)
{
    json meta = json::object();
    if (!name.empty()) {
        meta["name"] = name;
    }
    return json{{"resource_type", kind}, {"meta", meta}, {"spec", std::move(spec)}};
}

} // namespace review
