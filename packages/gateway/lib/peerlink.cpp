#include "peerlink.h"

#include "thriftcodec.h"

#include <rhubarbtiller/telemetry/log.h>

#include <algorithm>
#include <cmath>

namespace rhubarbtiller::gateway {

using std::chrono::milliseconds;

/// Short enough to detect the failure of an entry host within a second.
static constexpr milliseconds EntryHeartbeatInterval{250};

/// Standby hosts only need to be discovered before they have to take over.
static constexpr milliseconds MinStandbyHeartbeatInterval{1500};

/// Live hosts of a failure domain per second of the standby heartbeat interval; bounds the datagrams that one host receives.
static constexpr std::size_t StandbyHeartbeatsPerSecond = 20;

/// Interval of reports on evidence, loads and admissions.
static constexpr milliseconds ReportInterval{150};

/// Interval of discovery for failure domains with too few hosts alive.
static constexpr milliseconds DiscoveryInterval{500};

/// Minimum interval of urgent reports, so that a burst of failures causes few datagrams.
static constexpr milliseconds MinUrgentReportInterval{5};

static constexpr milliseconds TickInterval{50};

/// Hosts that receive a discovery request in each round for a failure domain.
static constexpr std::size_t DiscoveryFanout = 2;

/// A host counts as serving for this long after a request.
static constexpr Duration ServingTimeout = std::chrono::seconds(3);

/// A host without a response of the store for this long that also receives no heartbeats counts as isolated.
static constexpr Duration IsolationTimeout = std::chrono::milliseconds(2500);

/// Time for callers to fail over from a host without serving peers to its replacement.
static constexpr Duration FailoverTime = std::chrono::seconds(2);

/// Share of the fleet's retry slack that is divided among the entry hosts; the rest is for standby hosts.
static constexpr double EntryHostSlackShare = 0.75;

/// Interval at which an entry host announces the entry hosts of other failure domains to its own domain.
static constexpr Duration AnnouncementInterval = std::chrono::seconds(1);

/// One of this many heartbeats to another failure domain contains the addresses of this host.
static constexpr unsigned HeartbeatsPerAddress = 4;

/// Maximum number of hosts that one datagram announces.
static constexpr std::size_t MaxAnnouncedHosts = 8;

static constexpr std::int32_t MaxPermille = 1000;

/// An entry host announces at once that its domain's part of the limits has fallen by more than this.
static constexpr double ReachTolerance = 0.05;

balance::HostRecord toHostRecord(const wire::HostBeat &heartbeat)
{
    balance::HostRecord record;
    record.id = HostId(heartbeat.host);
    record.failureDomain = FailureDomainId(heartbeat.failureDomain);
    record.callerAddress = Endpoint(heartbeat.callerAddress);
    record.peerAddress = Endpoint(heartbeat.peerAddress);
    record.controlAddress = Endpoint(heartbeat.controlAddress);
    record.incarnation = Incarnation(static_cast<std::uint64_t>(heartbeat.incarnation));
    record.milliCores = static_cast<std::uint32_t>(std::max(0, heartbeat.milliCores));
    record.isLeaving = heartbeat.isLeaving;
    record.isServing = heartbeat.isServing;
    record.isEntry = heartbeat.isEntry;
    record.heartbeatInterval = milliseconds(heartbeat.beatIntervalMs);
    record.reachPermille = static_cast<std::uint32_t>(std::clamp(heartbeat.reachPermille, 0, MaxPermille));
    record.domainHosts = static_cast<std::uint32_t>(std::max(0, heartbeat.domainHosts));
    return record;
}

wire::HostBeat toHeartbeat(const balance::HostRecord &record)
{
    wire::HostBeat heartbeat;
    heartbeat.host = record.id.text();
    heartbeat.failureDomain = record.failureDomain.text();
    heartbeat.callerAddress = record.callerAddress.text();
    heartbeat.peerAddress = record.peerAddress.text();
    heartbeat.controlAddress = record.controlAddress.text();
    heartbeat.incarnation = static_cast<std::int64_t>(record.incarnation.count());
    heartbeat.milliCores = static_cast<std::int32_t>(record.milliCores);
    heartbeat.isLeaving = record.isLeaving;
    heartbeat.isServing = record.isServing;
    heartbeat.isEntry = record.isEntry;
    heartbeat.beatIntervalMs = static_cast<std::int32_t>(std::chrono::duration_cast<milliseconds>(record.heartbeatInterval).count());
    heartbeat.storeContactAgeMs = -1;
    heartbeat.reachPermille = static_cast<std::int32_t>(record.reachPermille);
    heartbeat.domainHosts = static_cast<std::int32_t>(record.domainHosts);
    return heartbeat;
}

PeerLink::PeerLink(Parts linkParts)
    : parts(std::move(linkParts))
    , reports(parts.board, parts.quota, parts.directory.own().failureDomain)
    , timer(parts.context)
    , urgentReportTimer(parts.context)
{
}

std::error_code PeerLink::start()
{
    const auto error = this->open();
    if (!error) {
        this->tick();
    }
    return error;
}

std::error_code PeerLink::open()
{
    return this->parts.socket.open(this->parts.directory.own().peerAddress, [this](std::string_view bytes, const Endpoint &from) {
        this->onDatagram(bytes, from);
    });
}

void PeerLink::onDatagram(std::string_view bytes, const Endpoint &from)
{
    const auto datagram = decodeThrift<wire::Datagram>(bytes);
    if (!datagram || !hasSender(*datagram)) {
        telemetry::logEvent(telemetry::LogLevel::Warning,
                            "datagram_malformed",
                            {{"from", from.text()}, {"bytes", static_cast<std::uint64_t>(bytes.size())}});
        return;
    }
    const auto now = this->parts.clock.now();
    const bool isBrief = !datagram->__isset.sender;
    const HostId sender(isBrief ? datagram->brief.host : datagram->sender.host);
    const auto incarnation = static_cast<std::uint64_t>(isBrief ? datagram->brief.incarnation : datagram->sender.incarnation);
    if (this->parts.directory.isLost(sender, Incarnation(incarnation), now)) {
        // Neither side knows what the other one admitted meanwhile.
        this->reports.sendFullReports(now);
        this->nextReportAt = now;
    }
    this->reports.onAdmissions(*datagram, now);
    const auto received = this->senderHeartbeat(*datagram);
    if (!received) {
        // The next full heartbeat, which contains addresses, makes the sender known.
        return;
    }
    const auto record = toHostRecord(*received);
    const auto *const before = this->parts.directory.findByHeartbeat(record.id, record.incarnation);
    const bool isNewEntryHost = record.isEntry && (before == nullptr || !before->isEntry);
    if (isNewEntryHost) {
        // A new entry host uses no limit of a domain with losses until it has counted the hosts that it reaches.
        this->nextPresenceAt = now;
    }
    this->parts.directory.onHeartbeat(record, now);
    bool hasNewHosts = false;
    for (const auto &mentioned : datagram->mentioned) {
        hasNewHosts = this->parts.directory.onIndirectAnnouncement(toHostRecord(mentioned), now) || hasNewHosts;
    }
    // Until all entry hosts receive each other's heartbeats, each group of them divides every rate only among its own members.
    if (isNewEntryHost && this->isEntryHost) {
        this->nextAnnouncementAt = now;
    }
    if ((isNewEntryHost || hasNewHosts) && this->isServing) {
        this->nextHeartbeatAt = now;
        // A newly announced host may have discarded the addresses of this one.
        this->heartbeatsSinceReset = 0;
    }
    if (datagram->__isset.evidence || datagram->__isset.loads) {
        std::vector<balance::EvidenceReport> evidence;
        for (const auto &entry : datagram->evidence) {
            if (const auto kind = balance::evidenceFromNumber(entry.evidence)) {
                evidence.push_back({BackendServerId(entry.server), *kind});
            } else if (!std::exchange(this->hasUnknownEvidence, true)) {
                telemetry::logEvent(telemetry::LogLevel::Warning,
                                    "evidence_unknown",
                                    {{"host", record.id.text()}, {"kind", static_cast<std::int64_t>(entry.evidence)}});
            }
        }
        std::vector<balance::OutstandingReport> loads;
        for (const auto &entry : datagram->loads) {
            loads.push_back({BackendServerId(entry.server), static_cast<std::uint32_t>(std::max(0, entry.outstanding))});
        }
        this->parts.board.applyRemoteReport(record.id, evidence, loads, now);
        this->reports.onLoads(record.failureDomain, loads, now);
    }
    if (datagram->__isset.rollouts && this->parts.rollouts != nullptr) {
        this->parts.rollouts->onStates(record.id, record.incarnation, datagram->rollouts);
    }
    this->reports.onWindowUses(*datagram, record, now);
    PeerReplicaStatus status;
    status.host = record.id;
    status.failureDomain = record.failureDomain;
    status.controlAddress = record.controlAddress;
    status.configurationVersion = toStoreVersion(received->configurationEra, received->configurationVersion);
    status.serversVersion = toStoreVersion(received->serversEra, received->serversVersion);
    status.heartbeatInterval = record.heartbeatInterval;
    if (received->storeContactAgeMs >= 0) {
        status.storeContactAge = milliseconds(received->storeContactAgeMs);
    }
    this->parts.onPeerStatus(status);
    if (datagram->wantsMentions) {
        this->sendAnnouncements(record.peerAddress, now);
    }
    if (before == nullptr && record.failureDomain == this->parts.directory.own().failureDomain && this->parts.sync.isInContact()) {
        // A host that has just started takes the tables from a peer in contact with the store.
        wire::Datagram response;
        response.__set_sender(this->ownHeartbeat());
        this->send(response, record.peerAddress);
    }
    if (datagram->wantsWindowUses && this->isServing) {
        this->sendWindowUses(record.peerAddress, now);
    }
}

/// Returns the sender's heartbeat; completes a compact heartbeat from an earlier full one of the sender.
std::optional<wire::HostBeat> PeerLink::senderHeartbeat(const wire::Datagram &datagram) const
{
    if (datagram.__isset.sender) {
        return datagram.sender;
    }
    const auto &brief = datagram.brief;
    const auto *const known
        = this->parts.directory.findByHeartbeat(HostId(brief.host), Incarnation(static_cast<std::uint64_t>(brief.incarnation)));
    if (!datagram.__isset.brief || known == nullptr) {
        return std::nullopt;
    }
    auto heartbeat = toHeartbeat(*known);
    heartbeat.isLeaving = brief.isLeaving;
    heartbeat.isServing = brief.isServing;
    heartbeat.isEntry = brief.isEntry;
    heartbeat.beatIntervalMs = brief.beatIntervalMs;
    heartbeat.configurationVersion = brief.configurationVersion;
    heartbeat.serversVersion = brief.serversVersion;
    heartbeat.configurationEra = brief.configurationEra;
    heartbeat.serversEra = brief.serversEra;
    heartbeat.storeContactAgeMs = brief.storeContactAgeMs;
    heartbeat.reachPermille = brief.reachPermille;
    heartbeat.domainHosts = brief.domainHosts;
    return heartbeat;
}

void PeerLink::update()
{
    const auto now = this->parts.clock.now();
    this->updateRole(now);
    if (now >= this->nextHeartbeatAt) {
        this->sendHeartbeats(now);
    }
    if (now >= this->nextPresenceAt) {
        this->sendPresence(now);
    }
    if (now >= this->nextReportAt || this->parts.quota.hasUrgentReport()) {
        this->sendReports(now);
    }
    if (now >= this->nextDiscoveryAt) {
        this->discoverHosts(now);
    }
    if (this->isServing && this->parts.quota.needsWindowUses(now)) {
        this->requestWindowUses(now);
    }
}

void PeerLink::tick()
{
    this->update();
    this->timer.expires_after(TickInterval);
    this->timer.async_wait([this](std::error_code error) {
        if (!error) {
            this->tick();
        }
    });
}

void PeerLink::updateRole(MonotonicTime now)
{
    auto &directory = this->parts.directory;
    directory.updateEntryRole(now);
    const bool isEntry = directory.isEntryHost();
    if (isEntry != this->isEntryHost) {
        this->isEntryHost = isEntry;
        telemetry::logEvent(
            telemetry::LogLevel::Info,
            isEntry ? "became_entry_host" : "became_standby",
            {{"rank", static_cast<std::uint64_t>(directory.ownRank(now))},
             {"living_in_domain", static_cast<std::uint64_t>(directory.liveHosts(directory.own().failureDomain, now).size())}});
        this->nextHeartbeatAt = now;
    }
    const bool serves = isEntry || now - this->parts.lastAdmittedAt() < ServingTimeout;
    if (std::exchange(this->isServing, serves) != serves) {
        this->nextHeartbeatAt = now;
        this->parts.quota.assumeFullUse(now);
    }
    this->logEntryHosts(now);
    this->parts.sync.setRank(directory.ownRank(now));
    const auto expected = static_cast<double>(directory.entryHostsPerDomain() * this->parts.failureDomains.size());
    const auto alive = directory.liveHosts(directory.own().failureDomain, now).size();
    const double ownReach = directory.ownDomainReach();
    this->parts.quota.setDomainReach(ownReach);
    if (isEntry && ownReach < this->announcedReach - ReachTolerance) {
        this->nextHeartbeatAt = now;
    }
    const double slackShare = isEntry
        ? EntryHostSlackShare / expected
        : (1 - EntryHostSlackShare) / static_cast<double>(std::max<std::size_t>(1, alive) * this->parts.failureDomains.size());
    this->parts.retries.setSlackShare(slackShare * ownReach);
    if (!serves) {
        // A host without recent requests receives no reports.
        this->parts.quota.setRateShare(0.5 / expected * ownReach, 1);
        return;
    }
    const auto peers = directory.servingPeers(now).size();
    const bool hasNoPeers = peers == 0 && directory.knownHosts(now).size() > 1;
    this->noPeersSince = hasNoPeers ? std::min(this->noPeersSince, now) : MonotonicTime::max();
    // The other hosts replace a host without serving peers, and its callers fail over to them.
    const double shareWithoutPeers
        = hasNoPeers && now - this->noPeersSince >= FailoverTime ? 0.5 / static_cast<double>(directory.knownHosts(now).size()) : 1;
    const double share = std::min(this->reachableShare(now), shareWithoutPeers);
    this->parts.quota.setRateShare(share, peers + 1);
    this->logLimitShare(share);
}

/// Returns the part of all limits that the hosts whose admissions this one receives may use; each failure domain has an equal part.
double PeerLink::reachableShare(MonotonicTime now) const
{
    double sum = 0;
    for (const auto &domain : this->parts.failureDomains) {
        sum += this->parts.directory.domainReach(domain, now);
    }
    return sum / static_cast<double>(this->parts.failureDomains.size());
}

void PeerLink::logLimitShare(double share)
{
    const auto permille = static_cast<std::int32_t>(std::lround(share * MaxPermille));
    if (std::exchange(this->loggedSharePermille, permille) != permille) {
        telemetry::logEvent(
            telemetry::LogLevel::Info, "limit_share_changed", {{"share", share}, {"domain_reach", this->parts.directory.ownDomainReach()}});
    }
}

/// Logs changes of the set of entry hosts on serving hosts; other hosts receive heartbeats only of their own domain.
void PeerLink::logEntryHosts(MonotonicTime now)
{
    std::string entryHosts;
    for (const auto *const host : this->parts.directory.allEntryHosts(now)) {
        entryHosts += (entryHosts.empty() ? "" : ",") + host->id.text();
    }
    if (this->isServing && entryHosts != this->loggedEntryHosts) {
        telemetry::logEvent(telemetry::LogLevel::Info, "entry_hosts_changed", {{"before", this->loggedEntryHosts}, {"now", entryHosts}});
        this->loggedEntryHosts = entryHosts;
    }
}

wire::HostBeat PeerLink::ownHeartbeat() const
{
    auto heartbeat = toHeartbeat(this->parts.directory.own());
    const auto status = this->parts.sync.replicaStatus();
    heartbeat.configurationVersion = static_cast<std::int64_t>(status.configurationVersion.number);
    heartbeat.configurationEra = static_cast<std::int64_t>(status.configurationVersion.era.count());
    heartbeat.serversVersion = static_cast<std::int64_t>(status.serversVersion.number);
    heartbeat.serversEra = static_cast<std::int64_t>(status.serversVersion.era.count());
    if (status.storeContactAge) {
        heartbeat.storeContactAgeMs = static_cast<std::int32_t>(std::chrono::duration_cast<milliseconds>(*status.storeContactAge).count());
    }
    auto interval = EntryHeartbeatInterval;
    heartbeat.isServing = this->isServing;
    heartbeat.isEntry = this->isEntryHost;
    // A reader of the store has to be replaced as fast as an entry host.
    if (!this->isServing && !heartbeat.isLeaving && !this->parts.sync.isInContact()) {
        const auto now = this->parts.clock.now();
        const auto count = this->parts.directory.liveHosts(this->parts.directory.own().failureDomain, now).size();
        interval = std::max(MinStandbyHeartbeatInterval, milliseconds(1000 * count / StandbyHeartbeatsPerSecond));
    }
    heartbeat.beatIntervalMs = static_cast<std::int32_t>(interval.count());
    heartbeat.reachPermille = static_cast<std::int32_t>(std::lround(this->parts.directory.ownDomainReach() * MaxPermille));
    heartbeat.domainHosts = static_cast<std::int32_t>(this->parts.directory.countedDomainHosts());
    return heartbeat;
}

wire::HostBrief PeerLink::ownBrief() const
{
    const auto heartbeat = this->ownHeartbeat();
    wire::HostBrief brief;
    brief.host = heartbeat.host;
    brief.incarnation = heartbeat.incarnation;
    brief.isLeaving = heartbeat.isLeaving;
    brief.isServing = heartbeat.isServing;
    brief.isEntry = heartbeat.isEntry;
    brief.beatIntervalMs = heartbeat.beatIntervalMs;
    brief.configurationVersion = heartbeat.configurationVersion;
    brief.serversVersion = heartbeat.serversVersion;
    brief.configurationEra = heartbeat.configurationEra;
    brief.serversEra = heartbeat.serversEra;
    brief.storeContactAgeMs = heartbeat.storeContactAgeMs;
    brief.reachPermille = heartbeat.reachPermille;
    brief.domainHosts = heartbeat.domainHosts;
    return brief;
}

void PeerLink::sendHeartbeats(MonotonicTime now)
{
    wire::Datagram datagram;
    datagram.__set_sender(this->ownHeartbeat());
    this->addRollouts(datagram, false);
    this->announcedReach = this->parts.directory.ownDomainReach();
    this->nextHeartbeatAt = now + milliseconds(datagram.sender.beatIntervalMs);
    const auto &own = this->parts.directory.own();
    if (this->isEntryHost && now >= this->nextAnnouncementAt) {
        this->nextAnnouncementAt = now + AnnouncementInterval;
        this->addAnnouncements(datagram, now);
    }
    // Entry hosts receive heartbeats at the presence interval as well and detect a loss by it.
    auto toEntryHost = datagram;
    const auto presence = std::chrono::duration_cast<milliseconds>(this->parts.directory.presenceInterval());
    toEntryHost.sender.beatIntervalMs = std::min(datagram.sender.beatIntervalMs, static_cast<std::int32_t>(presence.count()));
    for (const auto *const host : this->parts.directory.knownHosts(now)) {
        if (host->failureDomain == own.failureDomain) {
            this->send(host->isEntry ? toEntryHost : datagram, host->peerAddress);
        }
    }
    if (!this->isServing && !own.isLeaving) {
        return;
    }
    // Traffic between failure domains is billed, hence compact heartbeats. A host from which this one received no heartbeat may not
    // know its addresses yet.
    const bool includesAddresses = datagram.__isset.mentioned || this->heartbeatsSinceReset++ % HeartbeatsPerAddress == 0;
    auto brief = datagram;
    brief.__isset.sender = false;
    brief.__set_brief(this->ownBrief());
    for (const auto *const host : this->parts.directory.servingPeers(now)) {
        if (host->failureDomain != own.failureDomain) {
            const bool hasReceivedHeartbeat = this->parts.directory.findByHeartbeat(host->id, host->incarnation) != nullptr;
            this->send(includesAddresses || !hasReceivedHeartbeat ? datagram : brief, host->peerAddress);
        }
    }
}

/// Sends a heartbeat to each entry host of the own failure domain, so that these notice the loss of this host about as fast as it notices
/// theirs.
void PeerLink::sendPresence(MonotonicTime now)
{
    const auto &directory = this->parts.directory;
    const auto interval = directory.presenceInterval();
    this->nextPresenceAt = now + interval;
    wire::Datagram datagram;
    datagram.__set_brief(this->ownBrief());
    // Hosts with frequent heartbeats send them to all hosts of their domain.
    if (milliseconds(datagram.brief.beatIntervalMs) <= interval) {
        return;
    }
    datagram.brief.beatIntervalMs = static_cast<std::int32_t>(std::chrono::duration_cast<milliseconds>(interval).count());
    for (const auto *const host : directory.liveHosts(directory.own().failureDomain, now)) {
        if (host->isEntry && host != &directory.own()) {
            this->send(datagram, host->peerAddress);
        }
    }
}

bool PeerLink::isIsolated() const
{
    const auto now = this->parts.clock.now();
    const auto status = this->parts.sync.replicaStatus();
    const bool hasStore = status.storeContactAge && *status.storeContactAge < IsolationTimeout;
    const auto &directory = this->parts.directory;
    const auto known = directory.knownHosts(now);
    return !hasStore && !known.empty() && directory.livePeerCount(now) == 0;
}

void PeerLink::announce()
{
    this->sendHeartbeats(this->parts.clock.now());
}

void PeerLink::onStatePublished()
{
    if (this->parts.directory.isEntryHost() || this->parts.sync.replicaStatus().isReadingStore) {
        this->announce();
    }
}

void PeerLink::sendUrgentReports()
{
    const auto now = this->parts.clock.now();
    if (!this->parts.board.hasUrgentEvidence()) {
        return;
    }
    const auto dueAt = this->lastUrgentReportAt + MinUrgentReportInterval;
    if (now >= dueAt) {
        this->lastUrgentReportAt = now;
        this->sendReports(now);
        return;
    }
    this->urgentReportTimer.expires_after(dueAt - now);
    this->urgentReportTimer.async_wait([this](std::error_code error) {
        if (!error) {
            this->sendUrgentReports();
        }
    });
}

void PeerLink::sendReports(MonotonicTime now)
{
    this->nextReportAt = now + ReportInterval;
    this->reports.collect(now);
    // A datagram of their own: with many routes in roll-outs, the counts could exceed its size, and admissions must not be lost with them.
    wire::Datagram rollouts;
    this->addRollouts(rollouts, true);
    rollouts.__set_brief(this->ownBrief());
    std::map<FailureDomainId, std::optional<wire::Datagram>> composed;
    for (const auto *const host : this->parts.directory.reportReceivers(now)) {
        auto found = composed.find(host->failureDomain);
        if (found == composed.end()) {
            found = composed.emplace(host->failureDomain, this->reports.compose(host->failureDomain, now)).first;
            if (found->second) {
                found->second->__set_brief(this->ownBrief());
            }
        }
        if (found->second) {
            this->send(*found->second, host->peerAddress);
        }
        if (rollouts.__isset.rollouts) {
            this->send(rollouts, host->peerAddress);
        }
    }
}

void PeerLink::addRollouts(wire::Datagram &datagram, bool hasCells) const
{
    if (this->parts.rollouts == nullptr) {
        return;
    }
    datagram.rollouts = this->parts.rollouts->states(hasCells);
    datagram.__isset.rollouts = !datagram.rollouts.empty();
}

/// Sends requests to one host of its own failure domain and to one of any other, so that each compensates for an incomplete response
/// of the other.
void PeerLink::requestWindowUses(MonotonicTime now)
{
    auto peers = this->parts.directory.servingPeers(now);
    const auto &own = this->parts.directory.own().failureDomain;
    const auto firstInOtherDomain = std::partition(peers.begin(), peers.end(), [&own](const balance::HostRecord *host) {
        return host->failureDomain == own;
    });
    wire::Datagram request;
    request.__set_sender(this->ownHeartbeat());
    request.__set_wantsWindowUses(true);
    for (const auto &[first, last] : {std::pair(peers.begin(), firstInOtherDomain), std::pair(firstInOtherDomain, peers.end())}) {
        if (first != last) {
            const auto chosen = this->parts.random.below(static_cast<std::uint64_t>(last - first));
            this->send(request, first[static_cast<std::ptrdiff_t>(chosen)]->peerAddress);
        }
    }
}

void PeerLink::sendWindowUses(const Endpoint &target, MonotonicTime now)
{
    for (auto &response : this->reports.composeWindowUses(now)) {
        response.__set_sender(this->ownHeartbeat());
        this->send(response, target);
    }
}

void PeerLink::discoverHosts(MonotonicTime now)
{
    this->nextDiscoveryAt = now + DiscoveryInterval;
    auto &directory = this->parts.directory;
    wire::Datagram request;
    request.__set_sender(this->ownHeartbeat());
    request.__set_wantsMentions(true);
    const auto known = directory.knownHosts(now);
    for (const auto &domain : this->parts.failureDomains) {
        const bool isOwn = domain == directory.own().failureDomain;
        auto alive = directory.liveHosts(domain, now);
        if (!isOwn) {
            std::erase_if(alive, [](const balance::HostRecord *host) {
                return !host->isEntry;
            });
        }
        const std::size_t enough = isOwn ? 2 : directory.entryHostsPerDomain();
        // Only entry hosts need hosts of other failure domains.
        if (alive.size() >= enough || (!isOwn && !this->isEntryHost)) {
            continue;
        }
        std::vector<const balance::HostRecord *> candidates;
        for (const auto *const host : known) {
            if (host->failureDomain == domain && std::find(alive.begin(), alive.end(), host) == alive.end()) {
                candidates.push_back(host);
            }
        }
        for (std::size_t i = 0; i < DiscoveryFanout && !candidates.empty(); ++i) {
            const auto chosen = this->parts.random.below(candidates.size());
            this->send(request, candidates[chosen]->peerAddress);
            candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(chosen));
        }
        if (isOwn) {
            for (const auto &seed : this->parts.seeds) {
                this->send(request, seed);
            }
        }
    }
}

