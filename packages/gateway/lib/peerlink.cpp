#include "peerlink.h"

#include "thriftcodec.h"

#include <rhubarbtiller/http/endpoints.h>
#include <rhubarbtiller/telemetry/log.h>

namespace rhubarbtiller::gateway {

using std::chrono::milliseconds;

/// Entry hosts are missed within a second when they die.
static constexpr milliseconds EntryBeatInterval{250};

/// Standby hosts only have to be known before they are needed.
static constexpr milliseconds LeastStandbyBeatInterval{1500};

/// Hosts of one failure domain for each second of their beat interval, which bounds the datagrams that one host receives.
static constexpr std::size_t StandbyHostsPerSecond = 20;

/// How often evidence, loads and admissions go out.
static constexpr milliseconds ReportInterval{150};

/// How often hosts of unheard failure domains are looked for.
static constexpr milliseconds SearchInterval{500};

/// Urgent reports keep this distance, so that a burst of failures makes few datagrams.
static constexpr milliseconds UrgentSpacing{5};

static constexpr milliseconds TickInterval{50};

/// Hosts that are asked in each search of a failure domain.
static constexpr std::size_t SearchFanout = 2;

/// A host counts as serving for this long after a request.
static constexpr Duration ServingMemory = std::chrono::seconds(3);

/// A host that the store has not answered for this long, and that hears no other host, is taken to be cut off.
static constexpr Duration CutOffTime = std::chrono::milliseconds(2500);

/// After this time callers have found the hosts that replace one which is cut off.
static constexpr Duration ReplacementTime = std::chrono::seconds(2);

/// The part of the fleet's retry slack that the entry hosts share; the rest is for standby hosts.
static constexpr double EntrySlackPart = 0.75;

/// How often an entry host names those of the other failure domains to its own.
static constexpr Duration MentionInterval = std::chrono::seconds(1);

/// Organisations in one datagram; each takes up to a hundred bytes of the 64 KiB.
static constexpr std::size_t MaxWindowUses = 500;

/// Hosts that one datagram mentions.
static constexpr std::size_t MaxMentioned = 8;

balance::HostRecord recordOf(const wire::HostBeat &beat)
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

wire::HostBeat beatOf(const balance::HostRecord &record)
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

/// Returns a count of the wire, which has no unsigned numbers.
static std::uint64_t unsignedOf(std::int64_t count)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, count));
}

static std::optional<asio::ip::udp::endpoint> parseUdp(const Endpoint &endpoint)
{
    const auto address = http::parseEndpoint(endpoint);
    return address ? std::optional(asio::ip::udp::endpoint(address->address(), address->port())) : std::nullopt;
}

PeerLink::PeerLink(Parts linkParts) : parts(std::move(linkParts)), socket(parts.context), timer(parts.context)
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
    if (!datagram) {
        telemetry::logEvent(telemetry::LogLevel::Warning,
                            "datagram_malformed",
                            {{"from", from.address().to_string()}, {"bytes", static_cast<std::uint64_t>(bytes.size())}});
        return;
    }
    const auto now = this->parts.clock.now();
    const auto record = recordOf(datagram->sender);
    this->parts.directory.onBeat(record, now);
    for (const auto &mentioned : datagram->mentioned) {
        this->parts.directory.onMentioned(recordOf(mentioned), now);
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
    }
    if (datagram->__isset.admissions) {
        std::vector<balance::AdmissionCount> counts;
        for (const auto &entry : datagram->admissions) {
            counts.push_back({OrganisationId(entry.organisation), unsignedOf(entry.admitted), unsignedOf(entry.sinceLastReport)});
        }
        this->parts.quota.onReport(record.id, record.incarnation, counts, now);
    }
    if (datagram->__isset.windowUses) {
        std::vector<balance::WindowUse> uses;
        for (const auto &entry : datagram->windowUses) {
            uses.push_back({OrganisationId(entry.organisation),
                            unsignedOf(entry.admitted),
                            std::max(0.0, entry.assumed),
                            {entry.bySlice.begin(), entry.bySlice.end()}});
        }
        this->parts.quota.onWindowUses(record.id, record.incarnation, uses, datagram->namesAllUses, now);
    }
    PeerStanding standing;
    standing.host = record.id;
    standing.failureDomain = record.failureDomain;
    standing.controlAddress = record.controlAddress;
    standing.configurationVersion = static_cast<std::uint64_t>(datagram->sender.configurationVersion);
    standing.serversVersion = static_cast<std::uint64_t>(datagram->sender.serversVersion);
    if (datagram->sender.storeContactAgeMs >= 0) {
        standing.storeContactAge = milliseconds(datagram->sender.storeContactAgeMs);
    }
    this->parts.onStanding(standing);
    if (datagram->wantsMentions) {
        this->mentionTo(record.peerAddress, now);
    }
    if (datagram->wantsWindowUses && this->isServing) {
        this->answerWindowUses(record.peerAddress, now);
    }
}

