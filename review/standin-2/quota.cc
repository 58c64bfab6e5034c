// A tenant asks for more than its limit while a more urgent tenant sends many times its usual, so that its admitted requests are
// refused late.
#include "kit.hh"

using namespace kit;

static double ratePerSecond = 40;
static double burst = 40;
static double askedPerSecond = 120;
static double urgentPerSecond = 22;
/// How many times its usual the urgent tenant sends for a while.
static double hotFactor = 4.2;
/// The zone of each host.
static const std::vector<std::string> Zones{"east", "east"};
static int serverCount = 10;
static constexpr int Slots = 2;
static constexpr int QueueLength = 8;
static constexpr double WorkSeconds = 0.2;
static double burstAt = 8;
static double burstFor = 8;
static double endAt = 24;
static constexpr double WindowSeconds = 5;
static double deadlineSeconds = 5;

/// Runs up to Slots requests at once and queues a few more; a request whose deadline passes in the queue is not run.
class Server
{
public:
    explicit Server(int number) : ip(loopback(20 + number)), listener(this->ip, [this](int fd) {
                                                                                 this->serve(fd);
                                                                             })
    {
    }

    std::string address() const
    {
        return this->ip + ":" + std::to_string(this->listener.port);
    }

    static inline std::mutex runsMutex;
    static inline std::vector<double> runs;

private:
    void serve(int fd)
    {
        Reader reader(fd);
        for (Message message; reader.read(message);) {
            const auto id = message.header("Attempt-Id");
            const auto until = Clock::now() + std::chrono::milliseconds(std::atoll(message.header("Deadline-Ms").c_str()));
            const std::string headers = "Attempt-Id: " + id + "\r\nKeep-Alive: timeout=10\r\n";
            bool isStarted = false;
            {
                std::unique_lock lock(this->mutex);
                if (this->waiting < QueueLength) {
                    ++this->waiting;
                    isStarted = this->freed.wait_until(lock, until, [this] {
                        return this->running < Slots;
                    });
                    --this->waiting;
                    this->running += isStarted ? 1 : 0;
                }
            }
            if (!isStarted) {
                record.line("server " + this->ip + " does not run " + id);
                if (!sendAll(fd, response(503, headers + "Not-Executed: 1\r\n", ""))) {
                    return;
                }
                continue;
            }
            const double startedAt = now();
            if (message.header("Tenant") == "union") {
                const std::lock_guard lock(runsMutex);
                runs.push_back(startedAt);
            }
            record.line("server " + this->ip + " runs " + id);
            sleepFor(WorkSeconds);
            {
                const std::lock_guard lock(this->mutex);
                --this->running;
            }
            this->freed.notify_one();
            if (!sendAll(fd, response(200, headers + "Server-Seal: seal\r\n", "done"))) {
                return;
            }
        }
    }

    std::string ip;
    std::mutex mutex;
    std::condition_variable freed;
    int running = 0;
    int waiting = 0;
    Listener listener;
};

static double setting(const char *name, double otherwise)
{
    const char *const value = std::getenv(name);
    return value == nullptr ? otherwise : std::atof(value);
}

