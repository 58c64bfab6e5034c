#include "fleet.h"

#include <doctest/doctest.h>

#include <csignal>
#include <iostream>

using namespace rhubarbtiller;
using namespace rhubarbtiller::fleettests;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::ConfigurationEvent;

/// Returns the first execution after a time for which the predicate holds, as milliseconds after that time, or -1.
template<class Predicate>
static std::int64_t firstAfter(const History &history, WallTime from, Predicate isWanted)
{
    std::int64_t first = -1;
    for (const auto &execution : history.executions) {
        if (execution.startedAt > from && isWanted(execution)) {
            const auto after = std::chrono::duration_cast<milliseconds>(execution.startedAt - from).count();
            first = first < 0 ? after : std::min(first, after);
        }
    }
    return first;
}

// Guards against new work in a withdrawn failure domain or on a draining server, from hosts under load and from a host that
// was paused while the change came into force; and against a domain or server that gets no work after its return.
TEST_CASE("a withdrawn failure domain and a draining server get no new work (I7 I11)")
{
    const auto seed = runSeed("withdrawn domain");
    Fleet fleet(seed);
    const auto keys = fleet.configure({{OrganisationId("harbour"), KeyName("harbour-1"), ""}}, 2000, 400);
    fleet.watchVersions();

    // A host has the failure domain of the server with its number; so the frozen one may own servers that are taken out.
    std::mt19937_64 random(seed);
    const int domainNumber = static_cast<int>(random() % 3);
    const int drained = (domainNumber + 1 + static_cast<int>(random() % 2)) % 3 + 3 * static_cast<int>(random() % 2);
    const int frozen = 1 + static_cast<int>(random() % Fleet::HostCount);
    const auto domain = Fleet::hostDomain(domainNumber);
    const auto server = BackendServerId("b" + std::to_string(drained));
    std::cout << "withdrawn " << domain.text() << ", draining " << server.text() << ", frozen h" << frozen << std::endl;

    CallerOptions options;
    options.key = keys[0];
    options.threads = 6;
    Callers steered(fleet, options);
    options.method = "POST";
    options.path = "/fees/payments";
    options.isIdempotent = false;
    options.threads = 2;
    Callers payments(fleet, options);
    options.onlyHost = frozen;
    options.path = "/seats/holds";
    options.threads = 4;
    options.timeout = seconds(20);
    Callers onFrozenHost(fleet, options);
    for (auto *callers : {&steered, &payments, &onFrozenHost}) {
        REQUIRE(waitUntil(seconds(5), [callers] {
            return callers->answered() > 50;
        }));
    }

    const auto changeBoth
        = [&](const char *domainCommand, ConfigurationEvent domainEvent, const char *serverCommand, ConfigurationEvent serverEvent) {
              OperatorResult ofDomain;
              std::thread other([&] {
                  ofDomain = fleet.change({domainCommand, domain.text()}, domainEvent, domain.text());
              });
              const auto ofServer = fleet.change({serverCommand, server.text()}, serverEvent, server.text());
              other.join();
              CHECK(ofDomain.code == 0);
              CHECK(ofServer.code == 0);
              return std::max(ofDomain.endedAt, ofServer.endedAt);
          };

    fleet.host(frozen).signal(SIGSTOP);
    const auto takenOutAt
        = changeBoth("domain-out", ConfigurationEvent::DomainWithdrawn, "server-drain", ConfigurationEvent::ServerDrained);
    fleet.host(frozen).signal(SIGCONT);
    const auto answeredBefore = steered.answered();
    waitUntil(seconds(10), [&] {
        return std::chrono::system_clock::now() > takenOutAt + milliseconds(5500);
    });
    CHECK(steered.answered() > answeredBefore);

    const auto returnedAt
        = changeBoth("domain-in", ConfigurationEvent::DomainReturned, "server-return", ConfigurationEvent::ServerReturned);
    const auto worksAgain = [&](int number) {
        const auto list = fleet.executions(number);
        const auto returnedUs = std::chrono::duration_cast<std::chrono::microseconds>(returnedAt.time_since_epoch()).count();
        return !list.empty() && list.back().at("startedAtUs").get<std::int64_t>() > returnedUs;
    };
    for (const int number : {domainNumber, domainNumber + 3, domainNumber + 6, drained}) {
        CHECK(waitUntil(seconds(5), [&] {
            return worksAgain(number);
        }));
    }
    for (auto *callers : {&steered, &payments, &onFrozenHost}) {
        callers->stop();
    }
    const auto history = fleet.finish();

    const auto isInDomain = [&](const testing::ExecutionRecord &execution) {
        return history.servers.at(execution.server).failureDomain == domain;
    };
    const auto isOnServer = [&](const testing::ExecutionRecord &execution) {
        return execution.server == server;
    };
    std::cout << "first work after the return: domain " << firstAfter(history, returnedAt, isInDomain) << " ms, server "
              << firstAfter(history, returnedAt, isOnServer) << " ms; first after the withdrawal: domain "
              << firstAfter(history, takenOutAt, isInDomain) << " ms, server " << firstAfter(history, takenOutAt, isOnServer)
              << " ms; return accepted " << std::chrono::duration_cast<milliseconds>(returnedAt - takenOutAt).count() << " ms after it"
              << std::endl;
    CHECK(fleet.isClean(history, checkAll(history)));
}
