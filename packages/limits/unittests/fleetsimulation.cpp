#include "fleetsimulation.h"

#include <rhubarbtiller/testing/virtualclock.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>

namespace rhubarbtiller::limits {

using namespace std::chrono_literals;

static constexpr Duration Step = 2ms;
static constexpr Duration VoteLease = 3s;
static constexpr std::size_t NoHost = ~std::size_t{0};

namespace {

/// What a guardian remembers of its share of one shard.
struct GuardedShare
{
    std::size_t holder = NoHost;
    MonotonicTime lentUntil;
    /// The guardian neither lends nor uses its share before this time.
    MonotonicTime quietUntil;
};

class SimulatedHost : public ShareSource
{
public:
    CarriedShares shares(ShardId shard, MonotonicTime now) const override
    {
        std::vector<ShareInterval> intervals;
        for (unsigned guardian = 0; guardian < ShareCount; ++guardian) {
            if (const auto own = this->guarded.find({shard, guardian}); own != this->guarded.end()) {
                const MonotonicTime since = std::max(own->second.lentUntil, own->second.quietUntil);
                if (since <= now) {
                    intervals.push_back(ShareInterval{since, now + VoteLease});
                }
                continue;
            }
            if (const auto found = this->held.find({shard, guardian}); found != this->held.end()) {
                intervals.push_back(found->second);
            }
        }
        if (this->fault == Fault::DeadlineIgnored) {
            for (auto &interval : intervals) {
                interval.until = MonotonicTime::max();
            }
        }
        CarriedShares carried = CarriedShares::fromIntervals(intervals, now);
        if (this->fault == Fault::FreshBucketFull) {
            carried.since.fill(MonotonicTime{});
        }
        return carried;
    }

    MonotonicTime localTime(MonotonicTime time) const
    {
        return time + this->clockOffset;
    }

    Fault fault = Fault::None;
    Duration clockOffset{0};
    std::uint64_t incarnation = 0;
    MonotonicTime pausedUntil;
    std::map<std::pair<ShardId, unsigned>, GuardedShare> guarded;
    std::map<std::pair<ShardId, unsigned>, ShareInterval> held;
    std::vector<char> wantedShards;
    std::unique_ptr<RateLimiter> limiter;
    /// Set with Policy::RateShares.
    RateShares *rateShares = nullptr;
    std::unique_ptr<SeededRandom> callIds;
    std::unique_ptr<TokenBorrower> borrower;
};

/// Baseline: a fixed part of the rate for each host.
class EvenDivisionLimiter : public RateLimiter
{
public:
    EvenDivisionLimiter(std::size_t hosts, MonotonicTime start) : hostCount(hosts), startTime(start)
    {
    }

    Admission admit(const RateSlice &slice, const TokenLimit &sliceLimit, MonotonicTime now) override
    {
        auto &bucket = this->buckets[{slice.organisation, slice.slice}];
        if (!bucket) {
            bucket = std::make_unique<TokenBucket>(
                sliceLimit.dividedBy(static_cast<std::uint32_t>(this->hostCount)), this->startTime, this->startTime);
        }
        CarriedShares all;
        all.count = ShareCount;
        all.since.fill(this->startTime);
        all.until = MonotonicTime::max();
        const auto receipt = bucket->take(all, now);
        return Admission{
            receipt ? AdmissionVerdict::Admitted : AdmissionVerdict::RateExceeded, Duration(0), receipt.value_or(TokenReceipt{})};
    }

private:
    const std::size_t hostCount;
    const MonotonicTime startTime;
    std::map<std::pair<OrganisationId, std::uint32_t>, std::unique_ptr<TokenBucket>> buckets;
};

class Fleet
{
public:
    explicit Fleet(const FleetOptions &fleetOptions) : options(fleetOptions), engine(fleetOptions.seed), hosts(fleetOptions.hosts)
    {
        this->outcome.organisations.resize(this->options.organisations.size());
        for (auto &host : this->hosts) {
            host.fault = this->options.fault;
            host.clockOffset = std::chrono::seconds(this->below(1'000'000));
            host.wantedShards.assign(this->options.shards, 0);
        }
        for (std::uint32_t shard = 0; shard < this->options.shards; ++shard) {
            for (unsigned guardian = 0; guardian < ShareCount; ++guardian) {
                this->hosts[this->guardianOf(shard, guardian)].guarded[{ShardId(shard), guardian}] = GuardedShare{};
            }
            this->hosts[(shard + ShareCount) % this->hosts.size()].wantedShards[shard] = 1;
        }
        for (std::size_t i = 0; i < this->hosts.size(); ++i) {
            this->start(i, false);
        }
    }

