#include <rhubarbtiller/membership/votes.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace rhubarbtiller;
using namespace rhubarbtiller::membership;
using namespace std::chrono_literals;

static constexpr MonotonicTime Start{1h};
static constexpr MonotonicTime Ready = Start + withClockDrift(VoteLeaseDuration);
static constexpr ShardId Shard{0};

static std::shared_ptr<const Placement> place(const std::vector<std::string> &hosts, std::uint32_t shards = 1)
{
    std::vector<config::Row> rows;
    for (const auto &name : hosts) {
        config::Host host;
        host.id = HostId(name);
        host.failureDomain = FailureDomainId("domain of " + name);
        rows.emplace_back(host);
    }
    config::FleetParameters fleet;
    fleet.shardCount = shards;
    rows.emplace_back(fleet);
    return Placement::build(*config::Snapshot::fromRows(ConfigVersion(1), ConfigVersion(1), rows));
}

static Freshness fresh(std::uint64_t version, MonotonicTime now, std::uint64_t settled)
{
    return Freshness{ConfigVersion(version), now + 3s, ConfigVersion(settled)};
}

static VoteRequest ask(const HostId &holder, std::uint64_t sequence, std::uint64_t version = 1, bool hearsReplies = true)
{
    return VoteRequest{holder, Incarnation(1), ConfigVersion(version), sequence, hearsReplies, {Shard}, {}};
}

static VoteRequest releaseRequest(const HostId &holder, std::uint64_t sequence)
{
    return VoteRequest{holder, Incarnation(1), ConfigVersion(1), sequence, true, {}, {Shard}};
}

static bool isGranted(VoteGuardian &guardian, const VoteRequest &request, const Freshness &freshness, MonotonicTime now)
{
    return !guardian.onVoteRequest(request, freshness, now).granted.empty();
}

// Guards against a restarted guardian that lends a vote which its last run has lent to another holder. The check fails for a
// guardian that believes it started long ago, which stands for one without the wait.
TEST_CASE("a guardian that has just started waits until votes of its last run have ended")
{
    const auto placement = place({"a", "b", "c"});
    const auto &hosts = placement->guardians(Shard);
    VoteGuardian lastRun(hosts[2], Start - 1h);
    lastRun.onPlacement(ConfigVersion(1), placement);
    VoteHolder holder(hosts[1], Incarnation(1));
    holder.onPlacement(ConfigVersion(1), placement);
    const VoteRequest request = holder.requestFor(hosts[2], fresh(1, Start, 1), Start);
    holder.onVoteReply(hosts[2], request, Start, lastRun.onVoteRequest(request, fresh(1, Start, 1), Start));

    const auto isLentTwice = [&](MonotonicTime startedAt) {
        VoteGuardian guardian(hosts[2], startedAt);
        guardian.onPlacement(ConfigVersion(1), placement);
        for (MonotonicTime now = Start; now < Start + 5s; now += 100ms) {
            const bool isOther = isGranted(guardian, ask(hosts[0], 1), fresh(1, now, 1), now);
            if (isOther && holder.votes(Shard, fresh(1, now, 1), now) > 0) {
                return true;
            }
        }
        return false;
    };
    CHECK_FALSE(isLentTwice(Start));
    CHECK(isLentTwice(Start - 1h));
}

// Guards against a guardian that lends its vote or uses its share without knowing that its version is in force.
TEST_CASE("a guardian without a lease, or new to the shard before the version is settled, lends and keeps nothing")
{
    const auto placement = place({"a", "b", "c"});
    const HostId asking = placement->guardians(Shard)[0];
    VoteGuardian guardian(placement->guardians(Shard)[1], Start);
    guardian.onPlacement(ConfigVersion(5), placement);
    const MonotonicTime now = Ready;
    CHECK_FALSE(isGranted(guardian, ask(asking, 1, 5), fresh(5, now, 4), now));
    CHECK_FALSE(guardian.ownShareAvailable(Shard, fresh(5, now, 4), now));
    CHECK_FALSE(isGranted(guardian, ask(asking, 2, 5), fresh(5, now - 3s, 5), now));
    CHECK_FALSE(guardian.ownShareAvailable(Shard, fresh(5, now - 3s, 5), now));
    CHECK_FALSE(isGranted(guardian, ask(asking, 3, 5), fresh(4, now, 5), now));
    CHECK(guardian.ownShareAvailable(Shard, fresh(5, now, 5), now));
    CHECK(isGranted(guardian, ask(asking, 4, 5), fresh(5, now, 5), now));
    CHECK_FALSE(guardian.ownShareAvailable(Shard, fresh(5, now, 5), now));
    CHECK_FALSE(isGranted(guardian, ask(HostId("no guardian"), 1, 5), fresh(5, now, 5), now + 4s));
    CHECK(guardian.ownShareAvailable(Shard, fresh(5, now + 4s, 5), now + 4s));
}

