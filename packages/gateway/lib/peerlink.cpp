#include "peerlink.h"

#include "thriftcodec.h"

#include <rhubarbtiller/http/endpoints.h>
#include <rhubarbtiller/telemetry/log.h>

namespace rhubarbtiller::gateway {

using std::chrono::milliseconds;

/// Short enough to detect the failure of an entry host within a second.
static constexpr milliseconds EntryHeartbeatInterval{250};

/// Standby hosts have to be known only before they are needed.
static constexpr milliseconds MinStandbyHeartbeatInterval{1500};

/// Hosts of one failure domain for each second of their beat interval, which bounds the datagrams that one host receives.
static constexpr std::size_t StandbyHeartbeatsPerSecond = 20;

/// How often evidence, loads and admissions go out.
static constexpr milliseconds ReportInterval{150};

/// Interval of discovery for failure domains with too few live hosts.
static constexpr milliseconds DiscoveryInterval{500};

/// Urgent reports keep this distance, so that a burst of failures makes few datagrams.
static constexpr milliseconds MinUrgentReportInterval{5};

static constexpr milliseconds TickInterval{50};

/// Hosts that are asked in each search of a failure domain.
static constexpr std::size_t DiscoveryFanout = 2;

/// A host counts as serving for this long after a request.
static constexpr Duration ServingTimeout = std::chrono::seconds(3);

/// A host that the store has not answered for this long, and that receives no heartbeats, counts as isolated.
static constexpr Duration IsolationTimeout = std::chrono::milliseconds(2500);

/// Time for callers to fail over from an isolated host to its replacement.
static constexpr Duration FailoverTime = std::chrono::seconds(2);

/// The part of the fleet's retry slack that the entry hosts share; the rest is for standby hosts.
static constexpr double EntryHostSlackShare = 0.75;

/// How often an entry host names those of the other failure domains to its own.
static constexpr Duration AnnouncementInterval = std::chrono::seconds(1);

/// Of so many beats to another failure domain, one names the addresses of this host.
static constexpr unsigned HeartbeatsPerAddress = 4;

/// Hosts that one datagram mentions.
static constexpr std::size_t MaxAnnouncedHosts = 8;

balance::HostRecord toHostRecord(const wire::HostBeat &beat)
{
    balance::HostRecord record;
    record.id = HostId(beat.host);
    record.failureDomain = FailureDomainId(beat.failureDomain);
    record.callerAddress = Endpoint(beat.callerAddress);
    record.peerAddress = Endpoint(beat.peerAddress);
    record.controlAddress = Endpoint(beat.controlAddress);
    record.incarnation = Incarnation(static_cast<std::uint64_t>(beat.incarnation));
    record.milliCores = static_cast<std::uint32_t>(std::max(0, beat.milliCores));
    record.isLeaving = beat.isLeaving;
    record.isServing = beat.isServing;
    record.isEntry = beat.isEntry;
    record.beatInterval = milliseconds(beat.beatIntervalMs);
    return record;
}

wire::HostBeat toHeartbeat(const balance::HostRecord &record)
{
    wire::HostBeat beat;
    beat.host = record.id.text();
    beat.failureDomain = record.failureDomain.text();
    beat.callerAddress = record.callerAddress.text();
    beat.peerAddress = record.peerAddress.text();
    beat.controlAddress = record.controlAddress.text();
    beat.incarnation = static_cast<std::int64_t>(record.incarnation.count());
    beat.milliCores = static_cast<std::int32_t>(record.milliCores);
    beat.isLeaving = record.isLeaving;
    beat.isServing = record.isServing;
    beat.isEntry = record.isEntry;
    beat.beatIntervalMs = static_cast<std::int32_t>(std::chrono::duration_cast<milliseconds>(record.beatInterval).count());
    beat.storeContactAgeMs = -1;
    return beat;
}

static std::optional<asio::ip::udp::endpoint> parseUdp(const Endpoint &endpoint)
{
    const auto address = http::parseEndpoint(endpoint);
    return address ? std::optional(asio::ip::udp::endpoint(address->address(), address->port())) : std::nullopt;
}

PeerLink::PeerLink(Parts linkParts)
    : parts(std::move(linkParts))
    , reports(parts.board, parts.quota, parts.directory.own().failureDomain)
    , socket(parts.context)
    , timer(parts.context)
{
}

std::error_code PeerLink::start()
{
    const auto address = parseUdp(this->parts.directory.own().peerAddress);
    if (!address) {
        return std::make_error_code(std::errc::invalid_argument);
    }
    std::error_code error;
    this->socket.open(address->protocol(), error);
    if (!error) {
        this->socket.bind(*address, error);
    }
    if (!error) {
        // A full send buffer must not hold up requests.
        this->socket.non_blocking(true, error);
    }
    if (error) {
        return error;
    }
    this->receive();
    this->tick();
    return {};
}

void PeerLink::receive()
{
    this->socket.async_receive_from(asio::buffer(this->incoming), this->sender, [this](std::error_code error, std::size_t size) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        // Other errors report that an earlier datagram was not delivered.
        if (!error) {
            this->onDatagram(std::string_view(this->incoming.data(), size), this->sender);
        }
        this->receive();
    });
}

