#include <rhubarbtiller/testing/history.h>

#include <doctest/doctest.h>

#include <thread>

using namespace rhubarbtiller;
using namespace rhubarbtiller::testing;
using std::chrono::milliseconds;

static WallTime at(std::int64_t ms)
{
    return WallTime(milliseconds(1000000 + ms));
}

static std::vector<std::string> invariantsBrokenIn(const History &history)
{
    std::vector<std::string> names;
    for (const auto &violation : checkAll(history)) {
        names.push_back(violation.invariant);
    }
    return names;
}

/// A run in which everything goes well, to be spoiled by one event at a time.
static History goodHistory()
{
    History history;
    for (int number = 1; number <= 5; ++number) {
        history.servers[BackendServerId("s" + std::to_string(number))]
            = {PoolName("p"), FailureDomainId(number < 3 ? "a" : "b"), SlotCount(1)};
    }
    history.floors[PoolName("p")] = Percent(60);
    history.rates.push_back({OrganisationId("o1"), RequestRate(10), RequestCount(2), at(0)});
    history.configuration.push_back({ConfigurationEvent::KeyGranted, "k1", at(0)});
    for (int number = 1; number <= 3; ++number) {
        const CallTag tag("c" + std::to_string(number));
        CallRecord call;
        call.tag = tag;
        call.host = HostId("h1");
        call.organisation = OrganisationId("o1");
        call.key = KeyName("k1");
        call.isIdempotent = false;
        call.idempotencyKey = "i" + std::to_string(number);
        call.sentAt = at(number * 1000);
        history.calls.push_back(call);
        history.answers.push_back({tag, tag, OrganisationId("o1"), true, at(number * 1000 + 20)});
        history.executions.push_back({BackendServerId("s1"), tag, OrganisationId("o1"), 1, false, false, at(number * 1000 + 10)});
    }
    history.acceptedVersions.push_back({ConfigVersion(1), at(0)});
    history.versionsInForce.push_back({HostId("h1"), ConfigVersion(1), at(100)});
    return history;
}

static CallRecord addCall(History &history, const std::string &tag, std::int64_t ms)
{
    CallRecord call = history.calls.front();
    call.tag = CallTag(tag);
    call.idempotencyKey.clear();
    call.sentAt = at(ms);
    history.calls.push_back(call);
    return call;
}

// Guards against checkers that complain about a correct run, which would teach everybody to ignore them.
TEST_CASE("a good history breaks no invariant")
{
    CHECK(checkAll(goodHistory()).empty());
    CHECK(checkAll(History()).empty());
}

// Guards against a checker of the floor that cannot fail.
TEST_CASE("an ejection below the floor is found")
{
    auto history = goodHistory();
    history.ejections.push_back({BackendServerId("s1"), true, at(1)});
    history.ejections.push_back({BackendServerId("s2"), true, at(2)});
    CHECK(checkAll(history).empty());
    history.ejections.push_back({BackendServerId("s3"), true, at(4)});
    CHECK(invariantsBrokenIn(history) == std::vector<std::string>{"I1"});
    history.ejections.push_back({BackendServerId("s1"), false, at(3)});
    CHECK(checkAll(history).empty());
}

// Guards against a checker of organisations that cannot fail.
TEST_CASE("a run for a foreign organisation or without a key is found")
{
    auto history = goodHistory();
    history.executions[1].organisation = OrganisationId("o2");
    CHECK(invariantsBrokenIn(history) == std::vector<std::string>{"I2"});
    history = goodHistory();
    history.calls[1].organisation = OrganisationId();
    CHECK(checkOwnOrganisation(history).size() == 1);
    history.calls[1].isOpenToAll = true;
    CHECK(checkOwnOrganisation(history).empty());
    history.executions.push_back({BackendServerId("s1"), CallTag("nobody's"), OrganisationId("o1"), 1, false, false, at(9000)});
    CHECK(checkOwnOrganisation(history).size() == 1);
}

// Guards against a checker of leaked keys that cannot fail.
TEST_CASE("a key at a backend server is found")
{
    auto history = goodHistory();
    history.executions[0].containsSecret = true;
    CHECK(invariantsBrokenIn(history) == std::vector<std::string>{"I3"});
}

// Guards against a checker of revocation that cannot fail, or that forgets a later grant.
TEST_CASE("a run for a revoked key after the bound is found")
{
    auto history = goodHistory();
    addCall(history, "c4", 20000);
    history.executions.push_back({BackendServerId("s1"), CallTag("c4"), OrganisationId("o1"), 1, false, false, at(20000)});
    history.answers.push_back({CallTag("c4"), CallTag("c4"), OrganisationId("o1"), true, at(20010)});
    history.configuration.push_back({ConfigurationEvent::KeyRevoked, "k1", at(15000)});
    CHECK(checkAll(history).empty());
    history.configuration.back().acceptedAt = at(14999);
    CHECK(invariantsBrokenIn(history) == std::vector<std::string>{"I4"});
    history.configuration.push_back({ConfigurationEvent::KeyGranted, "k1", at(17000)});
    CHECK(checkAll(history).empty());
}