// Guards against a shard that stays away from its preferred holder for ever, and against an overlap when it moves back.
TEST_CASE("a shard moves back to the preferred holder after the vote of the other has run out")
{
    const auto placement = place({"a", "b", "c"});
    const auto &hosts = placement->guardians(Shard);
    VoteGuardian guardian(hosts[2], Start);
    guardian.onPlacement(ConfigVersion(1), placement);
    VoteHolder second(hosts[1], Incarnation(1));
    second.onPlacement(ConfigVersion(1), placement);
    MonotonicTime movedAt{};
    for (MonotonicTime now = Ready; now < Ready + 20s; now += 100ms) {
        const Freshness freshness = fresh(1, now, 1);
        const auto tenth = (now - Ready) / 100ms;
        if (tenth % 10 == 0) {
            const VoteRequest request = second.requestFor(hosts[2], freshness, now);
            second.onVoteReply(hosts[2], request, now, guardian.onVoteRequest(request, freshness, now));
        }
        if (tenth >= 55 && tenth % 10 == 5 && isGranted(guardian, ask(hosts[0], static_cast<std::uint64_t>(tenth)), freshness, now)) {
            CHECK(second.votes(Shard, freshness, now) == 0);
            movedAt = movedAt == MonotonicTime{} ? now : movedAt;
        }
        if (now >= Ready + 10s) {
            CHECK(guardian.lentTo(Shard, now) == hosts[0]);
        }
    }
    CHECK(movedAt != MonotonicTime{});
    CHECK(movedAt < Ready + 10s);
}

// Guards against a preferred holder that cannot hear the replies and blocks the shard by asking for it.
TEST_CASE("a holder that hears no replies gives way to one that does")
{
    const auto placement = place({"a", "b", "c"});
    const auto &hosts = placement->guardians(Shard);
    VoteGuardian guardian(hosts[2], Start);
    guardian.onPlacement(ConfigVersion(1), placement);
    CHECK(isGranted(guardian, ask(hosts[0], 1, 1, false), fresh(1, Ready, 1), Ready));
    std::uint64_t sequence = 1;
    for (MonotonicTime now = Ready; now < Ready + 20s; now += 1s) {
        ++sequence;
        isGranted(guardian, ask(hosts[0], sequence, 1, false), fresh(1, now, 1), now);
        const bool isOther = isGranted(guardian, ask(hosts[1], sequence), fresh(1, now, 1), now);
        CHECK(isOther == (now >= Ready + 4s));
    }
}

// Guards against a release that arrives late or twice and ends a vote that was granted again.
TEST_CASE("a release ends the vote at once, but not one that was granted after it")
{
    const auto placement = place({"a", "b", "c"});
    const auto &hosts = placement->guardians(Shard);
    VoteGuardian guardian(hosts[2], Start);
    guardian.onPlacement(ConfigVersion(1), placement);
    const Freshness freshness = fresh(1, Ready, 1);
    CHECK(isGranted(guardian, ask(hosts[0], 1), freshness, Ready));
    guardian.onVoteRequest(releaseRequest(hosts[0], 2), freshness, Ready);
    CHECK(guardian.ownShareAvailable(Shard, freshness, Ready));
    CHECK(isGranted(guardian, ask(hosts[0], 3), freshness, Ready));
    guardian.onVoteRequest(releaseRequest(hosts[0], 2), freshness, Ready);
    CHECK(guardian.lentTo(Shard, Ready) == hosts[0]);
    VoteRequest otherRun = releaseRequest(hosts[0], 9);
    otherRun.incarnation = Incarnation(2);
    guardian.onVoteRequest(otherRun, freshness, Ready);
    CHECK(guardian.lentTo(Shard, Ready) == hosts[0]);
}

// Guards against a holder that counts a vote which it has given back, when the reply to an earlier request comes late.
TEST_CASE("a holder drops released votes and ignores replies to earlier requests")
{
    const auto placement = place({"a", "b", "c"});
    const HostId guardian = placement->guardians(Shard)[0];
    VoteHolder holder(placement->guardians(Shard)[1], Incarnation(1));
    holder.onPlacement(ConfigVersion(1), placement);
    const Freshness freshness = fresh(1, Start, 1);
    const VoteRequest early = holder.requestFor(guardian, freshness, Start);
    const VoteReply granted{ConfigVersion(1), {Shard}};
    holder.onVoteReply(guardian, early, Start, granted);
    CHECK(holder.votes(Shard, freshness, Start) == 1);
    holder.release(Shard);
    CHECK(holder.votes(Shard, freshness, Start) == 0);
    holder.onVoteReply(guardian, early, Start, granted);
    CHECK(holder.votes(Shard, freshness, Start) == 0);
    const VoteRequest release = holder.requestFor(guardian, freshness, Start);
    CHECK(release.released == std::vector{Shard});
    CHECK(release.wanted.empty());
    // The release is repeated until the guardian has answered it.
    CHECK(holder.requestFor(guardian, freshness, Start).released == std::vector{Shard});
    holder.onVoteReply(guardian, release, Start, VoteReply{});
    const VoteRequest again = holder.requestFor(guardian, freshness, Start);
    CHECK(again.wanted == std::vector{Shard});
    holder.releaseAll();
    CHECK(holder.requestFor(guardian, freshness, Start).wanted.empty());
}

