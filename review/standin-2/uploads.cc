// A few callers upload large bodies of legal size, whole and at once, while the platform ends a process that exceeds its memory.
#include "kit.hh"

#include <set>

using namespace kit;

// Of legal size: max_body_bytes is 67108864 in the configurations of the site files.
static std::size_t largeBody = 46'000'000;
static int largeCallers = 2;
// As in the sheet of the repair counter gateway: bench-scan-upload, the mean.
static constexpr std::size_t OrdinaryBody = 60'000;
static constexpr int OrdinaryCallers = 10;
static constexpr double LargeAt = 7;
static constexpr double EndAt = 14;
static constexpr int Servers = 6;
static constexpr int SlotsPerServer = 4;
// As in the small deployments.
static constexpr int MemoryMegabytes = 260;
static constexpr double WorkSeconds = 0.4;
static constexpr double DeadlineSeconds = 10;

int main(int, char **arguments)
{
    begin(arguments[1]);
    if (const char *const size = std::getenv("LARGE_BODY")) {
        largeBody = static_cast<std::size_t>(std::atoll(size));
    }
    if (const char *const count = std::getenv("LARGE_CALLERS")) {
        largeCallers = std::atoi(count);
    }
    std::mutex mutex;
    std::set<std::string> ran;
    const auto serve = [&](int fd) {
        Reader reader(fd);
        for (Message message; reader.read(message);) {
            const auto id = message.header("Attempt-Id");
            {
                const std::lock_guard lock(mutex);
                ran.insert(id);
            }
            record.line("server runs " + id + format(", body of %zu bytes", message.body.size()));
            sleepFor(WorkSeconds);
            if (!sendAll(fd, response(200, "Attempt-Id: " + id + "\r\nServer-Seal: seal\r\nKeep-Alive: timeout=10\r\n", "done"))) {
                return;
            }
        }
    };
    Store store(loopback(1));
    std::vector<std::unique_ptr<Listener>> servers;
    for (int i = 0; i < Servers; ++i) {
        const auto ip = loopback(20 + i);
        servers.push_back(std::make_unique<Listener>(ip, serve));
        store.put("servers",
                  "i-" + std::to_string(i),
                  serverRow("workshop", ip + ":" + std::to_string(servers.back()->port), "east", SlotsPerServer));
    }
    const json resources{resource("routes",
                                  "scans",
                                  {{"host", "files.example"},
                                   {"prefix", "/scans/"},
                                   {"type", "unsafe"},
                                   {"service", "workshop"},
                                   {"timeout_s", 10},
                                   {"slo_s", 5},
                                   {"priority", 2},
                                   {"max_attempts", 2},
                                   {"public", true}}),
                         resource("services", "workshop", {{"health_path", "/healthz"}, {"max_conns", 1740}}),
                         resource("limits", "", {{"max_header_bytes", 16384}, {"max_body_bytes", 67108864}, {"header_timeout_s", 3}, {"idle_timeout_s", 15}})};
    store.put("op", "config", json{{"version", 1}, {"resources", resources}}.dump());

    Fleet fleet(store.address());
    fleet.memoryMegabytes = MemoryMegabytes;
    auto &host = fleet.add("east", 11);
    fleet.startAll();
    fleet.waitReady(20);
    sleepUntil(4);

    std::atomic<bool> isKilled{false};
    std::atomic<double> peak{0};
    // DEPLOY.md: a process that exceeds memory_mb is killed.
    std::thread([&] {
        while (!isKilled) {
            const double resident = host.residentMegabytes();
            peak = std::max(peak.load(), resident);
            if (resident > MemoryMegabytes && std::getenv("MEASURE_ONLY") == nullptr) {
                isKilled = true;
                host.signal(SIGKILL);
                record.line(format("%s has %.1f MB resident of %d MB: the platform ends it", host.name.c_str(), resident, MemoryMegabytes));
            }
            sleepFor(0.001);
        }
    }).detach();

    std::atomic<int> answered{0};
    std::atomic<int> refused{0};
    std::atomic<int> unanswered{0};
    std::atomic<int> lost{0};
    const auto call = [&](const std::string &name, std::size_t size, double until) {
        const std::string body(size, 'x');
        int fd = -1;
        bool isKept = false;
        for (int k = 0; now() < until && !isKilled; ++k) {
            if (fd < 0) {
                fd = connectTo(host.ip, Host::CallerPort, DeadlineSeconds);
                isKept = false;
            }
            const auto id = name + "-" + std::to_string(k);
            Reader reader(fd);
            Message answer;
            const bool isSent = sendAll(fd,
                                        "POST /scans/1 HTTP/1.1\r\nHost: files.example\r\nAttempt-Id: " + id
                                            + "\r\nDeadline-Ms: 10000\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" + body);
            const bool isRead = reader.read(answer);
            record.line("caller of " + id + format(" with %zu bytes: ", size)
                        + (isRead ? "status " + std::to_string(answer.status()) : "connection ended without an answer")
                        + (isKept ? ", kept connection" : ""));
            if (isRead) {
                ++(answer.status() == 200 ? answered : refused);
            } else {
                ++unanswered;
                const std::lock_guard lock(mutex);
                lost += isSent && isKept && ran.count(id) != 0 ? 1 : 0;
            }
            isKept = isRead && lower(answer.header("Connection")) != "close";
            if (!isKept) {
                ::close(fd);
                fd = -1;
            }
        }
        if (fd >= 0) {
            ::close(fd);
        }
    };
    std::vector<std::thread> callers;
    for (int i = 0; i < OrdinaryCallers; ++i) {
        callers.emplace_back(call, "ordinary-" + std::to_string(i), OrdinaryBody, EndAt);
    }
    sleepUntil(LargeAt);
    for (int i = 0; i < largeCallers; ++i) {
        // Two requests of each, one after the other.
        callers.emplace_back(call, "large-" + std::to_string(i), hasTrouble() ? largeBody : OrdinaryBody, LargeAt + 0.5);
    }
    for (auto &caller : callers) {
        caller.join();
    }
    record.line(format("%d served, %d refused, %d without an answer, of these %d that a server ran, on kept connections",
                       answered.load(),
                       refused.load(),
                       unanswered.load(),
                       lost.load()));
    record.line(format("peak of resident memory: %.1f MB of %d MB", peak.load(), MemoryMegabytes));
    // LOST: more than three times.
    finish(lost > 3 ? Broken : Held,
           format("LOST %s: %d requests that a server ran got no answer, peak %.1f MB of %d MB%s",
                  lost > 3 ? "broken" : "held",
                  lost.load(),
                  peak.load(),
                  MemoryMegabytes,
                  isKilled ? ", process ended" : ""));
}