    FleetOutcome run()
    {
        const MonotonicTime begin = this->clock.now();
        while (this->clock.now() < begin + this->options.duration) {
            this->isMeasured = this->clock.now() >= begin + this->options.warmUp;
            this->deliver();
            if (this->options.isFaulty) {
                this->disturb();
            }
            this->requestVotes();
            this->offer();
            this->maintain();
            this->clock.advance(Step);
        }
        return std::move(this->outcome);
    }

private:
    using Delivery = std::function<void(SimulatedHost &, MonotonicTime localNow)>;

    std::uint64_t below(std::uint64_t bound)
    {
        return this->engine() % bound;
    }

    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(this->engine) < probability;
    }

    std::size_t guardianOf(std::uint32_t shard, unsigned guardian) const
    {
        return (shard + guardian) % this->hosts.size();
    }

    bool isRunning(std::size_t host) const
    {
        return this->hosts[host].pausedUntil <= this->clock.now();
    }

    void start(std::size_t index, bool isRestart)
    {
        SimulatedHost &host = this->hosts[index];
        const MonotonicTime now = host.localTime(this->clock.now());
        ++host.incarnation;
        host.held.clear();
        for (auto &[share, guarded] : host.guarded) {
            // A restarted guardian does not know to whom it lent its share.
            guarded = GuardedShare{NoHost, now, isRestart ? now + VoteLease : now};
        }
        host.callIds = std::make_unique<SeededRandom>(this->engine());
        host.borrower = std::make_unique<TokenBorrower>(BorrowSettings{}, *host.callIds);
        if (this->options.policy == Policy::EvenDivision) {
            host.limiter = std::make_unique<EvenDivisionLimiter>(this->hosts.size(), now);
            return;
        }
        auto rateShares = std::make_unique<RateShares>(host, this->options.fault == Fault::FreshBucketFull ? MonotonicTime{} : now);
        host.rateShares = rateShares.get();
        host.limiter = std::move(rateShares);
    }

    void send(std::size_t to, const Delivery &delivery)
    {
        if (this->options.isFaulty && this->chance(this->options.lost)) {
            return;
        }
        const int copies = this->options.isFaulty && this->chance(this->options.duplicated) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            // Mostly quick; now and then later than the loan time.
            const std::uint64_t longest = this->options.isFaulty ? (this->chance(0.1) ? 300 : 20) : 2;
            this->inFlight.emplace(this->clock.now() + std::chrono::milliseconds(1 + this->below(longest)), std::make_pair(to, delivery));
        }
    }

    void deliver()
    {
        std::vector<std::pair<std::size_t, Delivery>> held;
        while (!this->inFlight.empty() && this->inFlight.begin()->first <= this->clock.now()) {
            const auto [to, delivery] = this->inFlight.begin()->second;
            this->inFlight.erase(this->inFlight.begin());
            if (!this->isRunning(to)) {
                held.emplace_back(to, delivery);
                continue;
            }
            delivery(this->hosts[to], this->hosts[to].localTime(this->clock.now()));
        }
        // A paused host reads its messages when it resumes.
        for (const auto &[to, delivery] : held) {
            this->inFlight.emplace(this->hosts[to].pausedUntil, std::make_pair(to, delivery));
        }
    }