// Guards against votes that count longer than the guardian keeps them, or without the holder's own lease.
TEST_CASE("a holder owns a shard with two of three votes, counted from the sending of the requests, under its own lease")
{
    const auto placement = place({"a", "b", "c"});
    const auto &hosts = placement->guardians(Shard);
    VoteHolder holder(hosts[0], Incarnation(1));
    holder.onPlacement(ConfigVersion(1), placement);
    const VoteReply granted{ConfigVersion(1), {Shard}};
    const Freshness freshness{ConfigVersion(1), Start + 1h, ConfigVersion(1)};
    holder.onVoteReply(hosts[1], holder.requestFor(hosts[1], freshness, Start), Start, granted);
    CHECK_FALSE(holder.owns(Shard, freshness, Start + 1s));
    holder.onVoteReply(hosts[2], holder.requestFor(hosts[2], freshness, Start + 1s), Start + 1s, granted);
    CHECK(holder.ownedUntil(Shard, freshness, Start + 1s) == Start + 3s);
    CHECK(holder.share(Shard, freshness, Start + 1s) == doctest::Approx(2.0 / 3));
    CHECK(holder.votes(Shard, freshness, Start + 3s) == 1);
    CHECK_FALSE(holder.owns(Shard, freshness, Start + 3s));
    CHECK(holder.votes(Shard, fresh(1, Start - 3s, 1), Start + 1s) == 0);
    CHECK(holder.votes(Shard, fresh(2, Start + 1s, 1), Start + 1s) == 0);
}

// Guards against a majority that joins votes of two different guardian sets.
TEST_CASE("votes do not cross a change of the guardians")
{
    const auto before = place({"a", "b", "c"});
    // Replaces the least preferred guardian, so that the two others stay.
    std::vector<std::string> names{"a", "b", "c"};
    std::erase(names, before->guardians(Shard)[2].text());
    names.emplace_back("d");
    const auto after = place(names);
    const HostId staying = before->guardians(Shard)[1];
    const HostId holderId = before->guardians(Shard)[0];
    VoteGuardian guardian(staying, Start);
    guardian.onPlacement(ConfigVersion(1), before);
    guardian.onPlacement(ConfigVersion(2), after);
    VoteHolder holder(holderId, Incarnation(1));
    holder.onPlacement(ConfigVersion(1), before);
    const VoteRequest request = holder.requestFor(staying, fresh(1, Ready, 1), Ready);
    // The guardian stays, so it need not wait for version 2 to be settled, but the request is of the set before.
    CHECK_FALSE(isGranted(guardian, request, fresh(2, Ready, 1), Ready));
    CHECK(isGranted(guardian, ask(holderId, 2, 2), fresh(2, Ready, 1), Ready));
    CHECK_FALSE(isGranted(guardian, ask(holderId, 3, 3), fresh(2, Ready, 1), Ready));
    holder.onVoteReply(staying, request, Ready, VoteReply{ConfigVersion(1), {Shard}});
    CHECK(holder.votes(Shard, fresh(1, Ready, 1), Ready) == 1);
    holder.onPlacement(ConfigVersion(2), after);
    CHECK(holder.votes(Shard, fresh(2, Ready, 1), Ready) == 0);
    holder.onVoteReply(staying, request, Ready, VoteReply{ConfigVersion(1), {Shard}});
    CHECK(holder.votes(Shard, fresh(2, Ready, 1), Ready) == 0);
}

// Guards against two owners when a set of three shrinks to one, whose majority is a single vote.
TEST_CASE("a guardian of a set that shrank waits for the settled version")
{
    const auto before = place({"a", "b", "c"});
    const HostId last("a");
    VoteGuardian guardian(last, Start);
    guardian.onPlacement(ConfigVersion(1), before);
    guardian.onPlacement(ConfigVersion(2), place({"a"}));
    CHECK_FALSE(isGranted(guardian, ask(last, 1, 2), fresh(2, Ready, 1), Ready));
    CHECK(isGranted(guardian, ask(last, 2, 2), fresh(2, Ready, 2), Ready));
}

// Guards against a guardian that missed versions and takes its old knowledge for current, and against shards that change
// their meaning with the shard count.
TEST_CASE("a gap in the versions or another shard count makes a guardian new to its shards")
{
    const auto placement = place({"a", "b", "c"});
    VoteGuardian guardian(HostId("a"), Start);
    guardian.onPlacement(ConfigVersion(1), placement);
    guardian.onPlacement(ConfigVersion(2), placement);
    CHECK(guardian.ownShareAvailable(Shard, fresh(2, Ready, 1), Ready));
    guardian.onPlacement(ConfigVersion(4), placement);
    CHECK_FALSE(guardian.ownShareAvailable(Shard, fresh(4, Ready, 3), Ready));
    CHECK(guardian.ownShareAvailable(Shard, fresh(4, Ready, 4), Ready));
    guardian.onPlacement(ConfigVersion(5), place({"a", "b", "c"}, 2));
    CHECK_FALSE(guardian.ownShareAvailable(Shard, fresh(5, Ready, 4), Ready));
}
