// A planned stop while a host works on the pipelined requests of one connection.
#include "standin.hh"

using namespace review;

static const std::string VirtualHost = "site.example";
static constexpr int DeadlineMs = 4000;
static constexpr int Requests = 3;

static int play(const std::string &program, Record &record)
{
    // The threads of the stand-ins run until the process ends, so these objects are never freed.
    auto &store = *new Store;
    auto &arrivals = *new Arrivals;
    const std::vector<std::string> zones{"zone-a", "zone-b", "zone-c"};
    const auto work = [](const Message &request) {
        // The first request takes the usual time, the later ones a little longer.
        return request.header("Attempt-Id").ends_with("-0") ? milliseconds(400) : milliseconds(700);
    };
    auto &servers = *new std::vector<std::unique_ptr<Server>>;
    for (int i = 0; i < 6; ++i) {
        servers.push_back(std::make_unique<Server>("i-" + std::to_string(i), arrivals, record, work));
        store.put("servers", servers.back()->id, servers.back()->entry("seats", zones[static_cast<std::size_t>(i) % 3]).dump());
    }
    store.put("op",
              "config",
              json{{"version", 3},
                   {"resources",
                    {route("lookup", VirtualHost, "seats", true, 2.0),
                     resource("services", "seats", {{"max_conns", 390}, {"warmup_per_s", 5.3}}),
                     resource("tenants", "union", {{"api_keys", {"key-1"}}})}}}
                  .dump());
    Fleet fleet(program, store, zones, 3, record);
    if (!fleet.waitUntilReady()) {
        record.add("the hosts did not become ready");
        return CouldNotRun;
    }
    std::this_thread::sleep_for(milliseconds(3500));
    const auto connection = fleet.connect(0);
    if (!connection) {
        return CouldNotRun;
    }
    std::string text;
    std::vector<std::string> ids;
    for (int i = 0; i < Requests; ++i) {
        ids.push_back("lookup-" + std::to_string(i));
        text += requestText("GET", "/lookup/" + ids.back(), VirtualHost, ids.back(), DeadlineMs, "key-1");
    }
    record.add("client sends " + std::to_string(Requests) + " safe requests on one connection to host-1");
    connection->send(text);
    std::this_thread::sleep_for(milliseconds(150));
    for (const auto &id : ids) {
        if (arrivals.of(id).empty()) {
            record.add(id + " has not reached a server");
            return CouldNotRun;
        }
    }
    if (hasTrouble()) {
        fleet.signal(0, SIGTERM);
    }
    int lost = 0;
    const auto until = Clock::now() + milliseconds(DeadlineMs);
    for (const auto &id : ids) {
        const auto answer = connection->read(until);
        if (!answer) {
            record.add("client gets no answer to " + id + ": " + connection->ending);
            ++lost;
            continue;
        }
        record.add("client gets " + std::to_string(answer->status()) + " for " + answer->header("Attempt-Id")
                   + (answer->header("Connection").empty() ? "" : ", Connection: " + answer->header("Connection")));
        if (answer->header("Attempt-Id") != id) {
            record.add("the answer belongs to another request");
            ++lost;
        }
    }
    std::this_thread::sleep_for(milliseconds(300));
    record.add(std::to_string(lost) + " of " + std::to_string(Requests) + " requests that had reached a server got no answer");
    return lost > 0 ? Broken : Held;
}

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