void PeerLink::onDatagram(std::string_view bytes, const asio::ip::udp::endpoint &from)
{
    const auto datagram = decodeThrift<wire::Datagram>(bytes);
    if (!datagram || !hasSender(*datagram)) {
        telemetry::logEvent(telemetry::LogLevel::Warning,
                            "datagram_malformed",
                            {{"from", from.address().to_string()}, {"bytes", static_cast<std::uint64_t>(bytes.size())}});
        return;
    }
    const auto now = this->parts.clock.now();
    this->reports.onAdmissions(*datagram, now);
    const auto senderBeat = this->senderHeartbeat(*datagram);
    if (!senderBeat) {
        // The next beat with addresses makes the sender known.
        return;
    }
    const auto record = toHostRecord(*senderBeat);
    const auto *const before = this->parts.directory.findHeard(record.id, record.incarnation);
    const bool isNewEntryHost = record.isEntry && (before == nullptr || !before->isEntry);
    this->parts.directory.onBeat(record, now);
    bool isNews = false;
    for (const auto &mentioned : datagram->mentioned) {
        isNews = this->parts.directory.onMentioned(toHostRecord(mentioned), now) || isNews;
    }
    // Until all entry hosts hear each other, groups of them share each rate by themselves.
    if (isNewEntryHost && this->isEntryHost) {
        this->nextAnnouncementAt = now;
    }
    if ((isNewEntryHost || isNews) && this->isServing) {
        this->nextHeartbeatAt = now;
        // A host that is named by others may have forgotten the addresses of this one.
        this->heartbeatCount = 0;
    }
    if (datagram->__isset.evidence || datagram->__isset.loads) {
        std::vector<balance::EvidenceReport> evidence;
        for (const auto &entry : datagram->evidence) {
            evidence.push_back({BackendServerId(entry.server), static_cast<balance::Evidence>(entry.evidence)});
        }
        std::vector<balance::OutstandingReport> loads;
        for (const auto &entry : datagram->loads) {
            loads.push_back({BackendServerId(entry.server), static_cast<std::uint32_t>(std::max(0, entry.outstanding))});
        }
        this->parts.board.onRemote(record.id, evidence, loads, now);
        this->reports.onLoads(record.failureDomain, loads, now);
    }
    this->reports.onWindowUses(*datagram, record, now);
    PeerReplicaStatus standing;
    standing.host = record.id;
    standing.failureDomain = record.failureDomain;
    standing.controlAddress = record.controlAddress;
    standing.configurationVersion = static_cast<std::uint64_t>(senderBeat->configurationVersion);
    standing.serversVersion = static_cast<std::uint64_t>(senderBeat->serversVersion);
    if (senderBeat->storeContactAgeMs >= 0) {
        standing.storeContactAge = milliseconds(senderBeat->storeContactAgeMs);
    }
    this->parts.onPeerStatus(standing);
    if (datagram->wantsMentions) {
        this->sendAnnouncements(record.peerAddress, now);
    }
    if (datagram->wantsWindowUses && this->isServing) {
        this->sendWindowUses(record.peerAddress, now);
    }
}