int main(int, char **arguments)
{
    begin(arguments[1]);
    ratePerSecond = setting("RATE", ratePerSecond);
    burst = setting("BURST", burst);
    askedPerSecond = setting("ASKED", askedPerSecond);
    serverCount = static_cast<int>(setting("SERVERS", serverCount));
    hotFactor = setting("HOT_X", hotFactor);
    burstFor = setting("BURST_FOR", burstFor);
    Store store(loopback(1));
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 0; i < serverCount; ++i) {
        servers.push_back(std::make_unique<Server>(i));
        store.put("servers", "i-" + std::to_string(i), serverRow("seats", servers.back()->address(), Zones[static_cast<std::size_t>(i) % Zones.size()], Slots));
    }
    const json resources{resource("routes",
                                  "holds",
                                  {{"host", "seats.example"},
                                   {"prefix", "/holds/"},
                                   {"type", "unsafe"},
                                   {"service", "seats"},
                                   {"timeout_s", deadlineSeconds},
                                   {"slo_s", 0.8},
                                   {"priority", 1},
                                   {"max_attempts", 2},
                                   {"public", false}}),
                         resource("services", "seats", {{"health_path", "/healthz"}, {"max_conns", 390}}),
                         resource("tenants", "union", {{"api_keys", {"key1"}}, {"priority", 1}, {"rate_per_s", ratePerSecond}, {"burst", burst}}),
                         resource("tenants", "office", {{"api_keys", {"key2"}}, {"priority", 0}}),
                         resource("limits", "", {{"max_header_bytes", 16384}, {"max_body_bytes", 67108864}, {"header_timeout_s", 3}, {"idle_timeout_s", 15}})};
    store.put("op", "config", json{{"version", 1}, {"resources", resources}}.dump());
    Fleet fleet(store.address());
    for (std::size_t i = 0; i < Zones.size(); ++i) {
        fleet.add(Zones[i], 11 + static_cast<int>(i));
    }
    fleet.startAll();
    fleet.waitReady(20);
    sleepUntil(5);

    // The callers are in one zone and use the addresses that a host names for it.
    std::atomic<bool> hasAddresses{false};
    std::vector<std::string> addresses;
    std::mutex addressesMutex;
    std::thread([&] {
        for (std::size_t i = 0;; ++i) {
            const int fd = connectTo(fleet.hosts[i % fleet.hosts.size()]->ip, Host::DirectoryPort, 1);
            sendAll(fd, "GET /-/resolve?name=seats.example&region=here&zone=east HTTP/1.1\r\nHost: directory\r\nConnection: close\r\n\r\n");
            Reader reader(fd);
            Message answer;
            if (reader.read(answer) && answer.status() == 200) {
                const auto named = json::parse(answer.body).at("addresses").get<std::vector<std::string>>();
                const std::lock_guard lock(addressesMutex);
                if (named != addresses) {
                    record.line("the directory names " + json(named).dump());
                }
                addresses = named;
                hasAddresses = !named.empty();
            }
            ::close(fd);
            sleepFor(1.5);
        }
    }).detach();
    while (!hasAddresses) {
        sleepFor(0.01);
    }
    const auto chooseHost = [&] {
        const std::lock_guard lock(addressesMutex);
        const auto &chosen = addresses[static_cast<std::size_t>(std::rand()) % addresses.size()];
        return chosen.substr(0, chosen.find(':'));
    };

    std::mutex mutex;
    std::map<int, int> statuses;
    std::atomic<int> open{0};
    std::atomic<int> number{0};
    const auto send = [&](const std::string &name, const std::string &key, double perSecond, double from, double until) {
        for (double at = from; at < until; at += 1 / perSecond) {
            sleepUntil(at);
            if (open > 1200) {
                continue;
            }
            ++open;
            ++number;
            std::thread([&, key, id = name + "-" + std::to_string(number), ip = chooseHost()] {
                const int fd = connectTo(ip, Host::CallerPort, deadlineSeconds + 1);
                sendAll(fd, "POST /holds/1 HTTP/1.1\r\nHost: seats.example\r\nAttempt-Id: " + id + "\r\nAuthorization: Bearer " + key
                                + "\r\nDeadline-Ms: " + std::to_string(static_cast<int>(deadlineSeconds * 1000))
                                + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
                const double sentAt = now();
                Reader reader(fd);
                Message answer;
                const int status = reader.read(answer) ? answer.status() : 0;
                ::close(fd);
                if (status != 429) {
                    record.line("caller of " + id + format(": status %d after %.3f s", status, now() - sentAt));
                }
                const std::lock_guard lock(mutex);
                ++statuses[status];
                --open;
            }).detach();
        }
    };
    std::thread urgent([&] {
        send("office", "key2", urgentPerSecond, 5, burstAt);
        send("office", "key2", urgentPerSecond * (hasTrouble() ? hotFactor : 1), burstAt, burstAt + burstFor);
        send("office", "key2", urgentPerSecond, burstAt + burstFor, endAt);
    });
    send("a", "key1", askedPerSecond, now(), endAt);
    urgent.join();
    sleepFor(deadlineSeconds + 1);
    auto runs = Server::runs;
    std::sort(runs.begin(), runs.end());
    std::size_t most = 0;
    double mostAt = 0;
    for (std::size_t i = 0, j = 0; i < runs.size(); ++i) {
        while (runs[i] - runs[j] >= WindowSeconds) {
            ++j;
        }
        if (i - j + 1 > most) {
            most = i - j + 1;
            mostAt = runs[j];
        }
    }
    const double allowed = (ratePerSecond * WindowSeconds + burst) * 1.1 + 20;
    std::string counts;
    for (const auto &[status, count] : statuses) {
        counts += " " + std::to_string(status) + ": " + std::to_string(count);
    }
    record.line(format("%d requests sent, %zu run; answers%s", number.load(), runs.size(), counts.c_str()));
    finish(static_cast<double>(most) > allowed ? Broken : Held,
           format("QUOTA %s: %zu runs of the tenant in %.0f s from %.3f s, allowed %.0f",
                  static_cast<double>(most) > allowed ? "broken" : "held",
                  most,
                  WindowSeconds,
                  mostAt,
                  allowed));
}
