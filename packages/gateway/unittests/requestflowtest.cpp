#include "requestflow.h"
#include "fakes.h"

#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

#include <set>

using namespace rhubarbtiller;
using namespace rhubarbtiller::gateway;
using namespace std::chrono_literals;

namespace {

/// Records the response that a caller receives.
class FakeResponder : public http::Responder
{
public:
    void respond(http::HttpResponse received) override
    {
        REQUIRE_FALSE(this->response);
        this->response = std::move(received);
    }

    void onDisconnect(std::function<void()> handler) override
    {
        this->disconnect = std::move(handler);
    }

    std::optional<http::HttpResponse> response;
    std::function<void()> disconnect;
};

/// Servers whose responses are supplied by the test.
class FakeBackend : public BackendClient
{
public:
    struct Sent
    {
        BackendCall call;
        Handler handler;
        bool isCancelled = false;
    };

    std::shared_ptr<BackendAttempt> send(BackendCall call, Handler handler) override
    {
        this->sent.push_back(std::make_shared<Sent>(Sent{std::move(call), std::move(handler), false}));
        return std::make_shared<Attempt>(this->sent.back());
    }

    void retain(const std::function<bool(const BackendServerId &)> &) override
    {
    }

    ByteCount bufferedBytes() const override
    {
        return ByteCount(0);
    }

    std::uint64_t connectionsOpened() const override
    {
        return 0;
    }

    std::vector<std::shared_ptr<Sent>> sent;

private:
    class Attempt : public BackendAttempt
    {
    public:
        explicit Attempt(std::shared_ptr<Sent> made) : entry(std::move(made))
        {
        }

        void cancel() override
        {
            this->entry->isCancelled = true;
            this->entry->handler = nullptr;
        }

        bool wasSent() const override
        {
            return true;
        }

    private:
        std::shared_ptr<Sent> entry;
    };
};

/// A gateway host with two routes on one service, on a virtual clock except for the timers.
class FlowFixture
{
public:
    /// Without a rate the organisation has no limit.
    explicit FlowFixture(int servers = 4, RequestRate rate = RequestRate(0))
    {
        catalog::CatalogParts parts;
        parts.version = ConfigVersion(1);
        parts.services.push_back({catalog::ServiceName("service"), RequestRate(2)});
        parts.routes = {this->route("/read/", catalog::RetrySemantics::Idempotent, 2),
                        this->route("/write/", catalog::RetrySemantics::AtMostOnce, 1),
                        this->route("/quick/", catalog::RetrySemantics::AtMostOnce, 1)};
        parts.routes.back().latencyObjective = 500ms;
        parts.organisations.push_back({OrganisationId("org"), {}, rate, RequestCount(rate.count())});
        parts.organisations.push_back({OrganisationId("calm"), {}, RequestRate(0), RequestCount(0)});
        parts.keys.emplace_back("key", 0);
        parts.keys.emplace_back("calm key", 1);
        auto fleet = std::make_shared<catalog::FleetState>();
        fleet->catalog = std::make_shared<catalog::Catalog>(std::move(parts));
        std::vector<catalog::ServerEntry> entries;
        for (int i = 0; i < servers; ++i) {
            catalog::ServerEntry entry;
            entry.id = BackendServerId("s" + std::to_string(i));
            entry.service = catalog::ServiceName("service");
            entry.failureDomain = FailureDomainId("a");
            entry.slots = SlotCount(1);
            entries.push_back(entry);
        }
        fleet->servers = std::make_shared<catalog::ServerTable>(entries);
        this->board.retain(*fleet->servers);
        this->state.publish(fleet);
        this->retries.setSlackShare(1);
    }

    static catalog::Route route(const std::string &prefix, catalog::RetrySemantics repeatability, int priority)
    {
        catalog::Route made;
        made.name = RouteName(prefix);
        made.virtualHost = "host";
        made.prefix = prefix;
        made.retrySemantics = repeatability;
        made.timeLimit = 2s;
        made.priority = priority;
        made.weightedServices.push_back({catalog::ServiceName("service"), 1});
        made.maxAttempts = 2;
        return made;
    }