// Guards against a checker of rates that cannot fail, or that counts a repetition twice.
TEST_CASE("more than rate and burst is found")
{
    const auto historyWith = [](int count, std::int64_t step) {
        auto history = goodHistory();
        for (int number = 0; number < count; ++number) {
            const std::string tag = "extra" + std::to_string(number);
            addCall(history, tag, 10000);
            history.answers.push_back({CallTag(tag), CallTag(tag), OrganisationId("o1"), true, at(20000)});
            history.executions.push_back(
                {BackendServerId("s1"), CallTag(tag), OrganisationId("o1"), 1, false, false, at(10000 + number * step)});
        }
        return history;
    };
    CHECK(checkAll(historyWith(2, 0)).empty());
    CHECK(invariantsBrokenIn(historyWith(3, 0)) == std::vector<std::string>{"I5"});
    CHECK(checkAll(historyWith(100, 100)).empty());
    CHECK(invariantsBrokenIn(historyWith(100, 98)) == std::vector<std::string>{"I5"});
    CheckBounds bounds;
    bounds.rateTolerance = 3;
    CHECK(checkRate(historyWith(100, 98), bounds).empty());

    auto repeated = historyWith(2, 0);
    repeated.executions.push_back(repeated.executions.back());
    CHECK(checkRate(repeated).empty());

    auto changed = historyWith(100, 98);
    changed.rates.push_back({OrganisationId("o1"), RequestRate(20), RequestCount(4), at(9000)});
    CHECK(checkRate(changed).empty());
    changed.rates.push_back({OrganisationId("o1"), RequestRate(1), RequestCount(1), at(10000)});
    CHECK(checkRate(changed).size() == 1);
}

// Guards against a checker of cold starts that cannot fail.
TEST_CASE("too much load on a cold server is found")
{
    auto history = goodHistory();
    history.executions[0].concurrency = 2;
    CHECK(checkAll(history).empty());
    history.executions[0].wasCold = true;
    CHECK(invariantsBrokenIn(history) == std::vector<std::string>{"I6"});
}

// Guards against a checker of withdrawn failure domains that cannot fail.
TEST_CASE("a run in a withdrawn failure domain after the bound is found")
{
    auto history = goodHistory();
    history.configuration.push_back({ConfigurationEvent::DomainWithdrawn, "a", at(-1990)});
    CHECK(checkAll(history).empty());
    history.configuration.back().acceptedAt = at(-1991);
    CHECK(invariantsBrokenIn(history) == std::vector<std::string>{"I7"});
    history.configuration.back().subject = "b";
    CHECK(checkAll(history).empty());
}

// Guards against a checker of answers that cannot fail.
TEST_CASE("a foreign, damaged, doubled or invented answer is found")
{
    auto history = goodHistory();
    std::swap(history.answers[0].answeredTag, history.answers[1].answeredTag);
    CHECK(invariantsBrokenIn(history) == std::vector<std::string>{"I8", "I8"});
    history = goodHistory();
    history.answers[0].answeredOrganisation = OrganisationId("o2");
    CHECK(invariantsBrokenIn(history) == std::vector<std::string>{"I8"});
    history = goodHistory();
    history.answers[0].isIntact = false;
    CHECK(invariantsBrokenIn(history) == std::vector<std::string>{"I8"});
    history = goodHistory();
    history.answers.push_back(history.answers[0]);
    CHECK(invariantsBrokenIn(history) == std::vector<std::string>{"I8"});
    history = goodHistory();
    history.executions.erase(history.executions.begin());
    CHECK(invariantsBrokenIn(history) == std::vector<std::string>{"I8"});
    history = goodHistory();
    history.answers.pop_back();
    CHECK(invariantsBrokenIn(history) == std::vector<std::string>{"I8"});
    history.brokenCalls.push_back({CallTag("c3"), true, at(3020)});
    CHECK(checkAll(history).empty());
}

// Guards against a checker of refusals that cannot fail.
TEST_CASE("a refusal that is not true is found")
{
    auto history = goodHistory();
    history.answers.pop_back();
    history.refusals.push_back({CallTag("c3"), 503, "host_overloaded", ExecutionClaim::NotRun, at(3020)});
    CHECK(invariantsBrokenIn(history) == std::vector<std::string>{"I9"});
    history.refusals.back().claim = ExecutionClaim::Unknown;
    CHECK(checkAll(history).empty());
    history.refusals.back().claim = ExecutionClaim::Ran;
    CHECK(checkAll(history).empty());
    history.executions.pop_back();
    CHECK(invariantsBrokenIn(history) == std::vector<std::string>{"I9"});
    history.refusals.back().claim = ExecutionClaim::NotRun;
    CHECK(checkAll(history).empty());
}