void PeerLink::sendAnnouncements(const Endpoint &target, MonotonicTime now)
{
    wire::Datagram response;
    response.__set_sender(this->ownHeartbeat());
    this->addAnnouncements(response, now);
    this->send(response, target);
}

/// Adds announcements of the entry hosts known to this host.
void PeerLink::addAnnouncements(wire::Datagram &datagram, MonotonicTime now) const
{
    const auto &directory = this->parts.directory;
    for (const auto *const host : directory.allEntryHosts(now)) {
        if (datagram.mentioned.size() < MaxAnnouncedHosts && host->id != directory.own().id) {
            auto heartbeat = toHeartbeat(*host);
            heartbeat.isEntry = true;
            heartbeat.isServing = true;
            datagram.mentioned.push_back(std::move(heartbeat));
        }
    }
    datagram.__isset.mentioned = !datagram.mentioned.empty();
}

void PeerLink::send(const wire::Datagram &datagram, const Endpoint &target)
{
    const auto error = this->parts.socket.send(encodeThrift(datagram), target);
    // Datagrams may be lost in any case; only the first failure after a success is logged.
    if (error && !std::exchange(this->isSendFailing, true)) {
        telemetry::logEvent(telemetry::LogLevel::Warning, "datagram_not_sent", {{"target", target.text()}, {"error", error.message()}});
    }
    this->isSendFailing = static_cast<bool>(error);
}

} // namespace rhubarbtiller::gateway