    std::shared_ptr<FakeResponder> sendRequest(const std::string &path, const std::string &timeout = "2000", const std::string &key = "key")
    {
        http::HttpRequest request;
        request.method = "POST";
        request.target = path;
        request.headers = {{"Host", "host"}, {"Id", "r" + std::to_string(++this->requests)}, {"Patience", timeout}, {"Key", key}};
        auto responder = std::make_shared<FakeResponder>();
        std::make_shared<RequestFlow>(this->flow, responder)->start(std::move(request));
        return responder;
    }

    void end(std::size_t number, AttemptEnd end, http::HttpResponse response = {})
    {
        REQUIRE(number < this->backend.sent.size());
        const auto handler = std::exchange(this->backend.sent[number]->handler, nullptr);
        REQUIRE(handler);
        AttemptOutcome outcome;
        outcome.end = end;
        outcome.response = std::move(response);
        handler(std::move(outcome));
        this->context.restart();
        this->context.poll();
    }

    /// Advances the clock and runs the timers that are due.
    void advanceTime(std::chrono::milliseconds time)
    {
        this->clock.advance(time);
        this->context.restart();
        this->context.run_for(time + 50ms);
    }

    asio::io_context context;
    testing::VirtualClock clock;
    SeededRandom random{5};
    PlainDialect dialect;
    FakeBackend backend;
    RcuCell<catalog::FleetState> state;
    balance::Scoreboard board;
    balance::OrganisationQuota quota{5s};
    balance::RetryBudget retries{{0.2, 100, 10s}};
    balance::WeightedSplit split;
    balance::HostDirectory directory{{HostId("own"), FailureDomainId("a"), {}, {}, {}, Incarnation(1), 1000, false, false, false, 250ms},
                                     2};
    telemetry::Metrics metrics;
    FlowContext flow{this->context,
                     this->clock,
                     this->random,
                     this->dialect,
                     this->backend,
                     this->state,
                     this->board,
                     this->quota,
                     this->retries,
                     this->split,
                     this->directory,
                     this->metrics,
                     [] {
                     },
                     [this] {
                         return this->versions;
                     }};
    /// Store versions of the configuration: that of this host, and the newest that a peer announced.
    std::pair<std::uint64_t, std::uint64_t> versions{1, 1};
    int requests = 0;
};

} // namespace

static std::string reasonOf(const FakeResponder &responder)
{
    return std::string(findHeader(responder.response->headers, "Reason"));
}

TEST_CASE("a server's response is returned to the caller")
{
    FlowFixture fixture;
    const auto caller = fixture.sendRequest("/write/x");
    fixture.end(0, AttemptEnd::Answered, {200, {}, "body"});
    CHECK(caller->response->status == 200);
    CHECK(caller->response->body == "body");
}

TEST_CASE("a request that may have run and is not idempotent is not retried")
{
    FlowFixture fixture;
    const auto caller = fixture.sendRequest("/write/x");
    fixture.end(0, AttemptEnd::Broken);
    CHECK(fixture.backend.sent.size() == 1);
    REQUIRE(caller->response);
    // The response does not state that the request did not run.
    CHECK(caller->response->status == 502);
}

TEST_CASE("a request that a server refused without running it goes to another server")
{
    FlowFixture fixture;
    const auto caller = fixture.sendRequest("/write/x");
    fixture.end(0, AttemptEnd::Answered, {503, {{"Not-Run", "1"}}, {}});
    REQUIRE(fixture.backend.sent.size() == 2);
    CHECK(fixture.backend.sent[0]->call.server != fixture.backend.sent[1]->call.server);
    fixture.end(1, AttemptEnd::Answered, {200, {}, {}});
    CHECK(caller->response->status == 200);
}

