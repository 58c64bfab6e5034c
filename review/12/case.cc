// A planned stop while a client pipelines: the connection is closed one second after the last answer was handed to the system, and a
// further request of the client then resets it, with the rest of the answers.

#include "scene.hh"

using namespace review;

static constexpr double GraceSeconds = 6;
static constexpr int DeadlineMs = 4000;
/// Below the largest answers of the large-response route of the deployments in demands/.
static constexpr std::size_t FirstAnswerBytes = 400'000;
static constexpr std::size_t OtherAnswerBytes = 5000;
static constexpr int WorkMs = 110;
/// The client has the first answers well before their deadline.
static constexpr double ReadRate = 120'000;
/// Links have small windows: a peer that does not read blocks the writer.
static constexpr int ReceiveBuffer = 4096;
static constexpr int SegmentBytes = 536;
static constexpr int StopAfterMs = 50;
/// Further requests of the client, which is still reading the first answer.
static constexpr int FurtherAfterMs[] = {1000, 1300, 1600, 1900, 2200, 2500, 2800, 3100};
static constexpr int Clients = 2;
/// Other clients keep the process in use until the answers have been read, so that it does not end before.
static constexpr int OrdinaryEveryMs = 300;
static constexpr int OrdinaryUntilMs = 4200;

static ClientCall makeCall(const std::string &target, const std::string &id, std::size_t bytes)
{
    ClientCall what;
    what.address = target;
    what.host = Scene::Host;
    what.key = Scene::Key;
    what.id = id;
    what.target = "/pull/work-" + std::to_string(WorkMs) + "/size-" + std::to_string(bytes) + "/" + id;
    what.deadlineMs = DeadlineMs;
    what.readRate = ReadRate;
    what.receiveBuffer = ReceiveBuffer;
    what.segment = SegmentBytes;
    return what;
}

int main(int argc, char **argv)
{
    Scene scene(argc, argv);
    const json resources{Scene::route("r-pull", "/pull/", "safe", "depot", 0),
                         Scene::service("depot"),
                         Scene::tenant("union", Scene::Key),
                         Scene::limits()};
    scene.configure(resources);
    for (const char *zone : {"zone-a", "zone-b", "zone-c"}) {
        scene.addServer("depot", zone);
        scene.addServer("depot", zone);
    }
    Fleet::Options options;
    options.graceSeconds = GraceSeconds;
    if (!scene.startFleet(options)) {
        return scene.end(NotRun, "not run: the hosts did not become ready");
    }
    double lifetime = 0;
    const auto addresses = resolve(scene.fleet->directory(0), Scene::Host, "zone-a", lifetime);
    if (addresses.empty()) {
        return scene.end(NotRun, "not run: the directory named no address");
    }
    const auto target = addresses.front();
    const int host = scene.fleet->hostOf(target);
    scene.record.line("the directory names " + target + " of " + scene.fleet->id(host));

    std::vector<std::vector<ClientResult>> results(Clients);
    std::vector<std::vector<ClientCall>> calls(Clients);
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < Clients; ++i) {
        const auto name = "pull-" + std::to_string(i) + "-";
        calls[i].push_back(makeCall(target, name + "0", FirstAnswerBytes));
        calls[i].push_back(makeCall(target, name + "1", OtherAnswerBytes));
        clients.emplace_back([&, i, name] {
            // The requests behind the first two.
            std::vector<LaterCall> later;
            for (const int after : FurtherAfterMs) {
                later.push_back({milliseconds(after), makeCall(target, name + "further-" + std::to_string(after), OtherAnswerBytes)});
            }
            results[i] = pipeline(calls[i], scene.record, later);
        });
    }
    std::this_thread::sleep_for(milliseconds(StopAfterMs));
    const double signalledAt = scene.record.now();
    if (scene.hasTrouble) {
        scene.fleet->signal(host, SIGTERM);
    }
    for (int elapsed = 0; elapsed < OrdinaryUntilMs; elapsed += OrdinaryEveryMs) {
        std::this_thread::sleep_for(milliseconds(OrdinaryEveryMs));
        clients.emplace_back([&, elapsed] {
            auto what = makeCall(target, "ordinary-" + std::to_string(elapsed), 400);
            what.readRate = 0;
            call(what, scene.record);
        });
    }
    const bool wasAlive = !scene.fleet->hasEnded(host);
    for (auto &client : clients) {
        client.join();
    }
    while (scene.hasTrouble && !scene.fleet->hasEnded(host) && scene.record.now() < signalledAt + GraceSeconds) {
        std::this_thread::sleep_for(milliseconds(10));
    }

    const auto runs = scene.runs();
    int broken = 0;
    int whole = 0;
    for (std::size_t i = 0; i < Clients; ++i) {
        for (std::size_t j = 0; j < 2; ++j) {
            const auto &what = calls[i][j];
            const auto &result = results[i][j];
            const bool isAnswered = std::any_of(runs.begin(), runs.end(), [&what](const Run &run) {
                return run.id == what.id && run.isAnswered;
            });
            const bool isWhole = result.isComplete && result.status == 200
                && result.body == bodyFor(what.id, j == 0 ? FirstAnswerBytes : OtherAnswerBytes);
            const bool isExcused = result.end == "deadline" || !isAnswered;
            whole += isWhole ? 1 : 0;
            broken += !isWhole && !isExcused ? 1 : 0;
        }
    }
    if (!wasAlive) {
        return scene.end(NotRun, "not run: the process ended before the answers were read");
    }
    if (!scene.hasTrouble && whole != 2 * Clients) {
        return scene.end(NotRun, "not run: " + std::to_string(whole) + " whole answers without the disruption");
    }
    return scene.end(broken > 0 ? Broken : Held,
                     "LOST: of " + std::to_string(2 * Clients) + " answers that servers had given, " + std::to_string(whole)
                         + " arrived whole, " + std::to_string(broken) + " were cut off before the client's deadline");
}