void PeerLink::tick()
{
    const auto now = this->parts.clock.now();
    this->updateStanding(now);
    if (now >= this->nextBeatAt) {
        this->beat(now);
    }
    if (now >= this->nextReportAt || this->parts.quota.hasUrgentReport()) {
        this->report(now);
    }
    if (now >= this->nextSearchAt) {
        this->search(now);
    }
    if (this->isServing && this->parts.quota.needsWindowUses(now)) {
        this->askForWindowUses(now);
    }
    this->timer.expires_after(TickInterval);
    this->timer.async_wait([this](std::error_code error) {
        if (!error) {
            this->tick();
        }
    });
}

void PeerLink::updateStanding(MonotonicTime now)
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
        this->nextBeatAt = now;
    }
    const bool serves = isEntry || now - this->parts.lastServedAt() < ServingMemory;
    if (std::exchange(this->isServing, serves) != serves) {
        this->nextBeatAt = now;
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
        this->aloneSince = isAlone ? std::min(this->aloneSince, now) : MonotonicTime::max();
        // The others replace a host that is cut off from them, and its callers go there.
        const double alonePart
            = isAlone && now - this->aloneSince >= ReplacementTime ? 0.5 / static_cast<double>(directory.knownHosts(now).size()) : 1;
        this->parts.quota.setHeard(std::min({1.0, heard / expected, alonePart}), peers + 1);
        this->parts.retries.setSlackShare(EntrySlackPart / expected);
        return;
    }
    // A host that served nobody lately gets no reports until it does.
    this->parts.quota.setHeard(0.5 / expected, 1);
    this->parts.retries.setSlackShare((1 - EntrySlackPart)
                                      / static_cast<double>(std::max<std::size_t>(1, living) * this->parts.failureDomains.size()));
}

/// Writes a line when an entry host is lost or found; standby hosts hear only those of their own domain.
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

wire::HostBeat PeerLink::ownBeat() const
{
    auto beat = beatOf(this->parts.directory.own());
    const auto standing = this->parts.sync.standing();
    beat.configurationVersion = static_cast<std::int64_t>(standing.configurationVersion);
    beat.serversVersion = static_cast<std::int64_t>(standing.serversVersion);
    if (standing.storeContactAge) {
        beat.storeContactAgeMs = static_cast<std::int32_t>(std::chrono::duration_cast<milliseconds>(*standing.storeContactAge).count());
    }
    auto interval = EntryBeatInterval;
    beat.isServing = this->isServing;
    beat.isEntry = this->isEntryHost;
    if (!this->isServing && !beat.isLeaving) {
        const auto now = this->parts.clock.now();
        const auto count = this->parts.directory.livingHosts(this->parts.directory.own().failureDomain, now).size();
        interval = std::max(LeastStandbyBeatInterval, milliseconds(1000 * count / StandbyHostsPerSecond));
    }
    beat.beatIntervalMs = static_cast<std::int32_t>(interval.count());
    return beat;
}

void PeerLink::beat(MonotonicTime now)
{
    wire::Datagram datagram;
    datagram.sender = this->ownBeat();
    const milliseconds interval(datagram.sender.beatIntervalMs);
    this->nextBeatAt = now + interval;
    const auto &own = this->parts.directory.own();
    if (this->isEntryHost && now >= this->nextMentionAt) {
        this->nextMentionAt = now + MentionInterval;
        this->addMentions(datagram, now);
    }
    for (const auto *const host : this->parts.directory.knownHosts(now)) {
        if (host->failureDomain == own.failureDomain) {
            this->send(datagram, host->peerAddress);
        }
    }
    if (!this->isServing && !own.isLeaving) {
        return;
    }
    for (const auto *const host : this->parts.directory.servingPeers(now)) {
        if (host->failureDomain != own.failureDomain) {
            this->send(datagram, host->peerAddress);
        }
    }
}

bool PeerLink::isCutOff() const
{
    const auto now = this->parts.clock.now();
    const auto standing = this->parts.sync.standing();
    const bool hasStore = standing.storeContactAge && *standing.storeContactAge < CutOffTime;
    const auto &directory = this->parts.directory;
    const auto known = directory.knownHosts(now);
    return !hasStore && !known.empty() && directory.livingPeers(now) == 0;
}