TEST_CASE("a failed connection sends nothing, so that any request goes to another server")
{
    FlowFixture fixture;
    const auto caller = fixture.sendRequest("/write/x");
    fixture.end(0, AttemptEnd::NotConnected);
    REQUIRE(fixture.backend.sent.size() == 2);
    fixture.end(1, AttemptEnd::Broken);
    CHECK(fixture.backend.sent.size() == 2);
    CHECK(caller->response->status == 502);
}

// Guards against an exposure above the bound while servers refuse connections, if each attempt adds to the requests of the service.
TEST_CASE("a request that is sent again after a failed connection counts once for a roll-out")
{
    FlowFixture fixture;
    FakeSource source;
    PlainDecoder decoder;
    RolloutControl rollouts({fixture.context,
                             fixture.context,
                             fixture.clock,
                             fixture.random,
                             fixture.directory,
                             fixture.board,
                             source,
                             decoder,
                             fixture.metrics,
                             {},
                             {FailureDomainId("a")},
                             [] {
                                 return false;
                             }});
    auto state = std::make_shared<catalog::FleetState>(*fixture.state.read());
    const catalog::ServiceName service("service");
    state->rolloutOrders[service] = {service, catalog::ServiceVersion("v2"), 10s, fixture.clock.now()};
    rollouts.onState(state);
    fixture.flow.rollouts = &rollouts;
    fixture.sendRequest("/write/x");
    fixture.end(0, AttemptEnd::NotConnected);
    fixture.end(1, AttemptEnd::Answered, {200, {}, {}});
    CHECK(rollouts.describe().find("\"requestsOfHost\":1,") != std::string::npos);
}

TEST_CASE("a request reaches the only available server of a service whose other servers refuse connections")
{
    FlowFixture fixture(9);
    const auto caller = fixture.sendRequest("/write/x");
    for (std::size_t i = 0; i < 8; ++i) {
        fixture.end(i, AttemptEnd::NotConnected);
    }
    REQUIRE(fixture.backend.sent.size() == 9);
    fixture.end(8, AttemptEnd::Answered, {200, {}, {}});
    CHECK(caller->response->status == 200);
}

TEST_CASE("an idempotent request runs on no more servers than its route allows")
{
    FlowFixture fixture;
    const auto caller = fixture.sendRequest("/read/x");
    fixture.end(0, AttemptEnd::Broken);
    fixture.end(1, AttemptEnd::Broken);
    CHECK(fixture.backend.sent.size() == 2);
    CHECK(caller->response->status == 502);
}

TEST_CASE("an error response of a server is returned to the caller if no other attempt succeeds")
{
    FlowFixture fixture;
    const auto caller = fixture.sendRequest("/read/x");
    fixture.end(0, AttemptEnd::Answered, {500, {}, "first"});
    fixture.end(1, AttemptEnd::Broken);
    CHECK(caller->response->status == 500);
    CHECK(caller->response->body == "first");
}

TEST_CASE("a slow idempotent request is hedged, and the first response is used")
{
    FlowFixture fixture;
    const auto caller = fixture.sendRequest("/read/x");
    fixture.advanceTime(700ms);
    REQUIRE(fixture.backend.sent.size() == 2);
    fixture.end(1, AttemptEnd::Answered, {200, {}, "second"});
    CHECK(caller->response->body == "second");
    CHECK(fixture.backend.sent[0]->isCancelled);
}

TEST_CASE("a slow request that is not idempotent is not sent to a second server")
{
    FlowFixture fixture;
    const auto caller = fixture.sendRequest("/write/x");
    fixture.advanceTime(1000ms);
    CHECK(fixture.backend.sent.size() == 1);
    fixture.end(0, AttemptEnd::Answered, {200, {}, {}});
    CHECK(caller->response->status == 200);
}

TEST_CASE("a request past its deadline is refused and its attempt is cancelled")
{
    FlowFixture fixture;
    const auto caller = fixture.sendRequest("/write/x", "300");
    fixture.advanceTime(300ms);
    REQUIRE(caller->response);
    // It may have run.
    CHECK(caller->response->status == 502);
    CHECK(reasonOf(*caller) == "deadline_passed");
    CHECK(fixture.backend.sent[0]->isCancelled);
}

