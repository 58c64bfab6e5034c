#include <rhubarbtiller/base/random.h>
#include <rhubarbtiller/tablestore/changelogstore.h>
#include <rhubarbtiller/tablestore/errors.h>
#include <rhubarbtiller/testing/fakeobjectstore.h>
#include <rhubarbtiller/testing/faketableservice.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>

using namespace rhubarbtiller;
using namespace rhubarbtiller::tablestore;
using namespace rhubarbtiller::testing;

namespace {

/// A change log store on fakes that share a virtual clock.
struct Fixture
{
    VirtualClock clock;
    VirtualScheduler scheduler{clock};
    FakeTableService tables{&scheduler};
    FakeObjectStore objects{&scheduler};
    ChangeLogStore store{tables, objects, clock};

    MonotonicTime soon() const
    {
        return this->clock.now() + std::chrono::seconds(4);
    }

    /// Starts a call and runs the clock until it ends.
    template<class Outcome, class Call>
    Outcome wait(Call call)
    {
        std::optional<Outcome> outcome;
        call([&outcome](Outcome result) {
            REQUIRE_FALSE(outcome.has_value());
            outcome.emplace(std::move(result));
        });
        while (!outcome && this->scheduler.runNext()) { }
        REQUIRE(outcome.has_value());
        return std::move(*outcome);
    }

    AppendResult append(const config::Change &change, std::uint64_t expected)
    {
        return this->wait<AppendResult>([&](auto handler) {
            this->store.append(change, ConfigVersion(expected), this->soon(), handler);
        });
    }

    AppendResult resolve(config::Change change, std::uint64_t version)
    {
        change.version = ConfigVersion(version);
        return this->wait<AppendResult>([&](auto handler) {
            this->store.resolve(change, this->soon(), handler);
        });
    }

    LogHead head()
    {
        const auto result = this->wait<Result<LogHead>>([&](auto handler) {
            this->store.readHead(this->soon(), handler);
        });
        REQUIRE(result);
        return *result;
    }

    Result<std::vector<config::Change>> changes(std::uint64_t after, std::uint64_t upTo)
    {
        return this->wait<Result<std::vector<config::Change>>>([&](auto handler) {
            this->store.readChanges(ConfigVersion(after), ConfigVersion(upTo), this->soon(), handler);
        });
    }

    std::vector<std::string> ids(std::uint64_t after, std::uint64_t upTo)
    {
        const auto result = this->changes(after, upTo);
        REQUIRE(result);
        std::vector<std::string> names;
        for (const auto &change : *result) {
            names.push_back(change.id.text());
        }
        return names;
    }

    ClaimResult claim(const IdempotencyClaim &claim)
    {
        return this->wait<ClaimResult>([&](auto handler) {
            this->store.claimIdempotencyKey(claim, this->soon(), handler);
        });
    }
};

} // namespace

static config::Organisation organisation(const std::string &id)
{
    config::Organisation row;
    row.id = OrganisationId(id);
    row.rate = RequestRate(100);
    row.burst = RequestCount(10);
    return row;
}

static config::Change changeNamed(const std::string &id, std::vector<config::Mutation> mutations = {})
{
    if (mutations.empty()) {
        mutations.emplace_back(config::PutRow{organisation(id)});
    }
    return {ConfigVersion(0), ChangeId(id), "test", std::move(mutations)};
}

static IdempotencyClaim claimOf(const std::string &attempt, const std::string &requestDigest = "request")
{
    return {OrganisationId("o1"), "key", requestDigest, WallTime(std::chrono::hours(24)), RequestId(attempt)};
}

// Guards against a log that loses, reorders or renumbers changes.
TEST_CASE("changes are read back in the order in which they were appended")
{
    Fixture fixture;
    CHECK(fixture.head() == LogHead());
    CHECK(fixture.append(changeNamed("a"), 0).outcome == AppendOutcome::Committed);
    CHECK(fixture.append(changeNamed("b"), 1).outcome == AppendOutcome::Committed);
    CHECK(fixture.append(changeNamed("c"), 2).outcome == AppendOutcome::Committed);
    CHECK(fixture.head().version == ConfigVersion(3));
    CHECK(fixture.ids(0, 3) == std::vector<std::string>{"a", "b", "c"});
    CHECK(fixture.ids(1, 2) == std::vector<std::string>{"b"});
    CHECK(fixture.ids(3, 3).empty());
    CHECK(fixture.changes(0, 1)->front().version == ConfigVersion(1));
}

