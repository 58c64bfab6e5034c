#include "fleetfixture.h"

#include <rhubarbtiller/peer/messages.h>
#include <rhubarbtiller/peer/peertransport.h>
#include <rhubarbtiller/routing/keyextractor.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::host;

namespace {

/// The hosts that a request for the server b3 passes, all different.
struct Path
{
    std::size_t entry = 0;
    std::size_t home = 0;
    std::size_t owner = 0;
    std::size_t organisation = 0;
};

/// A peer that the fleet does not know, with a credential.
struct Stranger
{
    explicit Stranger(const std::string &credential)
    {
        peer::PeerOptions options;
        options.self = HostId("stranger");
        options.credential = credential;
        this->network = peer::makePeerNetwork(this->thread.context, this->clock, options);
    }

    ~Stranger()
    {
        this->thread.stop();
    }

    std::future<peer::PeerOutcome> call(const Endpoint &peer, const peer::wire::Envelope &message)
    {
        auto promise = std::make_shared<std::promise<peer::PeerOutcome>>();
        this->network->call(peer, message, this->clock.now() + std::chrono::milliseconds(700), [promise](peer::PeerOutcome outcome) {
            promise->set_value(std::move(outcome));
        });
        return promise->get_future();
    }

    SystemClock clock;
    ContextThread thread;
    std::unique_ptr<peer::PeerNetwork> network;
};

} // namespace

static Path findPath(const Fleet &fleet)
{
    Path path;
    REQUIRE(eventually([&] {
        path.owner = fleet.ownerOf("b3");
        return path.owner < Fleet::HostCount;
    }));
    while (path.organisation < Fleet::OrganisationCount && fleet.homeOf(path.organisation) == path.owner) {
        ++path.organisation;
    }
    REQUIRE(path.organisation < Fleet::OrganisationCount);
    path.home = fleet.homeOf(path.organisation);
    path.entry = 3 - path.owner - path.home;
    return path;
}

static std::vector<std::pair<std::size_t, std::size_t>> linksOf(const Path &path)
{
    return {{path.entry, path.home}, {path.home, path.entry}, {path.home, path.owner}, {path.owner, path.home}};
}

/// Sends a write and a read at once; both must end visibly.
static void callBoth(Fleet &fleet, const Path &path, const std::function<void()> &meanwhile)
{
    auto write = fleet.callLater(path.entry, path.organisation, {"POST", "/solo-write", {}, "x"});
    auto read = fleet.callLater(path.entry, path.organisation, {"GET", "/solo-read", {}, ""});
    meanwhile();
    CHECK(write.get().isWhole);
    CHECK(read.get().isWhole);
}

TEST_CASE("a hop that was cut before the request: guards against a false \"not run\" or a second run (I9, I10)")
{
    auto &fleet = sharedFleet();
    for (std::size_t link = 0; link < 4; ++link) {
        const auto path = findPath(fleet);
        const auto [from, to] = linksOf(path)[link];
        CAPTURE(link);
        fleet.cutLink(from, to);
        callBoth(fleet, path, [] {
        });
        fleet.restoreLinks();
    }
    checkHistory(fleet.takeHistory());
}

TEST_CASE("a hop that is cut while the backend server works: guards against a false \"not run\" or a second run (I9, I10)")
{
    auto &fleet = sharedFleet();
    for (std::size_t link = 0; link < 4; ++link) {
        REQUIRE(fleet.becomesReady());
        const auto path = findPath(fleet);
        const auto [from, to] = linksOf(path)[link];
        CAPTURE(link);
        fleet.setRules({{{"kind", "slow"}, {"delayMs", 300}}}, 3);
        callBoth(fleet, path, [&] {
            CHECK(eventually([&fleet] {
                return fleet.backendState(3)["running"] == 2;
            }));
            fleet.cutLink(from, to);
        });
        fleet.setRules(Json::array(), 3);
        fleet.restoreLinks();
    }
    checkHistory(fleet.takeHistory());
}