TEST_CASE("the attempt of a caller that disconnects is cancelled")
{
    FlowFixture fixture;
    const auto caller = fixture.sendRequest("/read/x");
    caller->disconnect();
    CHECK(fixture.backend.sent[0]->isCancelled);
    CHECK_FALSE(caller->response);
    CHECK(fixture.board.state(fixture.backend.sent[0]->call.server).ownOutstanding == 0);
}

TEST_CASE("without a configuration a request is refused as not run")
{
    FlowFixture fixture;
    fixture.state.publish(std::make_shared<catalog::FleetState>());
    const auto caller = fixture.sendRequest("/read/x");
    CHECK(caller->response->status == 503);
    CHECK(reasonOf(*caller) == "no_configuration");
}

TEST_CASE("an unknown key and an unknown route are refused before anything is sent")
{
    FlowFixture fixture;
    CHECK(reasonOf(*fixture.sendRequest("/read/x", "2000", "other")) == "unknown_key");
    CHECK(reasonOf(*fixture.sendRequest("/elsewhere", "2000")) == "no_route");
    CHECK(fixture.backend.sent.empty());
}

TEST_CASE("requests without a free slot are queued, the more urgent first")
{
    FlowFixture fixture(1);
    std::vector<std::shared_ptr<FakeResponder>> busy;
    while (true) {
        const auto before = fixture.backend.sent.size();
        busy.push_back(fixture.sendRequest("/write/x"));
        if (fixture.backend.sent.size() == before) {
            break;
        }
    }
    const auto full = fixture.backend.sent.size();
    CHECK_FALSE(busy.back()->response);
    const auto lessUrgent = fixture.sendRequest("/read/x");
    const auto moreUrgent = fixture.sendRequest("/write/x");
    fixture.end(0, AttemptEnd::Answered, {200, {}, {}});
    REQUIRE(fixture.backend.sent.size() == full + 1);
    CHECK(fixture.backend.sent.back()->call.message.target == "/write/x");
    fixture.end(1, AttemptEnd::Answered, {200, {}, {}});
    REQUIRE(fixture.backend.sent.size() == full + 2);
    CHECK(fixture.backend.sent.back()->call.message.target == "/write/x");
}

TEST_CASE("requests that cannot start in time are refused at once as not run")
{
    FlowFixture fixture(1);
    int refused = 0;
    for (int i = 0; i < 40; ++i) {
        const auto caller = fixture.sendRequest("/write/x");
        if (caller->response) {
            CHECK(caller->response->status == 503);
            CHECK(reasonOf(*caller) == "saturated");
            ++refused;
        }
    }
    CHECK(refused > 20);
}

// Callers that were refused at the same time would otherwise return at the same time.
TEST_CASE("refused callers are told different times to return, none beyond a third of the time that they have")
{
    FlowFixture fixture(1);
    std::set<int> delays;
    for (int i = 0; i < 60; ++i) {
        if (const auto caller = fixture.sendRequest("/quick/x"); caller->response) {
            CHECK(caller->response->status == 503);
            const auto delay = findHeader(caller->response->headers, "Return-After");
            REQUIRE_FALSE(delay.empty());
            delays.insert(std::stoi(std::string(delay)));
        }
    }
    REQUIRE_FALSE(delays.empty());
    CHECK(delays.size() > 20);
    CHECK(*delays.begin() >= 100);
    CHECK(*delays.rbegin() <= 1980 / 3);
}

// Guards against callers that are told to return when their time is nearly over.
TEST_CASE("callers above their rate are told to return within a third of the time that they have")
{
    FlowFixture fixture(10, RequestRate(1));
    fixture.quota.configure(*fixture.state.read()->catalog, fixture.clock.now());
    fixture.quota.setRateShare(1, 1);
    fixture.clock.advance(10s);
    int refused = 0;
    for (int i = 0; i < 10; ++i) {
        const auto caller = fixture.sendRequest("/quick/x");
        if (caller->response && reasonOf(*caller) == refusalReasonName(RefusalReason::OverQuota)) {
            ++refused;
            CHECK(std::stoi(std::string(findHeader(caller->response->headers, "Return-After"))) <= 1980 / 3);
        }
    }
    CHECK(refused > 0);
}