// Guards against an operator's edit that is accepted although another operator changed the tables, or refused because a
// host joined.
TEST_CASE("the head tells which kinds of rows a change touched")
{
    Fixture fixture;
    config::Route route;
    route.name = RouteName("r");
    route.pathPrefix = "/r";
    route.methods = {"GET"};
    route.pool = PoolName("p");
    config::Host host;
    host.id = HostId("h1");
    CHECK(fixture.append(changeNamed("route", {config::PutRow{route}}), 0).outcome == AppendOutcome::Committed);
    CHECK(fixture.append(changeNamed("organisation"), 1).outcome == AppendOutcome::Committed);
    CHECK(fixture.append(changeNamed("host", {config::PutRow{host}}), 2).outcome == AppendOutcome::Committed);
    const auto head = fixture.head();
    CHECK(head.version == ConfigVersion(3));
    CHECK(head.tablesVersion == ConfigVersion(1));
    CHECK(head.operatorRevision == ConfigVersion(2));
    CHECK(fixture.append(changeNamed("drop", {config::DeleteRow{config::Table::Pools, "p"}}), 3).outcome == AppendOutcome::Committed);
    CHECK(fixture.head().tablesVersion == ConfigVersion(4));
}

// Guards against two writers at one version that both believe to have won, and against half a change of the loser.
TEST_CASE("of two racing writers one commits and one conflicts")
{
    Fixture fixture;
    CHECK(fixture.append(changeNamed("first"), 0).outcome == AppendOutcome::Committed);
    std::optional<AppendResult> rival;
    fixture.tables.beforeNextWrite = [&] {
        fixture.store.append(changeNamed("rival"), ConfigVersion(1), fixture.soon(), [&](const AppendResult &result) {
            rival = result;
        });
    };
    CHECK(fixture.append(changeNamed("own"), 1).outcome == AppendOutcome::Conflict);
    REQUIRE(rival);
    CHECK(rival->outcome == AppendOutcome::Committed);
    CHECK(fixture.ids(0, 2) == std::vector<std::string>{"first", "rival"});
    CHECK(fixture.head().version == ConfigVersion(2));
}

// Guards against a stale writer whose expected version is long past.
TEST_CASE("an append behind the head conflicts")
{
    Fixture fixture;
    CHECK(fixture.append(changeNamed("a"), 0).outcome == AppendOutcome::Committed);
    CHECK(fixture.append(changeNamed("b"), 0).outcome == AppendOutcome::Conflict);
    CHECK(fixture.append(changeNamed("c"), 7).outcome == AppendOutcome::Conflict);
    CHECK(fixture.ids(0, 1) == std::vector<std::string>{"a"});
}

// Guards against a change that is applied twice, or reported as lost, because its answer was lost.
TEST_CASE("a write whose answer is lost is recognised by reading it back")
{
    Fixture fixture;
    fixture.tables.faults().loseNextWriteAnswers = 1;
    const auto result = fixture.append(changeNamed("a"), 0);
    CHECK(result.outcome == AppendOutcome::Committed);
    CHECK(fixture.tables.items.writeCount() == 1);
    CHECK(fixture.head().version == ConfigVersion(1));
}

// Guards against taking somebody else's change for the own one after a lost answer.
TEST_CASE("a lost answer of a write that did not win is a conflict")
{
    Fixture fixture;
    fixture.tables.beforeNextWrite = [&] {
        fixture.store.append(changeNamed("rival"), ConfigVersion(0), fixture.soon(), [](const AppendResult &) {
        });
        fixture.tables.faults().loseNextWriteAnswers = 1;
    };
    CHECK(fixture.append(changeNamed("own"), 0).outcome == AppendOutcome::Conflict);
    CHECK(fixture.ids(0, 1) == std::vector<std::string>{"rival"});
}

// Guards against a write that is repeated after a timeout and then takes effect a second time when the first one arrives.
TEST_CASE("a late write changes nothing after its repetition was committed")
{
    Fixture fixture;
    fixture.tables.faults().lateNextWrites = 1;
    fixture.tables.faults().lateTime = std::chrono::seconds(60);
    CHECK(fixture.append(changeNamed("a"), 0).outcome == AppendOutcome::Committed);
    CHECK(fixture.append(changeNamed("b"), 1).outcome == AppendOutcome::Committed);
    fixture.tables.items.forgetTokens();
    fixture.scheduler.runAll();
    CHECK(fixture.head().version == ConfigVersion(2));
    CHECK(fixture.ids(0, 2) == std::vector<std::string>{"a", "b"});
    CHECK(fixture.tables.items.writeCount() == 2);
}

