#include "fleet.h"
#include "suites.h"

#include <rhubarbtiller/blackboard/routingview.h>
#include <rhubarbtiller/config/codec.h>

namespace rhubarbtiller::bench {

static config::Change changeOf(config::Row row)
{
    config::Change change;
    change.version = ConfigVersion(FleetVersion.count() + 1);
    change.id = ChangeId("0123456789abcdef01234567");
    change.author = "host host-00001";
    change.mutations.emplace_back(config::PutRow{std::move(row)});
    return change;
}

static double snapshotBytes(const FleetSize &size)
{
    return bytesHeldBy([&] {
        return makeSnapshot(size);
    });
}

static double viewBytes(const FleetSize &size)
{
    const auto snapshot = makeSnapshot(size);
    return bytesHeldBy([&] {
        return blackboard::buildRoutingView(snapshot, nullptr);
    });
}

static double applyMicros(const FleetSize &size, const config::Row &row)
{
    const auto snapshot = makeSnapshot(size);
    const auto change = changeOf(row);
    return medianMicros(21, [&] {
        snapshot->apply(change);
    });
}

static double placementMicros(const FleetSize &size)
{
    const auto snapshot = makeSnapshot(size);
    return medianMicros(9, [&] {
        membership::Placement::build(*snapshot);
    });
}

static double viewMicros(const FleetSize &size)
{
    const auto snapshot = makeSnapshot(size);
    const auto previous = blackboard::buildRoutingView(snapshot, nullptr);
    return medianMicros(9, [&] {
        blackboard::buildRoutingView(snapshot, previous.get());
    });
}

/// The loop of ServerOwner::onLeasesChanged() that asks for the shard of every server.
static double shardScanMicros(const FleetSize &size)
{
    const auto snapshot = makeSnapshot(size);
    const auto placement = membership::Placement::build(*snapshot);
    std::uint64_t sum = 0;
    const auto micros = medianMicros(9, [&] {
        for (const auto &[name, pool] : snapshot->pools()) {
            for (const auto &server : pool->servers) {
                sum += placement->shardOf(server.id, server.failureDomain).count();
            }
        }
    });
    return sum > 0 ? micros : 0;
}

static void measureMemory(Report &report)
{
    report.add("snapshot.memory.organisations", "organisation", "B", measureSizes({1000, 2000, 4000, 8000}, [](std::size_t n) {
                   return snapshotBytes({.organisations = n});
               }));
    report.add("snapshot.memory.keys", "key", "B", measureSizes({1000, 2000, 4000, 8000}, [](std::size_t n) {
                   return snapshotBytes({.organisations = 1, .keys = n});
               }));
    report.add("snapshot.memory.routes", "route", "B", measureSizes({250, 500, 1000, 2000}, [](std::size_t n) {
                   return snapshotBytes({.routes = n, .pools = 10});
               }));
    report.add("snapshot.memory.pools", "pool", "B", measureSizes({20, 40, 80, 160}, [](std::size_t n) {
                   return snapshotBytes({.pools = n});
               }));
    report.add("snapshot.memory.servers", "server", "B", measureSizes({500, 1000, 2000, 4000}, [](std::size_t n) {
                   return snapshotBytes({.pools = 20, .servers = n});
               }));
    report.add("snapshot.memory.hosts", "host", "B", measureSizes({30, 60, 120, 240}, [](std::size_t n) {
                   return snapshotBytes({.hosts = n});
               }));
    report.add("routingView.memory.pools", "pool", "B", measureSizes({20, 40, 80, 160}, [](std::size_t n) {
                   return viewBytes({.pools = n, .hosts = 30});
               }));
    report.add("routingView.memory.servers", "server", "B", measureSizes({500, 1000, 2000, 4000}, [](std::size_t n) {
                   return viewBytes({.pools = 20, .servers = n, .hosts = 30});
               }));
    report.add("routingView.memory.hosts", "host", "B", measureSizes({30, 60, 120, 240}, [](std::size_t n) {
                   return viewBytes({.hosts = n});
               }));
    report.add("routingView.memory.shards", "shard", "B", measureSizes({64, 128, 256, 512}, [](std::size_t n) {
                   return viewBytes({.hosts = 60, .shards = n});
               }));
}

static void measureTimes(Report &report)
{
    report.add("apply.key.keys", "key", "us", measureSizes({2000, 4000, 8000, 16000}, [](std::size_t n) {
                   return applyMicros({.organisations = n, .keys = n}, makeKey(n, n));
               }));
    report.add("apply.route.routes", "route", "us", measureSizes({250, 500, 1000, 2000}, [](std::size_t n) {
                   return applyMicros({.routes = n, .pools = 10}, makeRoute(n, 10));
               }));
    report.add("apply.host.hosts", "host", "us", measureSizes({60, 120, 240, 480}, [](std::size_t n) {
                   return applyMicros({.hosts = n}, makeHost(n));
               }));
    report.add("placement.build.hosts", "host at 256 shards", "us", measureSizes({30, 60, 120, 240}, [](std::size_t n) {
                   return placementMicros({.hosts = n, .shards = 256});
               }));
    report.add("placement.build.shards", "shard at 60 hosts", "us", measureSizes({64, 128, 256, 512}, [](std::size_t n) {
                   return placementMicros({.hosts = 60, .shards = n});
               }));
    report.add("routingView.build.servers", "server", "us", measureSizes({500, 1000, 2000, 4000}, [](std::size_t n) {
                   return viewMicros({.pools = 20, .servers = n, .hosts = 60, .shards = 128});
               }));
    report.add("serverOwner.shardScan.servers", "server", "us", measureSizes({500, 1000, 2000, 4000}, [](std::size_t n) {
                   return shardScanMicros({.pools = 20, .servers = n, .hosts = 60, .shards = 128});
               }));
    report.add("snapshot.decode.keys", "organisation with key", "us", measureSizes({1000, 2000, 4000}, [](std::size_t n) {
                   const auto text = config::encodeSnapshot(*makeSnapshot({.organisations = n, .keys = n}));
                   return medianMicros(5, [&] {
                       (void)config::decodeSnapshot(text);
                   });
               }));
}

static void measureTarget(Report &report)
{
    const auto single = [](double value) {
        return std::vector<Point>{{1, value}};
    };
    report.add("target.snapshot.memory", "fleet", "B", single(snapshotBytes(TargetSize)));
    report.add("target.routingView.memory", "fleet", "B", single(viewBytes(TargetSize)));
    const auto snapshot = makeSnapshot(TargetSize);
    const auto next = snapshot->apply(changeOf(makeKey(TargetSize.keys, TargetSize.organisations)));
    const auto previous = blackboard::buildRoutingView(snapshot, nullptr);
    report.add("target.version.memory", "second version", "B", single(bytesHeldBy([&] {
                   return blackboard::buildRoutingView(snapshot->apply(changeOf(makeKey(TargetSize.keys, 1))), previous.get());
               })));
    report.add("target.apply.key", "change", "us", single(applyMicros(TargetSize, makeKey(TargetSize.keys, 1))));
    report.add("target.apply.route", "change", "us", single(applyMicros(TargetSize, makeRoute(TargetSize.routes, 140))));
    report.add("target.apply.host", "change", "us", single(applyMicros(TargetSize, makeHost(TargetSize.hosts))));
    report.add("target.placement.build", "build", "us", single(placementMicros(TargetSize)));
    report.add("target.routingView.build", "build", "us", single(viewMicros(TargetSize)));
    report.add("target.serverOwner.shardScan", "scan", "us", single(shardScanMicros(TargetSize)));
    const auto text = config::encodeSnapshot(*snapshot);
    report.add("target.snapshot.encoded", "snapshot", "B", single(static_cast<double>(text.size())));
    report.add("target.snapshot.encode", "snapshot", "us", single(medianMicros(3, [&] {
                   (void)config::encodeSnapshot(*snapshot);
               })));
    report.add("target.snapshot.decode", "snapshot", "us", single(medianMicros(3, [&] {
                   (void)config::decodeSnapshot(text);
               })));
    report.add("target.snapshot.decode.peak", "snapshot", "B", single(peakBytesDuring([&] {
                   (void)config::decodeSnapshot(text);
               })));
    report.add("target.snapshot.encode.peak", "snapshot", "B", single(peakBytesDuring([&] {
                   (void)config::encodeSnapshot(*snapshot);
               })));
}

void measureConfiguration(Report &report)
{
    measureMemory(report);
    measureTimes(report);
    measureTarget(report);
}

} // namespace rhubarbtiller::bench