// Guards against a checker of repeated runs that cannot fail.
TEST_CASE("a second run of a call that is not idempotent is found")
{
    auto history = goodHistory();
    history.executions.push_back(history.executions[0]);
    history.executions.back().startedAt = at(1500);
    CHECK(invariantsBrokenIn(history) == std::vector<std::string>{"I10", "I10"});
    history.calls[0].idempotencyKey.clear();
    CHECK(invariantsBrokenIn(history) == std::vector<std::string>{"I10"});
    history.calls[0].isIdempotent = true;
    CHECK(checkAll(history).empty());
    history = goodHistory();
    history.calls[0].idempotencyKey = history.calls[1].idempotencyKey;
    CHECK(invariantsBrokenIn(history) == std::vector<std::string>{"I10"});
}

// Guards against a checker of leaving servers that cannot fail.
TEST_CASE("a run on a leaving server after the bound is found")
{
    auto history = goodHistory();
    history.configuration.push_back({ConfigurationEvent::ServerDrained, "s1", at(-1990)});
    CHECK(checkAll(history).empty());
    history.configuration.back().acceptedAt = at(-1991);
    CHECK(invariantsBrokenIn(history) == std::vector<std::string>{"I11"});
    history.configuration.push_back({ConfigurationEvent::ServerReturned, "s1", at(500)});
    CHECK(checkAll(history).empty());
}

// Guards against a checker of planned stops that cannot fail, or that blames a stop for a crash.
TEST_CASE("a call that a planned stop broke is found")
{
    auto history = goodHistory();
    history.answers.pop_back();
    history.brokenCalls.push_back({CallTag("c3"), true, at(3020)});
    CHECK(checkAll(history).empty());
    history.plannedStops.push_back({HostId("h2"), at(3000), at(4000)});
    CHECK(checkAll(history).empty());
    history.plannedStops.push_back({HostId("h1"), at(3000), at(4000)});
    CHECK(invariantsBrokenIn(history) == std::vector<std::string>{"I12"});
    history.brokenCalls.back().wasConnected = false;
    CHECK(checkAll(history).empty());
}

// Guards against a checker of configurations that cannot fail.
TEST_CASE("a host that goes back or stays behind is found")
{
    auto history = goodHistory();
    history.versionsInForce.push_back({HostId("h1"), ConfigVersion(2), at(200)});
    history.versionsInForce.push_back({HostId("h2"), ConfigVersion(1), at(300)});
    CHECK(checkAll(history).empty());
    history.versionsInForce.push_back({HostId("h1"), ConfigVersion(1), at(400)});
    CHECK(invariantsBrokenIn(history) == std::vector<std::string>{"I13"});
    history.versionsInForce.pop_back();
    history.acceptedVersions.push_back({ConfigVersion(2), at(1000)});
    history.versionsInForce.push_back({HostId("h2"), ConfigVersion(1), at(6000)});
    CHECK(checkAll(history).empty());
    history.versionsInForce.back().at = at(6001);
    CHECK(invariantsBrokenIn(history) == std::vector<std::string>{"I13"});
}

// Guards against records that are lost when several threads write at once.
TEST_CASE("the recorder keeps the records of all threads")
{
    HistoryRecorder recorder;
    const auto good = goodHistory();
    std::vector<std::thread> threads;
    for (int number = 0; number < 4; ++number) {
        threads.emplace_back([&] {
            for (int count = 0; count < 1000; ++count) {
                recorder.record(good.executions[0]);
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    recorder.record(good.calls[0]);
    recorder.record(good.answers[0]);
    recorder.record(RefusalRecord());
    recorder.record(BrokenCallRecord());
    recorder.record(ConfigurationRecord());
    recorder.record(RateRecord());
    recorder.record(AcceptedVersionRecord());
    recorder.record(VersionInForceRecord());
    recorder.record(PlannedStopRecord());
    recorder.record(EjectionRecord());
    recorder.describe(BackendServerId("s1"), ServerDescription());
    recorder.describe(PoolName("p"), Percent(50));
    const auto history = recorder.history();
    CHECK(history.executions.size() == 4000);
    CHECK(history.calls.size() == 1);
    CHECK(history.answers.size() == 1);
    CHECK(history.refusals.size() == 1);
    CHECK(history.brokenCalls.size() == 1);
    CHECK(history.configuration.size() == 1);
    CHECK(history.rates.size() == 1);
    CHECK(history.acceptedVersions.size() == 1);
    CHECK(history.versionsInForce.size() == 1);
    CHECK(history.plannedStops.size() == 1);
    CHECK(history.ejections.size() == 1);
    CHECK(history.servers.size() == 1);
    CHECK(history.floors.size() == 1);
}