// Guards against a guess while the store is silent: the change stands in the log although nobody could say so.
TEST_CASE("an outage in the middle of an append leaves it unresolved until the store answers again")
{
    for (const bool wasWritten : {true, false}) {
        CAPTURE(wasWritten);
        Fixture fixture;
        fixture.tables.beforeNextWrite = [&] {
            if (wasWritten) {
                fixture.tables.faults().loseNextWriteAnswers = 1;
            } else {
                fixture.tables.faults().lateNextWrites = 1;
                fixture.tables.faults().lateTime = std::chrono::hours(1);
            }
            fixture.scheduler.after(std::chrono::milliseconds(1), [&] {
                fixture.tables.faults().outage = OutageMode::Silent;
            });
        };
        const auto result = fixture.append(changeNamed("a"), 0);
        CHECK(result.outcome == AppendOutcome::Unresolved);
        CHECK(isOutcomeUnknown(result.cause));
        CHECK(fixture.resolve(changeNamed("a"), 1).outcome == AppendOutcome::Unresolved);
        fixture.tables.faults().outage = OutageMode::None;
        CHECK(fixture.resolve(changeNamed("a"), 1).outcome == AppendOutcome::Committed);
        fixture.scheduler.runAll();
        CHECK(fixture.head().version == ConfigVersion(1));
        CHECK(fixture.ids(0, 1) == std::vector<std::string>{"a"});
    }
}

// Guards against resolving to "committed" when another writer took the version during the outage.
TEST_CASE("an unresolved append whose version was taken by another conflicts")
{
    Fixture fixture;
    fixture.tables.faults().outage = OutageMode::Refuse;
    const auto result = fixture.append(changeNamed("a"), 0);
    CHECK(result.outcome == AppendOutcome::Unresolved);
    CHECK(result.cause == PlatformError::Unavailable);
    fixture.tables.faults().outage = OutageMode::None;
    CHECK(fixture.append(changeNamed("b"), 0).outcome == AppendOutcome::Committed);
    CHECK(fixture.resolve(changeNamed("a"), 1).outcome == AppendOutcome::Conflict);
}

// Guards against calling an outcome unknown when the store said that it did nothing.
TEST_CASE("a refused write is told apart from a lost answer")
{
    Fixture fixture;
    fixture.tables.refuseNextWrites = 1;
    const auto throttled = fixture.append(changeNamed("a"), 0);
    CHECK(throttled.outcome == AppendOutcome::Unresolved);
    CHECK(throttled.cause == PlatformError::Throttled);
    CHECK_FALSE(isOutcomeUnknown(throttled.cause));
    CHECK(fixture.head().version == ConfigVersion(0));
}

// Guards against a refusal after a lost answer that hides that the change may still arrive.
TEST_CASE("a refusal after a lost answer stays of unknown outcome")
{
    Fixture fixture;
    fixture.tables.faults().lateNextWrites = 1;
    fixture.tables.faults().lateTime = std::chrono::seconds(60);
    std::optional<AppendResult> result;
    fixture.store.append(changeNamed("a"), ConfigVersion(0), fixture.soon(), [&](const AppendResult &outcome) {
        result = outcome;
    });
    fixture.tables.refuseNextWrites = 1;
    while (!result && fixture.scheduler.runNext()) { }
    REQUIRE(result);
    CHECK(result->outcome == AppendOutcome::Unresolved);
    CHECK(isOutcomeUnknown(result->cause));
    fixture.scheduler.runAll();
    CHECK(fixture.ids(0, 1) == std::vector<std::string>{"a"});
}

// Guards against giving up at the store's own transaction conflicts, which pass by themselves.
TEST_CASE("transaction conflicts are repeated")
{
    Fixture fixture;
    fixture.tables.conflictNextWrites = 3;
    CHECK(fixture.append(changeNamed("a"), 0).outcome == AppendOutcome::Committed);
    fixture.tables.conflictNextWrites = 100;
    const auto result = fixture.append(changeNamed("b"), 1);
    CHECK(result.outcome == AppendOutcome::Unresolved);
    CHECK_FALSE(isOutcomeUnknown(result.cause));
}

