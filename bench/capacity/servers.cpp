#include "fleet.h"
#include "suites.h"

#include <rhubarbtiller/health/outlierdetector.h>
#include <rhubarbtiller/health/serverslots.h>
#include <rhubarbtiller/limits/rateshares.h>
#include <rhubarbtiller/peer/messagededuplicator.h>

#include <memory>

namespace rhubarbtiller::bench {

static constexpr MonotonicTime Start{std::chrono::hours(1)};

/// Carries all shares of every shard for an hour.
class AllShares : public limits::ShareSource
{
public:
    limits::CarriedShares shares(ShardId shard, MonotonicTime now) const override
    {
        (void)shard;
        return {limits::ShareCount, {Start, Start, Start}, now + std::chrono::seconds(3)};
    }
};

static BackendServerId serverName(std::size_t number)
{
    return BackendServerId("server-" + std::to_string(10'000 + number));
}

/// Feeds a minute of samples, as long as the longest window can need.
static void feed(health::OutlierDetector &detector, std::size_t servers, MonotonicTime &now)
{
    for (int second = 0; second < 60; ++second) {
        now += std::chrono::seconds(1);
        for (std::size_t i = 0; i < servers; ++i) {
            health::ServerSample sample;
            sample.server = serverName(i);
            sample.successes.fill(3);
            sample.failures[i % health::EvidenceBuckets] = second % 20 == 0 ? 1 : 0;
            sample.medianLatency = std::chrono::microseconds(25'000 + i);
            detector.observe(sample, now);
        }
    }
}

static double judgeMicros(std::size_t servers)
{
    health::OutlierDetector detector(0.5);
    auto now = Start;
    feed(detector, servers, now);
    return medianMicros(21, [&] {
        (void)detector.judge(now);
    });
}

static double detectorBytes(std::size_t servers)
{
    return bytesHeldBy([servers] {
        auto detector = std::make_unique<health::OutlierDetector>(0.5);
        auto now = Start;
        feed(*detector, servers, now);
        (void)detector->judge(now);
        return detector;
    });
}

static std::unique_ptr<health::ServerSlots> makeSlots(std::size_t servers)
{
    config::Pool pool;
    pool.name = PoolName("service-00007");
    auto slots = std::make_unique<health::ServerSlots>();
    for (std::size_t i = 0; i < servers; ++i) {
        slots->takeOver(serverName(i), pool, Start, Start + std::chrono::hours(1), Start);
    }
    for (std::size_t i = 0; i < servers; ++i) {
        for (int request = 0; request < 20; ++request) {
            const auto now = Start + std::chrono::milliseconds(request * 100);
            slots->acquire(serverName(i),
                           {OrganisationId("organisation-00007"), now + std::chrono::seconds(2)},
                           now,
                           [&](const Result<health::SlotLease> &lease) {
                               if (lease) {
                                   slots->release(*lease,
                                                  health::SlotOutcome::Success,
                                                  std::chrono::milliseconds(25),
                                                  now + std::chrono::milliseconds(25));
                               }
                           });
        }
    }
    return slots;
}

static double slotsAdvanceMicros(std::size_t servers)
{
    const auto slots = makeSlots(servers);
    auto now = Start + std::chrono::seconds(3);
    return medianMicros(51, [&] {
        now += std::chrono::milliseconds(20);
        slots->advance(now);
    });
}

static limits::RateSlice sliceOf(std::size_t number)
{
    return {makeOrganisation(number).id, 0, ShardId(static_cast<std::uint32_t>(number % 6))};
}

static std::unique_ptr<limits::RateShares> makeShares(const limits::ShareSource &source, std::size_t organisations)
{
    auto shares = std::make_unique<limits::RateShares>(source, Start);
    for (std::size_t i = 0; i < organisations; ++i) {
        (void)shares->admit(sliceOf(i), {RequestRate(50), RequestCount(50)}, Start + std::chrono::seconds(10));
    }
    return shares;
}

static double admitMicros(std::size_t organisations)
{
    const AllShares source;
    const auto shares = makeShares(source, organisations);
    std::vector<limits::RateSlice> slices;
    for (std::size_t i = 0; i < organisations; ++i) {
        slices.push_back(sliceOf(i));
    }
    std::size_t next = 0;
    return medianMicrosOfBatch(21, 1000, [&] {
        next = (next + 1) % organisations;
        (void)shares->admit(slices[next], {RequestRate(50), RequestCount(50)}, Start + std::chrono::seconds(11));
    });
}

static RequestId requestName(std::size_t number)
{
    const auto digits = std::to_string(number);
    return RequestId(std::string(32 - digits.size(), '0') + digits);
}

static std::unique_ptr<peer::MessageDeduplicator> makeDeduplicator(std::size_t requests)
{
    auto table = std::make_unique<peer::MessageDeduplicator>(200'000, std::chrono::minutes(2), Start);
    for (std::size_t i = 0; i < requests; ++i) {
        const auto id = requestName(i);
        (void)table->onForward(id, Start);
        table->onFinished(id, Start);
    }
    return table;
}

void measureServers(Report &report)
{
    const std::vector<std::size_t> poolSizes{10, 20, 40, 80};
    report.add("outlierDetector.judge.servers", "server", "us", measureSizes(poolSizes, judgeMicros));
    report.add("outlierDetector.memory.servers", "server", "B", measureSizes(poolSizes, detectorBytes));
    report.add("target.outlierDetector.judge", "pool of 52 servers", "us", {{1, judgeMicros(52)}});

    report.add("serverSlots.memory.servers", "server", "B", measureSizes({15, 30, 60, 120}, [](std::size_t n) {
                   return bytesHeldBy([n] {
                       return makeSlots(n);
                   });
               }));
    report.add("serverSlots.advance.servers", "server", "us", measureSizes({15, 30, 60, 120}, slotsAdvanceMicros));

    const AllShares source;
    report.add("rateShares.memory.organisations", "active organisation", "B", measureSizes({100, 200, 400, 800}, [&source](std::size_t n) {
                   return bytesHeldBy([&source, n] {
                       return makeShares(source, n);
                   });
               }));
    report.add("rateShares.admit.organisations", "active organisation", "us", measureSizes({100, 200, 400, 800}, admitMicros));

    report.add("deduplicator.memory.requests", "request", "B", measureSizes({5000, 10000, 20000, 40000}, [](std::size_t n) {
                   return bytesHeldBy([n] {
                       return makeDeduplicator(n);
                   });
               }));
    report.add("target.deduplicator.memory", "full table of 200,000 requests", "B", {{1, bytesHeldBy([] {
                                                                                          return makeDeduplicator(200'000);
                                                                                      })}});
}

} // namespace rhubarbtiller::bench