TEST_CASE("a route without a latency objective announces a constant time to return")
{
    FlowFixture fixture(1);
    std::set<std::string> delays;
    for (int i = 0; i < 40; ++i) {
        if (const auto caller = fixture.sendRequest("/write/x"); caller->response) {
            delays.emplace(findHeader(caller->response->headers, "Return-After"));
        }
    }
    CHECK(delays == std::set<std::string>{"300"});
}

// A request that has just come would otherwise take each slot that becomes free from those that wait.
TEST_CASE("a new request does not pass an equal one that waits")
{
    FlowFixture fixture(1);
    std::size_t before = 0;
    do {
        before = fixture.backend.sent.size();
        fixture.sendRequest("/quick/first");
    } while (fixture.backend.sent.size() > before);
    // Frees a slot without the dispatch that follows each response.
    const auto server = fixture.backend.sent.front()->call.server;
    fixture.board.onFinished(server);
    fixture.sendRequest("/quick/second");
    CHECK(fixture.backend.sent.size() == before);
    fixture.flow.dispatchQueue.dispatch(fixture.clock.now());
    REQUIRE(fixture.backend.sent.size() == before + 1);
    CHECK(fixture.backend.sent.back()->call.message.target == "/quick/first");
}

TEST_CASE("the time that servers take is measured by route")
{
    FlowFixture fixture;
    for (std::size_t i = 0; i < 20; ++i) {
        fixture.sendRequest("/write/x");
        fixture.clock.advance(100ms);
        fixture.end(i, AttemptEnd::Answered, {200, {}, {}});
    }
    const catalog::ServiceName service("service");
    CHECK(fixture.flow.serviceTimes.expected(RouteName("/write/"), service, fixture.clock.now()) < 130ms);
    CHECK(fixture.flow.serviceTimes.expected(RouteName("/read/"), service, fixture.clock.now()) == balance::DefaultServiceTime);
}

TEST_CASE("a queued request is removed when its caller disconnects")
{
    FlowFixture fixture(1);
    std::shared_ptr<FakeResponder> last;
    std::size_t before = 0;
    do {
        before = fixture.backend.sent.size();
        last = fixture.sendRequest("/write/x");
    } while (fixture.backend.sent.size() > before);
    last->disconnect();
    CHECK(fixture.flow.dispatchQueue.isEmpty());
    CHECK(fixture.flow.dispatchQueue.isEmpty());
}

// Guards against forwarding a message that exceeds the limits of the configuration.
TEST_CASE("a request that is larger than the configuration allows is refused")
{
    FlowFixture fixture;
    auto state = std::make_shared<catalog::FleetState>(*fixture.state.read());
    catalog::CatalogParts parts;
    parts.routes = {FlowFixture::route("/write/", catalog::RetrySemantics::AtMostOnce, 1)};
    parts.limits.maxBody = ByteCount(10);
    parts.limits.maxHeader = ByteCount(200);
    state->catalog = std::make_shared<catalog::Catalog>(std::move(parts));
    fixture.state.publish(state);
    const auto send = [&fixture](const std::string &body, const std::string &header) {
        http::HttpRequest request{"POST", "/write/x", {{"Host", "host"}, {"Id", "r"}, {"Filler", header}}, body};
        auto responder = std::make_shared<FakeResponder>();
        std::make_shared<RequestFlow>(fixture.flow, responder)->start(std::move(request));
        return reasonOf(*responder);
    };
    CHECK(send("eleven byte", "") == "body_too_large");
    CHECK(send("", std::string(200, 'x')) == "header_too_large");
    CHECK(send("ten bytes!", "") == "unknown_key");
    CHECK(fixture.backend.sent.empty());
}