// Guards against a first import that does not fit into one item, and against pages that cut a change in two.
TEST_CASE("a change larger than an item is stored in parts and read over pages")
{
    Fixture fixture;
    std::vector<config::Mutation> mutations;
    for (int number = 0; number < 12000; ++number) {
        mutations.emplace_back(config::PutRow{organisation("organisation-\xC3\xA9-" + std::to_string(number))});
    }
    const auto large = changeNamed("large", mutations);
    CHECK(fixture.append(changeNamed("before"), 0).outcome == AppendOutcome::Committed);
    CHECK(fixture.append(large, 1).outcome == AppendOutcome::Committed);
    CHECK(fixture.append(changeNamed("after"), 2).outcome == AppendOutcome::Committed);
    std::size_t parts = 0;
    const auto stored = fixture.tables.items.query({"config", "change#", "change#~", 1000});
    for (const auto &item : stored.items) {
        CHECK(item.findBinary("body")->bytes.size() <= 390 * 1024);
        ++parts;
    }
    CHECK(parts > 3);
    for (const std::uint32_t maxPage : {1U, 2U, 3U, 1000U}) {
        CAPTURE(maxPage);
        fixture.tables.maxPage = maxPage;
        const auto changes = fixture.changes(0, 3);
        REQUIRE(changes);
        REQUIRE(changes->size() == 3);
        CHECK((*changes)[1].mutations == large.mutations);
        CHECK((*changes)[2].id == ChangeId("after"));
    }
}

// Guards against a reader that skips a missing change and builds a configuration that never was.
TEST_CASE("a gap in the log is an error")
{
    Fixture fixture;
    for (std::uint64_t version = 0; version < 4; ++version) {
        CHECK(fixture.append(changeNamed("c" + std::to_string(version)), version).outcome == AppendOutcome::Committed);
    }
    CHECK(fixture.changes(0, 5).error() == PlatformError::Malformed);
    const auto second = fixture.tables.items.query({"config", "change#", "change#~", 1000}).items[1];
    CHECK_FALSE(fixture.tables.items.write({{DeleteItem{second.key, {}}}, "spoil"}));
    CHECK(fixture.changes(0, 4).error() == PlatformError::Malformed);
    CHECK(fixture.changes(2, 4)->size() == 2);
}

// Guards against an error of the store that looks like an empty log.
TEST_CASE("an outage is not an empty log")
{
    Fixture fixture;
    fixture.tables.faults().outage = OutageMode::Refuse;
    const auto head = fixture.wait<Result<LogHead>>([&](auto handler) {
        fixture.store.readHead(fixture.soon(), handler);
    });
    CHECK(head.error() == PlatformError::Unavailable);
    CHECK(fixture.changes(0, 1).error() == PlatformError::Unavailable);
    fixture.tables.faults().outage = OutageMode::Silent;
    const auto silent = fixture.wait<Result<LogHead>>([&](auto handler) {
        fixture.store.readHead(fixture.soon(), handler);
    });
    CHECK(silent.error() == PlatformError::Timeout);
}

// Guards against lost, doubled or half-done changes under any mix of races, slowness, outages and lost answers.
TEST_CASE("under random faults every outcome tells the truth about the log")
{
    const bool holds = rc::check("outcomes are true", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        SeededRandom random(seed);
        Fixture fixture;
        std::vector<std::pair<config::Change, std::optional<AppendResult>>> attempts;
        attempts.reserve(60);
        // Each writer reads the head and appends behind it, as often as it likes.
        for (int step = 0; step < 60; ++step) {
            const auto start = fixture.clock.now() + std::chrono::milliseconds(random.below(20000));
            fixture.scheduler.at(start, [&, step] {
                auto &faults = fixture.tables.faults();
                faults.delay = std::chrono::milliseconds(random.below(800));
                faults.outage = random.below(8) == 0 ? OutageMode::Silent : OutageMode::None;
                faults.lateTime = std::chrono::milliseconds(random.below(9000));
                if (random.below(4) == 0) {
                    ++faults.loseNextWriteAnswers;
                }
                if (random.below(5) == 0) {
                    ++faults.lateNextWrites;
                }
                if (random.below(6) == 0) {
                    fixture.tables.items.forgetTokens();
                }
                fixture.store.readHead(fixture.soon(), [&, step](const Result<LogHead> &head) {
                    if (!head) {
                        return;
                    }
                    auto change = changeNamed("change" + std::to_string(step));
                    change.version = ConfigVersion(head->version.count() + 1);
                    attempts.emplace_back(change, std::nullopt);
                    const std::size_t position = attempts.size() - 1;
                    fixture.store.append(change, head->version, fixture.soon(), [&, position](const AppendResult &result) {
                        attempts[position].second = result;
                    });
                });
            });
        }
        fixture.scheduler.runAll();
        fixture.tables.faults() = {};
        for (auto &[change, result] : attempts) {
            RC_ASSERT(result.has_value());
            if (result->outcome == AppendOutcome::Unresolved) {
                const bool mayStand = isOutcomeUnknown(result->cause);
                result = fixture.resolve(change, change.version.count());
                RC_ASSERT(mayStand || result->outcome != AppendOutcome::Unresolved);
                RC_ASSERT(result->outcome != AppendOutcome::Unresolved);
            }
        }
        const auto head = fixture.head();
        const auto names = fixture.ids(0, head.version.count());
        RC_ASSERT(names.size() == head.version.count());
        for (const auto &[change, result] : attempts) {
            const auto count = std::count(names.begin(), names.end(), change.id.text());
            RC_ASSERT(count == (result->outcome == AppendOutcome::Committed ? 1 : 0));
        }
    });
    CHECK(holds);
}

