#include "fleetchecker.h"

#include <rhubarbtiller/membership/freshness.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::membership;
using namespace std::chrono_literals;

static constexpr MonotonicTime Start{1h};
static constexpr ConfigVersion V1{1};
static constexpr ConfigVersion V2{2};

static HostId witness(int number)
{
    return HostId("w" + std::to_string(number));
}

static config::FleetParameters fiveWitnesses()
{
    config::FleetParameters fleet;
    fleet.witnesses = {witness(1), witness(2), witness(3), witness(4), witness(5)};
    return fleet;
}

static EvidenceVector reports(ConfigVersion version, std::vector<int> witnesses, Duration age = 0s)
{
    EvidenceVector evidence;
    for (const int number : witnesses) {
        evidence.witnesses.push_back(WitnessEvidence{witness(number), version, age});
    }
    return evidence;
}

// Guards against a host that acts on what it applied without evidence, as after a start with an old snapshot.
TEST_CASE("a host that has just started holds no lease")
{
    FreshnessLease lease(HostId("h"), Start);
    CHECK_FALSE(lease.holds(Start));
    lease.onApplied(V1, fiveWitnesses(), Start);
    CHECK_FALSE(lease.holds(Start));
    lease.onStoreRead(V1, Start, Start + 1s);
    CHECK(lease.holds(Start + 2999ms));
    CHECK_FALSE(lease.holds(Start + 3s));
}

// Guards against evidence of another version that renews the lease of the applied one, and against evidence that is lost
// because it came before the version was applied.
TEST_CASE("only evidence of exactly the applied version counts")
{
    FreshnessLease lease(HostId("h"), Start);
    lease.onApplied(V1, fiveWitnesses(), Start);
    lease.onStoreRead(V1, Start, Start);
    lease.onStoreRead(V2, Start + 1s, Start + 1s);
    CHECK(lease.deadline(Start + 1s) == Start + 3s);
    CHECK(lease.highestKnownVersion() == V2);
    lease.onApplied(V2, fiveWitnesses(), Start + 2s);
    CHECK(lease.deadline(Start + 2s) == Start + 4s);
    lease.onReplyEvidence(reports(V1, {1, 2, 3, 4, 5}), Start + 3s, Start + 3s);
    CHECK(lease.deadline(Start + 3s) == Start + 4s);
    lease.onApplied(V1, fiveWitnesses(), Start + 3s);
    CHECK(lease.appliedVersion() == V2);
}

// Guards against a lease that counts from the newest report instead of the oldest of the majority, or from the arrival of
// relayed evidence instead of its age before the own request.
TEST_CASE("without the store the lease counts from the oldest report of the freshest majority")
{
    FreshnessLease lease(HostId("h"), Start);
    lease.onApplied(V1, fiveWitnesses(), Start);
    lease.onReplyEvidence(reports(V1, {1, 2}), Start + 5s, Start + 6s);
    CHECK_FALSE(lease.holds(Start + 6s));
    lease.onReplyEvidence(reports(V1, {3}, 700ms), Start + 5s, Start + 6s);
    CHECK(lease.deadline(Start + 6s) == Start + 7300ms);
    lease.onReplyEvidence(reports(V1, {4}, 300ms), Start + 5s, Start + 6s);
    CHECK(lease.deadline(Start + 6s) == Start + 7700ms);
    lease.onReplyEvidence(reports(V2, {5}), Start + 5s, Start + 6s);
    CHECK(lease.deadline(Start + 6s) == Start + 7700ms);
}

// Guards against a delayed request whose ages look fresh.
TEST_CASE("the reports in a request renew nothing and settle nothing")
{
    FreshnessLease lease(HostId("h"), Start);
    lease.onApplied(V1, fiveWitnesses(), Start);
    EvidenceVector evidence = reports(V1, {1, 2, 3, 4, 5});
    evidence.storeVersion = V2;
    evidence.storeAge = 0s;
    lease.onRequestEvidence(evidence);
    CHECK_FALSE(lease.holds(Start));
    CHECK(lease.highestKnownVersion() == V2);
    CHECK(lease.settledVersion(Start + 1h) == ConfigVersion());
}

// Guards against a version that counts as settled while a host may still hold the lease of the one before, also across a
// change of the witnesses.
TEST_CASE("a version is settled one lease and the drift after both majorities reported it")
{
    FreshnessLease lease(HostId("h"), Start);
    config::FleetParameters fleet = fiveWitnesses();
    fleet.previousWitnesses = {witness(6)};
    lease.onApplied(V2, fleet, Start);
    lease.onReplyEvidence(reports(V2, {1, 2, 3}), Start, Start + 100ms);
    CHECK(lease.settledVersion(Start + 1h) == ConfigVersion());
    lease.onReplyEvidence(reports(V2, {6}), Start, Start + 200ms);
    CHECK(lease.settledVersion(Start + 200ms + 3101ms) == ConfigVersion());
    CHECK(lease.settledVersion(Start + 200ms + 3102ms) == V2);
    lease.onReplyEvidence(reports(ConfigVersion(3), {1, 2, 3, 4, 5, 6}), Start + 1s, Start + 1s);
    CHECK(lease.settledVersion(Start + 1h) == V2);
}

// Guards against every host waiting anew for a version that another one knows to be settled, which takes longer than 5 s, and
// against a host that says so of a version that it has not applied.
TEST_CASE("a host takes over which version is settled, up to its own")
{
    FreshnessLease lease(HostId("h"), Start);
    lease.onApplied(V1, fiveWitnesses(), Start);
    EvidenceVector evidence;
    evidence.settledVersion = V2;
    lease.onRequestEvidence(evidence);
    CHECK(lease.settledVersion(Start) == V1);
    CHECK(lease.highestKnownVersion() == V2);
    lease.onApplied(V2, fiveWitnesses(), Start);
    CHECK(lease.settledVersion(Start) == V2);
    CHECK(lease.evidenceVector(Start).settledVersion == V2);
    CHECK_FALSE(lease.holds(Start));
}