// One organisation exceeds its rate by far while most servers of a service have just been replaced; the few
// proven servers have enough slots for the requests that are admitted.
TEST_CASE("while an organisation exceeds its rate, unused servers receive requests that cannot be retried")
{
    static constexpr int Servers = 10;
    FlowFixture fixture(Servers, RequestRate(1));
    fixture.quota.configure(*fixture.state.read()->catalog, fixture.clock.now());
    fixture.quota.setRateShare(1, 1);
    fixture.clock.advance(10s);
    for (int i = 0; i < 3; ++i) {
        const BackendServerId proven("s" + std::to_string(i));
        for (int success = 0; success < 3; ++success) {
            fixture.board.observe(proven, balance::Evidence::Success, fixture.clock.now());
        }
    }
    std::set<std::string> used;
    int refused = 0;
    // 4 s at 12 requests a second for each of the two organisations; the first 2 s show that requests are refused.
    for (int i = 0; i < 48; ++i) {
        for (const auto *const key : {"key", "calm key"}) {
            const auto sentBefore = fixture.backend.sent.size();
            fixture.sendRequest("/write/", "2000", key);
            if (fixture.backend.sent.size() == sentBefore) {
                ++refused;
                continue;
            }
            if (i >= 24) {
                used.insert(fixture.backend.sent.back()->call.server.text());
            }
            fixture.end(sentBefore, AttemptEnd::Answered, {200, {}, {}});
        }
        fixture.clock.advance(83ms);
    }
    REQUIRE(refused > 24);
    CHECK(used.size() >= 7);
}

TEST_CASE("a request that may outlast the process is passed on during a planned stop")
{
    FlowFixture fixture;
    fixture.flow.endsAt = fixture.clock.now() + 1500ms;
    const auto write = fixture.sendRequest("/write/1");
    REQUIRE(write->response);
    CHECK(write->response->status == 503);
    CHECK(reasonOf(*write) == "stopping");
    CHECK(fixture.backend.sent.empty());
    // The caller's own limit lets it end in time.
    CHECK_FALSE(fixture.sendRequest("/write/2", "1000")->response);
    CHECK_FALSE(fixture.sendRequest("/read/1")->response);
    CHECK(fixture.backend.sent.size() == 2);
    fixture.flow.endsAt = fixture.clock.now() + 500ms;
    CHECK(reasonOf(*fixture.sendRequest("/read/2")) == "stopping");
    CHECK(fixture.backend.sent.size() == 2);
}

TEST_CASE("a request that is in progress when the process ends gets no response")
{
    FlowFixture fixture(1);
    const auto running = fixture.sendRequest("/write/1");
    REQUIRE(fixture.backend.sent.size() == 1);
    fixture.flow.endsAt = fixture.clock.now() + 600ms;
    for (auto *const open : *fixture.flow.flows) {
        open->onStopPlanned();
    }
    CHECK_FALSE(running->response);
    fixture.advanceTime(500ms);
    REQUIRE(running->response);
    CHECK(running->response->status == 502);
    CHECK(reasonOf(*running) == "deadline_passed");
    CHECK(fixture.backend.sent[0]->isCancelled);
}

// Each of these answers costs a part of the retry budget at the service that has the address now.
TEST_CASE("a server that answers for another one gets a request of each caller")
{
    FlowFixture fixture(2);
    fixture.sendRequest("/write/");
    REQUIRE(fixture.backend.sent.size() == 1);
    const auto wrong = fixture.backend.sent[0]->call.server;
    fixture.end(0, AttemptEnd::Answered, {421, {{"Wrong-Server", "1"}}, {}});
    REQUIRE(fixture.backend.sent.size() == 2);
    fixture.end(1, AttemptEnd::Answered, {200, {}, {}});
    for (std::size_t i = 0; i < 3; ++i) {
        // Retryable requests prefer servers that were not used for a while.
        fixture.clock.advance(1200ms);
        fixture.sendRequest("/read/");
        REQUIRE(fixture.backend.sent.size() == 3 + i);
        CHECK(fixture.backend.sent.back()->call.server != wrong);
        fixture.end(2 + i, AttemptEnd::Answered, {200, {}, {}});
    }
}