/// Returns the sender's beat; that of a brief is completed from an earlier heartbeat of the sender.
std::optional<wire::HostBeat> PeerLink::senderHeartbeat(const wire::Datagram &datagram) const
{
    if (datagram.__isset.sender) {
        return datagram.sender;
    }
    const auto &brief = datagram.brief;
    const auto *const known
        = this->parts.directory.findHeard(HostId(brief.host), Incarnation(static_cast<std::uint64_t>(brief.incarnation)));
    if (!datagram.__isset.brief || known == nullptr) {
        return std::nullopt;
    }
    auto beat = toHeartbeat(*known);
    beat.isLeaving = brief.isLeaving;
    beat.isServing = brief.isServing;
    beat.isEntry = brief.isEntry;
    beat.beatIntervalMs = brief.beatIntervalMs;
    beat.configurationVersion = brief.configurationVersion;
    beat.serversVersion = brief.serversVersion;
    beat.storeContactAgeMs = brief.storeContactAgeMs;
    return beat;
}

void PeerLink::tick()
{
    const auto now = this->parts.clock.now();
    this->updateRole(now);
    if (now >= this->nextHeartbeatAt) {
        this->sendHeartbeats(now);
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
    directory.updateClaim(now);
    const bool isEntry = directory.isEntryHost();
    if (isEntry != this->isEntryHost) {
        this->isEntryHost = isEntry;
        telemetry::logEvent(
            telemetry::LogLevel::Info,
            isEntry ? "became_entry_host" : "became_standby",
            {{"rank", static_cast<std::uint64_t>(directory.ownRank(now))},
             {"living_in_domain", static_cast<std::uint64_t>(directory.livingHosts(directory.own().failureDomain, now).size())}});
        this->nextHeartbeatAt = now;
    }
    const bool serves = isEntry || now - this->parts.lastAdmittedAt() < ServingTimeout;
    if (std::exchange(this->isServing, serves) != serves) {
        this->nextHeartbeatAt = now;
        this->parts.quota.assumeUnknown(now);
    }
    this->logEntryHosts(now);
    this->parts.sync.setRank(directory.ownRank(now));
    const auto expected = static_cast<double>(directory.entryHostsPerDomain() * this->parts.failureDomains.size());
    const auto living = directory.livingHosts(directory.own().failureDomain, now).size();
    if (serves) {
        const auto heard = static_cast<double>(directory.allEntryHosts(now).size());
        const auto peers = directory.servingPeers(now).size();
        const bool isAlone = peers == 0 && directory.knownHosts(now).size() > 1;
        this->isolatedSince = isAlone ? std::min(this->isolatedSince, now) : MonotonicTime::max();
        // The others replace a host that is cut off from them, and its callers go there.
        const double alonePart
            = isAlone && now - this->isolatedSince >= FailoverTime ? 0.5 / static_cast<double>(directory.knownHosts(now).size()) : 1;
        this->parts.quota.setHeard(std::min({1.0, heard / expected, alonePart}), peers + 1);
        this->parts.retries.setSlackShare(EntryHostSlackShare / expected);
        return;
    }
    // A host without recent requests receives no reports.
    this->parts.quota.setHeard(0.5 / expected, 1);
    this->parts.retries.setSlackShare((1 - EntryHostSlackShare)
                                      / static_cast<double>(std::max<std::size_t>(1, living) * this->parts.failureDomains.size()));
}

/// Writes a line when an entry host is lost or found; standby hosts receive heartbeats only of their own domain.
void PeerLink::logEntryHosts(MonotonicTime now)
{
    std::string heard;
    for (const auto *const host : this->parts.directory.allEntryHosts(now)) {
        heard += (heard.empty() ? "" : ",") + host->id.text();
    }
    if (this->isServing && heard != this->loggedEntryHosts) {
        telemetry::logEvent(telemetry::LogLevel::Info, "entry_hosts_changed", {{"before", this->loggedEntryHosts}, {"now", heard}});
        this->loggedEntryHosts = heard;
    }
}

wire::HostBeat PeerLink::ownHeartbeat() const
{
    auto beat = toHeartbeat(this->parts.directory.own());
    const auto standing = this->parts.sync.replicaStatus();
    beat.configurationVersion = static_cast<std::int64_t>(standing.configurationVersion);
    beat.serversVersion = static_cast<std::int64_t>(standing.serversVersion);
    if (standing.storeContactAge) {
        beat.storeContactAgeMs = static_cast<std::int32_t>(std::chrono::duration_cast<milliseconds>(*standing.storeContactAge).count());
    }
    auto interval = EntryHeartbeatInterval;
    beat.isServing = this->isServing;
    beat.isEntry = this->isEntryHost;
    if (!this->isServing && !beat.isLeaving) {
        const auto now = this->parts.clock.now();
        const auto count = this->parts.directory.livingHosts(this->parts.directory.own().failureDomain, now).size();
        interval = std::max(MinStandbyHeartbeatInterval, milliseconds(1000 * count / StandbyHeartbeatsPerSecond));
    }
    beat.beatIntervalMs = static_cast<std::int32_t>(interval.count());
    return beat;
}

wire::HostBrief PeerLink::ownBrief() const
{
    const auto beat = this->ownHeartbeat();
    wire::HostBrief brief;
    brief.host = beat.host;
    brief.incarnation = beat.incarnation;
    brief.isLeaving = beat.isLeaving;
    brief.isServing = beat.isServing;
    brief.isEntry = beat.isEntry;
    brief.beatIntervalMs = beat.beatIntervalMs;
    brief.configurationVersion = beat.configurationVersion;
    brief.serversVersion = beat.serversVersion;
    brief.storeContactAgeMs = beat.storeContactAgeMs;
    return brief;
}

void PeerLink::sendHeartbeats(MonotonicTime now)
{
    wire::Datagram datagram;
    datagram.__set_sender(this->ownHeartbeat());
    const milliseconds interval(datagram.sender.beatIntervalMs);
    this->nextHeartbeatAt = now + interval;
    const auto &own = this->parts.directory.own();
    if (this->isEntryHost && now >= this->nextAnnouncementAt) {
        this->nextAnnouncementAt = now + AnnouncementInterval;
        this->addAnnouncements(datagram, now);
    }
    for (const auto *const host : this->parts.directory.knownHosts(now)) {
        if (host->failureDomain == own.failureDomain) {
            this->send(datagram, host->peerAddress);
        }
    }
    if (!this->isServing && !own.isLeaving) {
        return;
    }
    // Bytes between failure domains are paid for; a host that was not heard may not know the addresses yet.
    const bool namesAddresses = datagram.__isset.mentioned || this->heartbeatCount++ % HeartbeatsPerAddress == 0;
    auto brief = datagram;
    brief.__isset.sender = false;
    brief.__set_brief(this->ownBrief());
    for (const auto *const host : this->parts.directory.servingPeers(now)) {
        if (host->failureDomain != own.failureDomain) {
            const bool isHeard = this->parts.directory.findHeard(host->id, host->incarnation) != nullptr;
            this->send(namesAddresses || !isHeard ? datagram : brief, host->peerAddress);
        }
    }
}

bool PeerLink::isIsolated() const
{
    const auto now = this->parts.clock.now();
    const auto standing = this->parts.sync.replicaStatus();
    const bool hasStore = standing.storeContactAge && *standing.storeContactAge < IsolationTimeout;
    const auto &directory = this->parts.directory;
    const auto known = directory.knownHosts(now);
    return !hasStore && !known.empty() && directory.livingPeers(now) == 0;
}

void PeerLink::announce()
{
    this->sendHeartbeats(this->parts.clock.now());
}

void PeerLink::sendUrgentReports()
{
    const auto now = this->parts.clock.now();
    if (this->parts.board.hasUrgentEvidence() && now >= this->lastUrgentReportAt + MinUrgentReportInterval) {
        this->lastUrgentReportAt = now;
        this->sendReports(now);
    }
}

void PeerLink::sendReports(MonotonicTime now)
{
    this->nextReportAt = now + ReportInterval;
    this->reports.collect(now);
    std::map<FailureDomainId, std::optional<wire::Datagram>> composed;
    for (const auto *const host : this->parts.directory.servingPeers(now)) {
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
    }
}

/// Asks a host of its own failure domain and any other, so that an incomplete answer of one is compensated by the other.
void PeerLink::requestWindowUses(MonotonicTime now)
{
    auto peers = this->parts.directory.servingPeers(now);
    const auto &own = this->parts.directory.own().failureDomain;
    const auto firstFar = std::partition(peers.begin(), peers.end(), [&own](const balance::HostRecord *host) {
        return host->failureDomain == own;
    });
    wire::Datagram question;
    question.__set_sender(this->ownHeartbeat());
    question.__set_wantsWindowUses(true);
    for (const auto &[first, last] : {std::pair(peers.begin(), firstFar), std::pair(firstFar, peers.end())}) {
        if (first != last) {
            const auto chosen = this->parts.random.below(static_cast<std::uint64_t>(last - first));
            this->send(question, first[static_cast<std::ptrdiff_t>(chosen)]->peerAddress);
        }
    }
}

void PeerLink::sendWindowUses(const Endpoint &target, MonotonicTime now)
{
    for (auto &answer : this->reports.composeWindowUses(now)) {
        answer.__set_sender(this->ownHeartbeat());
        this->send(answer, target);
    }
}

void PeerLink::discoverHosts(MonotonicTime now)
{
    this->nextDiscoveryAt = now + DiscoveryInterval;
    auto &directory = this->parts.directory;
    wire::Datagram question;
    question.__set_sender(this->ownHeartbeat());
    question.__set_wantsMentions(true);
    const auto known = directory.knownHosts(now);
    for (const auto &domain : this->parts.failureDomains) {
        const bool isOwn = domain == directory.own().failureDomain;
        auto living = directory.livingHosts(domain, now);
        if (!isOwn) {
            std::erase_if(living, [](const balance::HostRecord *host) {
                return !host->isEntry;
            });
        }
        const std::size_t enough = isOwn ? 2 : directory.entryHostsPerDomain();
        // Only entry hosts need the other failure domains.
        if (living.size() >= enough || (!isOwn && !this->isEntryHost)) {
            continue;
        }
        std::vector<const balance::HostRecord *> silent;
        for (const auto *const host : known) {
            if (host->failureDomain == domain && std::find(living.begin(), living.end(), host) == living.end()) {
                silent.push_back(host);
            }
        }
        for (std::size_t i = 0; i < DiscoveryFanout && !silent.empty(); ++i) {
            const auto chosen = this->parts.random.below(silent.size());
            this->send(question, silent[chosen]->peerAddress);
            silent.erase(silent.begin() + static_cast<std::ptrdiff_t>(chosen));
        }
        if (isOwn) {
            for (const auto &seed : this->parts.seeds) {
                this->send(question, seed);
            }
        }
    }
}

void PeerLink::sendAnnouncements(const Endpoint &target, MonotonicTime now)
{
    wire::Datagram answer;
    answer.__set_sender(this->ownHeartbeat());
    this->addAnnouncements(answer, now);
    this->send(answer, target);
}

/// Names the entry hosts that this host knows.
void PeerLink::addAnnouncements(wire::Datagram &datagram, MonotonicTime now) const
{
    const auto &directory = this->parts.directory;
    for (const auto *const host : directory.allEntryHosts(now)) {
        if (datagram.mentioned.size() < MaxAnnouncedHosts && host->id != directory.own().id) {
            auto beat = toHeartbeat(*host);
            beat.isEntry = true;
            beat.isServing = true;
            datagram.mentioned.push_back(std::move(beat));
        }
    }
    datagram.__isset.mentioned = !datagram.mentioned.empty();
}

void PeerLink::send(const wire::Datagram &datagram, const Endpoint &target)
{
    const auto address = parseUdp(target);
    if (!address) {
        return;
    }
    std::error_code error;
    this->socket.send_to(asio::buffer(encodeThrift(datagram)), *address, 0, error);
    // Datagrams may be lost anyway; the first failure after a success is worth a line.
    if (error && !std::exchange(this->isSendFailing, true)) {
        telemetry::logEvent(telemetry::LogLevel::Warning, "datagram_not_sent", {{"target", target.text()}, {"error", error.message()}});
    }
    this->isSendFailing = static_cast<bool>(error);
}

} // namespace rhubarbtiller::gateway