    void disturb()
    {
        const double seconds = this->options.disturbance * std::chrono::duration<double>(Step).count();
        for (std::size_t i = 0; i < this->hosts.size(); ++i) {
            if (!this->isRunning(i)) {
                continue;
            }
            if (this->chance(seconds / 15)) {
                this->hosts[i].pausedUntil = this->clock.now() + std::chrono::milliseconds(this->below(8000));
                ++this->outcome.pauses;
            } else if (this->chance(seconds / 20)) {
                this->start(i, true);
                ++this->outcome.restarts;
            }
        }
        if (this->chance(seconds / 2)) {
            const auto shard = static_cast<std::size_t>(this->below(this->options.shards));
            for (auto &host : this->hosts) {
                host.wantedShards[shard] = 0;
            }
            this->hosts[this->below(this->hosts.size())].wantedShards[shard] = 1;
            ++this->outcome.holderChanges;
        }
    }

    void requestVotes()
    {
        const double perStep = std::chrono::duration<double>(Step).count() / 0.5;
        for (std::size_t i = 0; i < this->hosts.size(); ++i) {
            if (!this->isRunning(i)) {
                continue;
            }
            for (std::uint32_t shard = 0; shard < this->options.shards; ++shard) {
                for (unsigned guardian = 0; guardian < ShareCount; ++guardian) {
                    const std::size_t to = this->guardianOf(shard, guardian);
                    if (this->hosts[i].wantedShards[shard] && to != i && this->chance(perStep)) {
                        this->requestVote(i, to, {ShardId(shard), guardian});
                    }
                }
            }
        }
    }

    void requestVote(std::size_t from, std::size_t guardian, std::pair<ShardId, unsigned> share)
    {
        const MonotonicTime sentAt = this->hosts[from].localTime(this->clock.now());
        const std::uint64_t incarnation = this->hosts[from].incarnation;
        this->send(guardian, [this, from, share, sentAt, incarnation](SimulatedHost &host, MonotonicTime now) {
            GuardedShare &guarded = host.guarded.at(share);
            if (now < guarded.quietUntil || (guarded.holder != from && now < guarded.lentUntil)) {
                return;
            }
            guarded.holder = from;
            guarded.lentUntil = now + VoteLease;
            this->send(from, [share, sentAt, incarnation](SimulatedHost &holder, MonotonicTime receivedAt) {
                // The deadline counts from the request, so the guardian's ends later.
                const MonotonicTime until = sentAt + VoteLease;
                if (holder.incarnation != incarnation || receivedAt >= until) {
                    return;
                }
                auto &interval = holder.held[share];
                if (receivedAt >= interval.until) {
                    interval.since = receivedAt;
                }
                interval.until = std::max(interval.until, until);
            });
        });
    }

    std::size_t mostShares(ShardId shard)
    {
        std::size_t best = this->below(this->hosts.size());
        unsigned bestCount = 0;
        for (std::size_t i = 0; i < this->hosts.size(); ++i) {
            const unsigned count = this->hosts[i].shares(shard, this->hosts[i].localTime(this->clock.now())).count;
            if (count > bestCount) {
                best = i;
                bestCount = count;
            }
        }
        return best;
    }

    static std::uint32_t mixed(std::size_t organisation, std::uint32_t slice)
    {
        return static_cast<std::uint32_t>(organisation) * 7 + slice;
    }

    RateSlice sliceOf(std::size_t organisation, std::uint32_t slice) const
    {
        return RateSlice{OrganisationId(this->options.organisations[organisation].name),
                         slice,
                         ShardId(mixed(organisation, slice) % this->options.shards)};
    }

