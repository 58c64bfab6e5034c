// Callers that read their answers slowly while the host that they use gets SIGTERM.
#include "kit.hh"

using namespace kit;

// A large answer; it takes about five seconds at the speed below.
static constexpr std::size_t AnswerBytes = 4'000'000;
static constexpr double BytesPerSecond = 850'000;
static constexpr int Callers = 8;
static constexpr double DeadlineSeconds = 8;
static constexpr int ReceiveBuffer = 16 * 1024;

struct Result
{
    int status = 0;
    bool isComplete = false;
    std::size_t bytes = 0;
    double sentAt = 0;
    double endedAt = 0;
};

int main(int, char **arguments)
{
    begin(arguments[1]);
    std::atomic<int> served{0};
    const auto serve = [&served](int fd) {
        Reader reader(fd);
        for (Message message; reader.read(message);) {
            sleepFor(0.1);
            const auto id = message.header("Attempt-Id");
            record.line("server runs " + id + " and answers 200");
            ++served;
            if (!sendAll(fd, response(200, "Attempt-Id: " + id + "\r\nServer-Seal: seal\r\nKeep-Alive: timeout=10\r\n", std::string(AnswerBytes, 'x')))) {
                return;
            }
        }
    };
    Store store(loopback(1));
    Listener first(loopback(2), serve);
    Listener second(loopback(3), serve);
    const json resources{resource("routes",
                                  "files",
                                  {{"host", "files.example"},
                                   {"prefix", "/files/"},
                                   {"type", "download"},
                                   {"service", "depot"},
                                   {"timeout_s", 8},
                                   {"slo_s", 1},
                                   {"priority", 1},
                                   {"max_attempts", 2},
                                   {"public", true}}),
                         resource("services", "depot", {{"health_path", "/healthz"}, {"max_conns", 390}}),
                         resource("limits", "", {{"max_header_bytes", 16384}, {"max_body_bytes", 67108864}, {"header_timeout_s", 3}, {"idle_timeout_s", 15}})};
    store.put("op", "config", json{{"version", 1}, {"resources", resources}}.dump());
    store.put("servers", "i-1", serverRow("depot", loopback(2) + ":" + std::to_string(first.port), "east", 8));
    store.put("servers", "i-2", serverRow("depot", loopback(3) + ":" + std::to_string(second.port), "east", 8));

    Fleet fleet(store.address());
    auto &stopped = fleet.add("east", 11);
    fleet.add("east", 12);
    fleet.startAll();
    fleet.waitReady(20);
    sleepFor(4);

    std::vector<Result> results(Callers);
    std::vector<std::thread> callers;
    for (int i = 0; i < Callers; ++i) {
        callers.emplace_back([&results, &stopped, i] {
            auto &result = results[static_cast<std::size_t>(i)];
            const int fd = connectTo(stopped.ip, Host::CallerPort, DeadlineSeconds, ReceiveBuffer);
            const auto id = "a-" + std::to_string(i);
            result.sentAt = now();
            sendAll(fd, "GET /files/1 HTTP/1.1\r\nHost: files.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: "
                            + std::to_string(static_cast<int>(DeadlineSeconds * 1000)) + "\r\n\r\n");
            record.line("caller sends " + id);
            Reader reader(fd);
            reader.bytesPerSecond = BytesPerSecond;
            Message answer;
            result.isComplete = reader.read(answer);
            result.status = answer.status();
            result.bytes = reader.bodyBytes;
            result.endedAt = now();
            record.line(format("caller of %s: status %d, %zu of %zu bytes, %s, %.3f s after the request",
                               id.c_str(),
                               result.status,
                               result.bytes,
                               AnswerBytes,
                               result.isComplete ? "complete" : reader.hasTimedOut ? "timed out" : "connection ended early",
                               result.endedAt - result.sentAt));
            ::close(fd);
        });
    }
    const double sentAt = now();
    double signalledAt = 0;
    if (hasTrouble()) {
        sleepUntil(sentAt + 0.5);
        signalledAt = now();
        stopped.signal(SIGTERM);
        record.line("SIGTERM to " + stopped.name);
    }
    double goneAt = 0;
    std::thread([&] {
        while (goneAt == 0) {
            if (!stopped.isRunning()) {
                goneAt = now();
                record.line(format("%s has ended, %.3f s after SIGTERM; grace_s is 6", stopped.name.c_str(), goneAt - signalledAt));
            }
            sleepFor(0.01);
        }
    }).detach();
    for (auto &caller : callers) {
        caller.join();
    }
    int lost = 0;
    for (const auto &result : results) {
        const bool isInTime = result.endedAt - result.sentAt < DeadlineSeconds;
        lost += !result.isComplete && isInTime ? 1 : 0;
    }
    record.line(format("%d requests ran at a server, %d of %d connections ended without a complete answer", served.load(), lost, Callers));
    if (served.load() < Callers) {
        fail("the servers did not get all requests");
    }
    finish(lost > 0 ? Broken : Held, format("LOST %s: %d of %d answers cut", lost > 0 ? "broken" : "held", lost, Callers));
}