static std::shared_ptr<const config::Snapshot> snapshotAt(Fixture &fixture, std::uint64_t version)
{
    auto snapshot = std::make_shared<const config::Snapshot>();
    const auto changes = fixture.changes(0, version);
    REQUIRE(changes);
    for (const auto &change : *changes) {
        snapshot = snapshot->apply(change);
    }
    return snapshot;
}

static Status writeSnapshot(Fixture &fixture, std::uint64_t version)
{
    const auto snapshot = snapshotAt(fixture, version);
    return fixture.wait<Status>([&](auto handler) {
        fixture.store.writeSnapshot(snapshot, fixture.soon(), handler);
    });
}

static Result<std::shared_ptr<const config::Snapshot>> readSnapshot(Fixture &fixture)
{
    const auto head = fixture.head();
    return fixture.wait<Result<std::shared_ptr<const config::Snapshot>>>([&](auto handler) {
        fixture.store.readSnapshot(head, fixture.soon(), handler);
    });
}

// Guards against a new host that starts from an older snapshot although a newer one is recorded.
TEST_CASE("the head records the newest snapshot only")
{
    Fixture fixture;
    for (std::uint64_t version = 0; version < 3; ++version) {
        CHECK(fixture.append(changeNamed("c" + std::to_string(version)), version).outcome == AppendOutcome::Committed);
    }
    CHECK((*readSnapshot(fixture))->version() == ConfigVersion(0));
    CHECK_FALSE(writeSnapshot(fixture, 2));
    CHECK_FALSE(writeSnapshot(fixture, 1));
    const auto snapshot = readSnapshot(fixture);
    REQUIRE(snapshot);
    CHECK((*snapshot)->version() == ConfigVersion(2));
    CHECK((*snapshot)->rows() == snapshotAt(fixture, 2)->rows());
    CHECK(fixture.head().version == ConfigVersion(3));
}

// Guards against a recorded snapshot that undoes a change which is appended at the same time, and the reverse.
TEST_CASE("appending and recording a snapshot do not undo each other")
{
    Fixture fixture;
    CHECK(fixture.append(changeNamed("a"), 0).outcome == AppendOutcome::Committed);
    fixture.tables.beforeNextWrite = [&] {
        fixture.store.append(changeNamed("b"), ConfigVersion(1), fixture.soon(), [](const AppendResult &result) {
            CHECK(result.outcome == AppendOutcome::Committed);
        });
    };
    CHECK_FALSE(writeSnapshot(fixture, 1));
    CHECK(fixture.head().version == ConfigVersion(2));
    CHECK(fixture.head().snapshotVersion == ConfigVersion(1));
}

// Guards against a stale, cut short or foreign snapshot object that is taken for the recorded one.
TEST_CASE("a snapshot whose content or version differs from the head is refused")
{
    Fixture fixture;
    CHECK(fixture.append(changeNamed("a"), 0).outcome == AppendOutcome::Committed);
    CHECK_FALSE(writeSnapshot(fixture, 1));
    const auto older = fixture.objects.objects.begin()->second;
    CHECK(fixture.append(changeNamed("b"), 1).outcome == AppendOutcome::Committed);
    CHECK_FALSE(writeSnapshot(fixture, 2));
    REQUIRE(fixture.objects.objects.size() == 2);
    auto &newest = fixture.objects.objects.rbegin()->second;
    const auto whole = newest;
    newest = older;
    CHECK(readSnapshot(fixture).error() == PlatformError::Malformed);
    newest = whole.substr(0, whole.size() - 1);
    CHECK(readSnapshot(fixture).error() == PlatformError::Malformed);
    newest = whole;
    CHECK(readSnapshot(fixture));
    fixture.objects.objects.clear();
    CHECK(readSnapshot(fixture).error() == PlatformError::NotFound);
}