    void offer()
    {
        for (std::size_t i = 0; i < this->options.organisations.size(); ++i) {
            const auto &organisation = this->options.organisations[i];
            if (organisation.offeredRate <= 0) {
                continue;
            }
            const double mean = organisation.offeredRate * std::chrono::duration<double>(Step).count() / organisation.batch;
            const int groups = std::poisson_distribution<int>(mean)(this->engine);
            if (organisation.isStaged) {
                for (int k = 0; k < groups; ++k) {
                    this->offerStaged(i);
                }
                continue;
            }
            for (int k = 0; k < groups * organisation.batch; ++k) {
                this->request(i, static_cast<std::uint32_t>(this->below(organisation.slices)));
            }
        }
    }

    void offerStaged(std::size_t organisation)
    {
        const auto &spec = this->options.organisations[organisation];
        const auto first = static_cast<std::uint32_t>(this->below(spec.slices));
        for (const Duration delay : {0ms, 8ms, 16ms, 24ms, 32ms, 40ms, 48ms, 56ms}) {
            this->inFlight.emplace(
                this->clock.now() + delay,
                std::make_pair(std::size_t{0}, [this, organisation, first, batch = spec.batch](SimulatedHost &, MonotonicTime) {
                    for (int k = 0; k < batch; ++k) {
                        this->request(organisation, first);
                    }
                }));
        }
        this->inFlight.emplace(
            this->clock.now() + 60ms,
            std::make_pair(std::size_t{0}, [this, organisation, slices = spec.slices, batch = spec.batch](SimulatedHost &, MonotonicTime) {
                for (std::uint32_t slice = 0; slice < slices; ++slice) {
                    for (int k = 0; k < batch; ++k) {
                        this->request(organisation, slice);
                    }
                }
            }));
    }

    void request(std::size_t organisation, std::uint32_t sliceNumber)
    {
        const auto &spec = this->options.organisations[organisation];
        const RateSlice slice = this->sliceOf(organisation, sliceNumber);
        std::size_t entry = this->below(this->hosts.size());
        if (this->options.entryHosts > 0) {
            entry = (organisation * 11 + this->below(this->options.entryHosts)) % this->hosts.size();
        }
        if (this->options.steered > 0 && this->chance(this->options.steered)) {
            entry = this->mostShares(slice.shard);
        }
        auto &result = this->outcome.organisations[organisation];
        if (this->isMeasured) {
            ++result.offered;
        }
        if (!this->isRunning(entry)) {
            // The request waits in the host's socket; only admissions after the pause matter, so some of them come then.
            if (this->chance(0.2)) {
                this->inFlight.emplace(this->hosts[entry].pausedUntil,
                                       std::make_pair(entry, [this, organisation, slice, entry](SimulatedHost &, MonotonicTime) {
                                           this->admit(organisation, slice, entry, false);
                                       }));
            }
            if (this->isMeasured) {
                ++result.refused;
            }
            return;
        }
        const bool isAdmitted = this->admit(organisation, slice, entry, spec.slices > 1);
        if (!isAdmitted && this->isMeasured) {
            ++result.refused;
        }
    }

    bool admit(std::size_t organisation, const RateSlice &slice, std::size_t entry, bool mayBorrow)
    {
        SimulatedHost &host = this->hosts[entry];
        const auto &spec = this->options.organisations[organisation];
        const TokenLimit sliceLimit = spec.limit.dividedBy(spec.slices);
        const MonotonicTime now = host.localTime(this->clock.now());
        const Admission admission = host.limiter->admit(slice, sliceLimit, now);
        if (admission.verdict == AdmissionVerdict::Admitted) {
            if (this->options.isFaulty && host.rateShares && this->chance(this->options.notRun)) {
                this->endWithoutRun(organisation, slice, entry, admission);
                return true;
            }
            this->outcome.organisations[organisation].history.push_back(this->clock.now());
            return true;
        }
        if (!host.rateShares || admission.verdict != AdmissionVerdict::RateExceeded) {
            return false;
        }
        const auto call = host.borrower->onRefused(slice.organisation, slice.slice, spec.slices, sliceLimit, now);
        if (!call) {
            return false;
        }
        this->borrow(organisation, slice, entry, *call, sliceLimit);
        if (!mayBorrow || this->options.isFaulty) {
            return false;
        }
        // The request waits for the reply and is decided again then.
        this->inFlight.emplace(this->clock.now() + 10ms,
                               std::make_pair(entry, [this, organisation, slice, entry](SimulatedHost &, MonotonicTime) {
                                   if (!this->admit(organisation, slice, entry, false) && this->isMeasured) {
                                       ++this->outcome.organisations[organisation].refused;
                                   }
                               }));
        return true;
    }