// Guards against evidence that is passed on younger than it is, and against a witness that reports for another host.
TEST_CASE("evidence is passed on with its age, and a witness reports itself only when it knows the version")
{
    FreshnessLease lease(witness(1), Start);
    lease.onApplied(V1, fiveWitnesses(), Start);
    lease.onReplyEvidence(reports(V1, {1, 2}, 500ms), Start + 1s, Start + 2s);
    EvidenceVector evidence = lease.evidenceVector(Start + 3s);
    REQUIRE(evidence.witnesses.size() == 1);
    CHECK(evidence.witnesses[0] == WitnessEvidence{witness(2), V1, 2500ms});
    CHECK_FALSE(evidence.storeAge.has_value());
    lease.onStoreRead(V2, Start + 3s, Start + 3s);
    CHECK_FALSE(lease.mayReport());
    lease.onApplied(V2, fiveWitnesses(), Start + 3s);
    evidence = lease.evidenceVector(Start + 4s);
    CHECK(evidence.storeVersion == V2);
    CHECK(evidence.storeAge == Duration(1s));
    REQUIRE(evidence.witnesses.size() == 2);
    CHECK(evidence.witnesses[1] == WitnessEvidence{witness(1), V2, 0s});
}

// Guards against a witness that forgets by a restart what it reported, and then vouches for the older version: its report
// from before the restart may be counted together with reports of others that follow later.
TEST_CASE("a restarted witness reports only what enough others said after its start and one lease")
{
    FreshnessLease lease(witness(1), Start);
    lease.onApplied(V1, fiveWitnesses(), Start);
    lease.onReplyEvidence(reports(V1, {2, 3, 4, 5}), Start + 3200ms, Start + 3200ms);
    CHECK_FALSE(lease.mayReport());
    lease.onReplyEvidence(reports(V1, {2, 3}), Start + 3300ms, Start + 3300ms);
    CHECK_FALSE(lease.mayReport());
    lease.onReplyEvidence(reports(V2, {4}), Start + 3300ms, Start + 3300ms);
    CHECK_FALSE(lease.mayReport());
    lease.onApplied(V2, fiveWitnesses(), Start + 4s);
    CHECK(lease.mayReport());
}

/// Plays a restart of witness 1 between its report of version 2 and the same report of witnesses 2 and 3, with all clocks
/// equal; \p silentAfterStart is false for a witness that vouches for what others said at once.
static std::vector<std::string> playRestart(bool silentAfterStart)
{
    FreshnessLease settling(HostId("settling"), Start);
    settling.onApplied(V2, fiveWitnesses(), Start);
    settling.onReplyEvidence(reports(V2, {1}), Start, Start);

    const MonotonicTime restartedAt = Start + 100ms;
    FreshnessLease restarted(witness(1), restartedAt);
    restarted.onApplied(V1, fiveWitnesses(), restartedAt);
    restarted.onReplyEvidence(reports(V1, {2, 3, 4, 5}), restartedAt + 100ms, restartedAt + 100ms);
    if (!silentAfterStart) {
        restarted.onStoreRead(V1, restartedAt - 1h + 200ms, restartedAt + 100ms);
    }
    settling.onReplyEvidence(reports(V2, {2, 3}), Start + 500ms, Start + 500ms);

    FreshnessLease acting(HostId("acting"), Start);
    acting.onApplied(V1, fiveWitnesses(), Start);
    testing::FleetChecker checker;
    for (Duration passed = 0s; passed < 10s; passed += 100ms) {
        const MonotonicTime now = Start + passed;
        acting.onReplyEvidence(reports(V1, {4, 5}), now, now);
        if (now > restartedAt) {
            acting.onReplyEvidence(restarted.evidenceVector(now), now, now);
            // Witnesses 2 and 3 have moved on; 4 and 5 have not heard of version 2.
            restarted.onReplyEvidence(reports(V1, {4, 5}), now, now);
            restarted.onReplyEvidence(reports(now < Start + 500ms ? V1 : V2, {2, 3}), now, now);
        }
        std::vector<testing::HostObservation> seen;
        for (const auto *lease : {&settling, &acting}) {
            const Freshness state = lease->state(now);
            const HostId id(lease == &settling ? "settling" : "acting");
            seen.push_back({id, Incarnation(1), state.holds(now), state.version, state.settled, {}, {}});
        }
        checker.observe(std::chrono::duration<double>(passed).count(), seen);
    }
    CHECK(checker.highestSettled() == V2);
    return checker.violations();
}

// Guards against the removal of the silence of a restarted witness; without it the same history breaks the invariant.
TEST_CASE("a restarted witness does not vouch for a version that its last run helped to replace")
{
    CHECK(playRestart(true).empty());
    CHECK_FALSE(playRestart(false).empty());
}

// Guards against a report from before a restart that is counted for ever, which the silence after a start cannot cover.
TEST_CASE("reports settle a version only within one lease of each other")
{
    FreshnessLease lease(HostId("h"), Start);
    lease.onApplied(V2, fiveWitnesses(), Start);
    lease.onReplyEvidence(reports(V2, {1}), Start, Start);
    lease.onReplyEvidence(reports(V2, {2, 3}), Start + 3001ms, Start + 3001ms);
    CHECK(lease.settledVersion(Start + 1h) == ConfigVersion());
    lease.onReplyEvidence(reports(V2, {1}), Start + 4s, Start + 4s);
    CHECK(lease.settledVersion(Start + 1h) == V2);
}