// Guards against a head that names a snapshot which was never stored.
TEST_CASE("a snapshot is recorded only after it was stored")
{
    Fixture fixture;
    CHECK(fixture.append(changeNamed("a"), 0).outcome == AppendOutcome::Committed);
    fixture.objects.faults().outage = OutageMode::Refuse;
    CHECK(writeSnapshot(fixture, 1) == PlatformError::Unavailable);
    CHECK(fixture.head().snapshotVersion == ConfigVersion(0));
    fixture.objects.faults().outage = OutageMode::None;
    CHECK_FALSE(writeSnapshot(fixture, 1));
    CHECK(fixture.head().snapshotVersion == ConfigVersion(1));
}

// Guards against two runs of one non-idempotent request, and against telling a repetition from another request.
TEST_CASE("an idempotency key is claimed by one attempt")
{
    Fixture fixture;
    CHECK(fixture.claim(claimOf("a1")).outcome == ClaimOutcome::Claimed);
    const auto repeated = fixture.claim(claimOf("a2"));
    CHECK(repeated.outcome == ClaimOutcome::AlreadyClaimed);
    CHECK(repeated.isSameRequest);
    CHECK_FALSE(fixture.claim(claimOf("a3", "other request")).isSameRequest);
    auto elsewhere = claimOf("a4");
    elsewhere.organisation = OrganisationId("o2");
    CHECK(fixture.claim(elsewhere).outcome == ClaimOutcome::Claimed);
}

// Guards against a claim with a lost answer that blocks its own attempt, or lets two attempts run.
TEST_CASE("a claim whose answer is lost is recognised by its attempt")
{
    Fixture fixture;
    fixture.tables.faults().loseNextWriteAnswers = 1;
    CHECK(fixture.claim(claimOf("a1")).outcome == ClaimOutcome::Claimed);
    fixture.tables.faults().loseNextWriteAnswers = 1;
    CHECK(fixture.claim(claimOf("a2")).outcome == ClaimOutcome::AlreadyClaimed);
}

// Guards against running a request on a claim that the store never confirmed.
TEST_CASE("a claim is unknown while the store is silent")
{
    Fixture fixture;
    for (const auto mode : {OutageMode::Silent, OutageMode::Refuse}) {
        fixture.tables.faults().outage = mode;
        const auto result = fixture.claim(claimOf("a1"));
        CHECK(result.outcome == ClaimOutcome::Unknown);
        CHECK(result.cause);
    }
}

// Guards against a late claim that lets a second attempt run after the first one was told that it holds the key.
TEST_CASE("a late claim does not displace the one that was granted")
{
    Fixture fixture;
    fixture.tables.faults().lateNextWrites = 1;
    fixture.tables.faults().lateTime = std::chrono::seconds(60);
    CHECK(fixture.claim(claimOf("a1")).outcome == ClaimOutcome::Claimed);
    fixture.tables.items.forgetTokens();
    fixture.scheduler.runAll();
    CHECK(fixture.claim(claimOf("a2")).outcome == ClaimOutcome::AlreadyClaimed);
}

// Guards against a refused request whose key stays taken, and against freeing the key of an attempt that runs.
TEST_CASE("only the holder of a claim releases it")
{
    Fixture fixture;
    CHECK(fixture.claim(claimOf("a1")).outcome == ClaimOutcome::Claimed);
    const auto release = [&](const std::string &attempt) {
        return fixture.wait<Status>([&](auto handler) {
            fixture.store.releaseIdempotencyKey(claimOf(attempt), fixture.soon(), handler);
        });
    };
    CHECK_FALSE(release("a2"));
    CHECK(fixture.claim(claimOf("a3")).outcome == ClaimOutcome::AlreadyClaimed);
    CHECK_FALSE(release("a1"));
    CHECK(fixture.claim(claimOf("a4")).outcome == ClaimOutcome::Claimed);
}