    void endWithoutRun(std::size_t organisation, const RateSlice &slice, std::size_t entry, const Admission &admission)
    {
        const std::uint64_t incarnation = this->hosts[entry].incarnation;
        const auto &spec = this->options.organisations[organisation];
        const TokenLimit sliceLimit = spec.limit.dividedBy(spec.slices);
        this->inFlight.emplace(
            this->clock.now() + std::chrono::milliseconds(this->below(this->chance(0.1) ? 4000 : 100)),
            std::make_pair(entry, [this, slice, incarnation, admission, sliceLimit](SimulatedHost &host, MonotonicTime now) {
                if (host.incarnation != incarnation) {
                    return;
                }
                if (this->options.fault == Fault::GivenBackAlways) {
                    host.rateShares->credit(slice, sliceLimit, RequestCount(1), now);
                } else if (host.rateShares->giveBack(slice, admission, now)) {
                    ++this->outcome.givenBack;
                }
            }));
    }

    void borrow(std::size_t organisation, const RateSlice &slice, std::size_t borrower, const LoanCall &call, const TokenLimit &sliceLimit)
    {
        const RateSlice from = this->sliceOf(organisation, call.lenderSlice);
        this->send(this->mostShares(from.shard), [this, slice, borrower, call, from, sliceLimit](SimulatedHost &lender, MonotonicTime now) {
            const Duration loanTime = BorrowSettings{}.loanTime;
            RequestCount lent = call.wanted;
            if (this->options.fault != Fault::LoanNotDeducted) {
                lent = lender.rateShares->lend(from, sliceLimit, call.wanted, loanTime, now);
            }
            this->send(borrower, [this, slice, call, sliceLimit, lent](SimulatedHost &host, MonotonicTime receivedAt) {
                auto loan = host.borrower->onReply(call.id, lent, receivedAt);
                if (this->options.fault == Fault::RepliesCreditedTwice) {
                    loan = Loan{slice.organisation, slice.slice, lent};
                }
                if (loan) {
                    this->outcome.loans += loan->tokens.count() > 0 ? 1 : 0;
                    host.rateShares->credit(slice, sliceLimit, loan->tokens, receivedAt);
                }
            });
        });
    }

    void maintain()
    {
        if (this->options.policy != Policy::RateShares || !this->chance(0.001)) {
            return;
        }
        const std::size_t index = this->below(this->hosts.size());
        if (this->isRunning(index)) {
            SimulatedHost &host = this->hosts[index];
            const MonotonicTime now = host.localTime(this->clock.now());
            this->outcome.droppedEntries += host.rateShares->dropIdle(100ms, now);
            host.borrower->dropIdle(now);
        }
    }

    const FleetOptions options;
    std::mt19937_64 engine;
    testing::VirtualClock clock;
    std::vector<SimulatedHost> hosts;
    std::multimap<MonotonicTime, std::pair<std::size_t, Delivery>> inFlight;
    bool isMeasured = true;
    FleetOutcome outcome;
};

} // namespace

FleetOutcome runFleet(const FleetOptions &options)
{
    return Fleet(options).run();
}

} // namespace rhubarbtiller::limits