void PeerLink::announce()
{
    this->beat(this->parts.clock.now());
}

void PeerLink::onEvidence()
{
    const auto now = this->parts.clock.now();
    if (this->parts.board.hasUrgentEvidence() && now >= this->lastUrgentAt + UrgentSpacing) {
        this->lastUrgentAt = now;
        this->report(now);
    }
}

void PeerLink::report(MonotonicTime now)
{
    this->nextReportAt = now + ReportInterval;
    wire::Datagram datagram;
    for (const auto &report : this->parts.board.takeEvidence()) {
        wire::ServerEvidence entry;
        entry.server = report.server.text();
        entry.evidence = static_cast<std::int8_t>(report.evidence);
        datagram.evidence.push_back(std::move(entry));
    }
    for (const auto &report : this->parts.board.takeOutstanding()) {
        wire::ServerLoad entry;
        entry.server = report.server.text();
        entry.outstanding = static_cast<std::int32_t>(report.requests);
        datagram.loads.push_back(std::move(entry));
    }
    for (const auto &count : this->parts.quota.takeReport()) {
        wire::Admissions entry;
        entry.organisation = count.organisation.text();
        entry.admitted = static_cast<std::int64_t>(count.admitted);
        entry.sinceLastReport = static_cast<std::int64_t>(count.sinceLastReport);
        datagram.admissions.push_back(std::move(entry));
    }
    if (datagram.evidence.empty() && datagram.loads.empty() && datagram.admissions.empty()) {
        return;
    }
    datagram.__isset.evidence = !datagram.evidence.empty();
    datagram.__isset.loads = !datagram.loads.empty();
    datagram.__isset.admissions = !datagram.admissions.empty();
    datagram.sender = this->ownBeat();
    for (const auto *const host : this->parts.directory.servingPeers(now)) {
        this->send(datagram, host->peerAddress);
    }
}

/// Asks a host of its own failure domain and any other, so that the answer of one that knows little is made up for.
void PeerLink::askForWindowUses(MonotonicTime now)
{
    auto peers = this->parts.directory.servingPeers(now);
    const auto &own = this->parts.directory.own().failureDomain;
    const auto firstFar = std::partition(peers.begin(), peers.end(), [&own](const balance::HostRecord *host) {
        return host->failureDomain == own;
    });
    wire::Datagram question;
    question.sender = this->ownBeat();
    question.__set_wantsWindowUses(true);
    for (const auto &[first, last] : {std::pair(peers.begin(), firstFar), std::pair(firstFar, peers.end())}) {
        if (first != last) {
            const auto chosen = this->parts.random.below(static_cast<std::uint64_t>(last - first));
            this->send(question, first[static_cast<std::ptrdiff_t>(chosen)]->peerAddress);
        }
    }
}

void PeerLink::answerWindowUses(const Endpoint &target, MonotonicTime now)
{
    const auto uses = this->parts.quota.windowUses(now);
    if (!uses) {
        return;
    }
    wire::Datagram answer;
    answer.sender = this->ownBeat();
    answer.__isset.windowUses = true;
    answer.__set_namesAllUses(uses->size() <= MaxWindowUses);
    for (const auto &use : *uses) {
        wire::WindowUse entry;
        entry.organisation = use.organisation.text();
        entry.admitted = static_cast<std::int64_t>(use.admitted);
        entry.assumed = use.assumed;
        entry.bySlice.assign(use.bySlice.begin(), use.bySlice.end());
        answer.windowUses.push_back(std::move(entry));
        if (answer.windowUses.size() == MaxWindowUses) {
            this->send(answer, target);
            answer.windowUses.clear();
        }
    }
    if (answer.namesAllUses || !answer.windowUses.empty()) {
        this->send(answer, target);
    }
}

void PeerLink::search(MonotonicTime now)
{
    this->nextSearchAt = now + SearchInterval;
    auto &directory = this->parts.directory;
    wire::Datagram question;
    question.sender = this->ownBeat();
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
        for (std::size_t i = 0; i < SearchFanout && !silent.empty(); ++i) {
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

void PeerLink::mentionTo(const Endpoint &target, MonotonicTime now)
{
    wire::Datagram answer;
    answer.sender = this->ownBeat();
    this->addMentions(answer, now);
    this->send(answer, target);
}

/// Names the entry hosts that this host knows.
void PeerLink::addMentions(wire::Datagram &datagram, MonotonicTime now) const
{
    const auto &directory = this->parts.directory;
    for (const auto *const host : directory.allEntryHosts(now)) {
        if (datagram.mentioned.size() < MaxMentioned && host->id != directory.own().id) {
            auto beat = beatOf(*host);
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
