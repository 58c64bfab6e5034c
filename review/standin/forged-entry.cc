// An entry of another writer in the table of servers whose value cannot be read.
#include "standin.hh"

using namespace review;

static const std::string VirtualHost = "site.example";
static constexpr int Hosts = 3;
static constexpr int EndsThatCount = 3;

static int play(const std::string &program, Record &record)
{
    // The threads of the stand-ins run until the process ends, so these objects are never freed.
    auto &store = *new Store;
    auto &arrivals = *new Arrivals;
    const std::vector<std::string> zones{"zone-a", "zone-b", "zone-c"};
    auto &servers = *new std::vector<std::unique_ptr<Server>>;
    for (int i = 0; i < 6; ++i) {
        servers.push_back(std::make_unique<Server>("i-" + std::to_string(i), arrivals, record, [](const Message &) {
            return milliseconds(200);
        }));
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
    Fleet fleet(program, store, zones, Hosts, record);
    if (!fleet.waitUntilReady()) {
        record.add("the hosts did not become ready");
        return CouldNotRun;
    }
    std::this_thread::sleep_for(milliseconds(3500));
    const auto connection = fleet.connect(0);
    connection->send(requestText("GET", "/lookup/before", VirtualHost, "before", 4000, "key-1"));
    const auto before = connection->read(Clock::now() + milliseconds(4000));
    record.add("client gets " + (before ? std::to_string(before->status()) : connection->ending) + " for before");
    if (!before || before->status() != 200) {
        return CouldNotRun;
    }
    connection->send(requestText("GET", "/lookup/during", VirtualHost, "during", 4000, "key-1"));
    std::this_thread::sleep_for(milliseconds(50));
    if (hasTrouble()) {
        record.add("another writer puts an entry whose value is ==== into the table of servers");
        store.putRaw("servers", "x-1", "====");
    }
    const auto during = connection->read(Clock::now() + milliseconds(4000));
    record.add("client gets " + (during ? std::to_string(during->status()) : connection->ending) + " for during");
    std::vector<int> ends(Hosts, 0);
    const auto until = Clock::now() + milliseconds(6000);
    while (Clock::now() < until && *std::min_element(ends.begin(), ends.end()) < EndsThatCount) {
        for (int host = 0; host < Hosts; ++host) {
            if (const auto code = fleet.waitForEnd(host, milliseconds(20))) {
                ++ends[static_cast<std::size_t>(host)];
                // The platform restarts a process after a short delay.
                std::this_thread::sleep_for(milliseconds(200));
                fleet.start(host, false);
            }
        }
    }
    const auto failing = std::count_if(ends.begin(), ends.end(), [](int count) {
        return count >= EndsThatCount;
    });
    record.add(std::to_string(failing) + " of " + std::to_string(Hosts) + " processes ended by themselves three times");
    // The rule: on a tenth of the machines, two at least, processes end by themselves three times.
    return failing >= 2 ? Broken : Held;
}

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