TEST_CASE("a hop that is cut after the request: guards against a finished request that is sent again")
{
    auto &fleet = sharedFleet();
    REQUIRE(fleet.becomesReady());
    for (std::size_t link = 0; link < 4; ++link) {
        const auto path = findPath(fleet);
        const auto [from, to] = linksOf(path)[link];
        CAPTURE(link);
        const auto before = fleet.call(path.entry, path.organisation, {"POST", "/solo-write", {}, "x"});
        CHECK_MESSAGE(before.response.status == 200, before.reason());
        fleet.cutLink(from, to);
        fleet.restoreLinks();
        const auto after = fleet.call(path.entry, path.organisation, {"POST", "/solo-write", {}, "x"});
        CHECK_MESSAGE(after.response.status == 200, after.reason());
    }
    checkHistory(fleet.takeHistory());
}

/// Destroys a host on the path while the backend server works on a request that is not idempotent.
static void destroyDuringWrite(std::size_t Path::*failing)
{
    Fleet fleet;
    const auto path = findPath(fleet);
    fleet.setRules({{{"kind", "slow"}, {"delayMs", 400}}});
    auto write = fleet.callLater(path.entry, path.organisation, {"POST", "/solo-write", {}, "x"});
    CHECK(eventually([&fleet] {
        return fleet.backendState(3)["running"] == 1;
    }));
    fleet.destroyHost(path.*failing);
    const auto lost = write.get();
    CHECK(lost.isWhole);
    CHECK(lost.executed() == "unknown");
    checkHistory(fleet.takeHistory());
}

TEST_CASE("the owner of a server fails in the middle of a request: guards against a false \"not run\" or a second run (I9, I10)")
{
    destroyDuringWrite(&Path::owner);
}

TEST_CASE("the home of an organisation fails in the middle of a request: guards against a false \"not run\" or a second run (I9, I10)")
{
    destroyDuringWrite(&Path::home);
}

static peer::wire::Envelope forwardMessage(const std::string &id)
{
    peer::wire::ForwardRequest body;
    body.requestId = id;
    body.stage = peer::wire::ForwardStage::DISPATCH;
    body.method = "POST";
    body.target = "/solo-write";
    peer::wire::WireHeader tag;
    tag.name = "X-Caller-Tag";
    tag.value = id;
    body.headers.push_back(tag);
    body.remainingMicros = 1'000'000;
    body.organisation = Fleet::organisationName(0);
    body.keyDigest = routing::digestOfKey(Fleet::keyOf(0)).text();
    body.route = "solo-write";
    body.backendServer = "b3";
    peer::wire::Envelope message;
    message.__set_forwardRequest(body);
    return message;
}

TEST_CASE("a forwarded request that comes after its cancellation, or twice: guards against a second run (I10)")
{
    auto &fleet = sharedFleet();
    REQUIRE(fleet.becomesReady());
    const auto owner = fleet.peerAddress(findPath(fleet).owner);
    Stranger sender(Fleet::peerCredential());

    const auto first = sender.call(owner, forwardMessage("once")).get();
    REQUIRE(first.reply);
    CHECK((*first.reply)->forwardReply.execution == peer::wire::Execution::RAN);
    CHECK_FALSE(sender.call(owner, forwardMessage("once")).get().reply);
    CHECK(fleet.runsOf("once") == 1);

    peer::wire::CancelRequest cancel;
    cancel.requestId = "late";
    peer::wire::Envelope message;
    message.__set_cancelRequest(cancel);
    const auto cancelled = sender.call(owner, message).get();
    REQUIRE(cancelled.reply);
    // A host that started a moment ago cannot know what ran before; it bars the request all the same.
    CHECK((*cancelled.reply)->cancelReply.state != peer::wire::CancelState::FINISHED);
    CHECK_FALSE(sender.call(owner, forwardMessage("late")).get().reply);
    CHECK(fleet.runsOf("late") == 0);
    fleet.takeHistory();
}

TEST_CASE("a peer without the credential is not served: guards against forged forwards that skip the check of keys")
{
    auto &fleet = sharedFleet();
    REQUIRE(fleet.becomesReady());
    Stranger sender("another-credential-of-16-letters");
    CHECK_FALSE(sender.call(fleet.peerAddress(findPath(fleet).owner), forwardMessage("forged")).get().reply);
    CHECK(fleet.runsOf("forged") == 0);
}
