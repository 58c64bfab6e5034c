#include "history.h"

#include <algorithm>
#include <set>
#include <unordered_map>

namespace rhubarbtiller::soak {

using std::chrono::milliseconds;

/// Lines that one promise may add, so that one fault does not hide the others.
static constexpr std::size_t MaxLines = 5;

/// The last part of a planned stop in which a server that is still at work excuses the host.
static constexpr double LastPartOfGrace = 5.0 / 6;

/// The share of the calls that are served once everything is whole again.
static constexpr double RecoveredShare = 0.9;

/// The promises on single requests say how many exceptions the platform tolerates in a day.
static constexpr std::size_t ToleratedWithoutDeadline = 20;

namespace {

/// Judges one run.
class Judge
{
public:
    Judge(const SoakHistory &judgedHistory, const Bounds &judgedBounds) : history(judgedHistory), bounds(judgedBounds)
    {
        for (const auto &call : this->history.calls) {
            this->callsById.emplace(call.request, &call);
        }
        for (const auto &arrival : this->history.arrivals) {
            this->arrivalsById[arrival.request].push_back(&arrival);
        }
    }

    std::vector<std::string> judge()
    {
        this->checkRequests();
        this->checkAnswers();
        this->checkChanges();
        this->checkStops();
        this->checkRates();
        this->checkRetries();
        this->checkColdServers();
        this->checkRecovery();
        return std::move(this->lines);
    }

private:
    void note(const std::string &promise, const std::string &what)
    {
        if (++this->counts[promise] <= MaxLines) {
            this->lines.push_back(promise + ": " + what);
        }
    }

    bool isCalm(int host, SoakTime from, SoakTime to) const
    {
        return std::none_of(this->history.disturbances.begin(), this->history.disturbances.end(), [&](const Disturbance &each) {
            return (each.host == -1 || each.host == host) && each.from < to && from < each.to;
        });
    }

    /// Whether the change binds a request that the host sent to a server at \p to: it was in touch with the store for a while before the
    /// caller sent the request, and for the leaving of a server also before the change.
    bool isBound(const AcknowledgedChange &change, const Call &call, SoakTime to) const
    {
        const int host = call.host;
        if (change.kind != AcknowledgedChange::Kind::ServerLeaves) {
            return this->isCalm(host, call.sentAt - this->bounds.contact, to);
        }
        return this->isCalm(host, change.at - this->bounds.contact, change.at)
            && this->isCalm(host, std::max(change.at, to - this->bounds.contact - this->bounds.evacuation), to);
    }

    static std::string describe(const Call &call)
    {
        return call.request + " on " + call.route + " by h" + std::to_string(call.host) + " with status " + std::to_string(call.status);
    }

    const std::vector<const Arrival *> &arrivalsOf(const std::string &request) const
    {
        static const std::vector<const Arrival *> None;
        const auto found = this->arrivalsById.find(request);
        return found == this->arrivalsById.end() ? None : found->second;
    }

    static std::size_t runsIn(const std::vector<const Arrival *> &arrivals)
    {
        return static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(), [](const Arrival *arrival) {
            return arrival->hasRun;
        }));
    }

    void checkRequests()
    {
        std::size_t withoutDeadline = 0;
        for (const auto &[request, arrivals] : this->arrivalsById) {
            const auto found = this->callsById.find(request);
            if (found == this->callsById.end()) {
                this->note("unasked", request + " reached " + arrivals.front()->server + " and no caller sent it");
                continue;
            }
            const Call &call = *found->second;
            if (!call.isIdempotent && runsIn(arrivals) > 1) {
                this->note("at most once", describe(call) + " ran " + std::to_string(runsIn(arrivals)) + " times");
            }
            for (const auto *const arrival : arrivals) {
                withoutDeadline += arrival->hadDeadline ? 0 : 1;
                if (arrival->content != call.content) {
                    this->note("unchanged", describe(call) + " arrived as " + arrival->content);
                }
                if (arrival->organisation != call.organisation || arrival->sawKey) {
                    this->note("organisation", describe(call) + " ran for '" + arrival->organisation + "'");
                }
            }
        }
        if (withoutDeadline > ToleratedWithoutDeadline) {
            this->note("deadline", std::to_string(withoutDeadline) + " requests reached a server without one");
        }
    }

    void checkAnswers()
    {
        for (const auto &call : this->history.calls) {
            const auto runs = runsIn(this->arrivalsOf(call.request));
            const bool saysNotRun = call.status == 429 || call.status == 503 || call.status == 408 || call.status == 421;
            if (saysNotRun && runs > 0 && !call.isIdempotent) {
                this->note("true refusal", describe(call) + " ran");
            }
            if (call.status >= 200 && call.status < 300 && (!call.isSound || runs == 0)) {
                this->note("whole answer", describe(call) + (call.isSound ? " did not run" : " is not the server's whole answer"));
            }
        }
    }

    milliseconds boundOf(AcknowledgedChange::Kind kind) const
    {
        switch (kind) {
        case AcknowledgedChange::Kind::ServerLeaves:
            return this->bounds.drain;
        case AcknowledgedChange::Kind::DomainEvacuated:
            return this->bounds.evacuation;
        case AcknowledgedChange::Kind::KeyWithdrawn:
        case AcknowledgedChange::Kind::RouteMoved:
            return this->bounds.configuration;
        }
        return this->bounds.configuration;
    }

    static bool concerns(const AcknowledgedChange &change, const Call &call, const Arrival &arrival)
    {
        switch (change.kind) {
        case AcknowledgedChange::Kind::ServerLeaves:
            return arrival.server == change.subject;
        case AcknowledgedChange::Kind::KeyWithdrawn:
            return call.key == change.subject;
        case AcknowledgedChange::Kind::RouteMoved:
            return call.route == change.route && arrival.service == change.subject;
        case AcknowledgedChange::Kind::DomainEvacuated:
            return arrival.failureDomain == change.subject;
        }
        return false;
    }

    void checkChanges()
    {
        for (const auto &change : this->history.changes) {
            const auto inForceAt = change.at + this->boundOf(change.kind);
            for (const auto &arrival : this->history.arrivals) {
                const auto found = this->callsById.find(arrival.request);
                if (arrival.at < inForceAt || arrival.at >= change.until || found == this->callsById.end()) {
                    continue;
                }
                const Call &call = *found->second;
                // A change of the configuration binds requests that were sent after it.
                const bool bindsSending
                    = change.kind == AcknowledgedChange::Kind::KeyWithdrawn || change.kind == AcknowledgedChange::Kind::RouteMoved;
                if ((bindsSending && call.sentAt < inForceAt) || !concerns(change, call, arrival)
                    || !this->isBound(change, call, arrival.at)) {
                    continue;
                }
                const auto late = std::chrono::duration_cast<milliseconds>(arrival.at - change.at).count();
                this->note("change in force",
                           describe(call) + " reached " + arrival.server + " " + std::to_string(late) + " ms after " + change.subject);
            }
        }
    }

    void checkStops()
    {
        for (const auto &stop : this->history.stops) {
            const auto lastPart = stop.at + std::chrono::duration_cast<milliseconds>(this->bounds.grace * LastPartOfGrace);
            for (const auto &call : this->history.calls) {
                const bool isAround = call.host == stop.host && call.sentAt >= stop.at && call.sentAt <= stop.at + this->bounds.grace;
                if (!isAround || call.status != 0 || call.isNotSent || call.endedAt > lastPart
                    || !this->isCalm(call.host, call.sentAt - this->bounds.contact, call.endedAt)) {
                    continue;
                }
                const auto &arrivals = this->arrivalsOf(call.request);
                const bool hadGoodServer = std::any_of(arrivals.begin(), arrivals.end(), [](const Arrival *arrival) {
                    return arrival->isAnswered;
                });
                if (hadGoodServer) {
                    this->note("planned stop", describe(call) + " was cut while its server answered");
                }
            }
        }
    }

    /// Returns the largest count of sorted moments within a window.
    static std::size_t mostWithin(const std::vector<SoakTime> &moments, milliseconds window)
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < moments.size(); ++last) {
            while (moments[last] - moments[first] >= window) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    void checkRates()
    {
        static constexpr milliseconds Window{5000};
        for (const auto &[organisation, rate] : this->history.rates) {
            std::vector<SoakTime> moments;
            for (const auto &arrival : this->history.arrivals) {
                if (arrival.organisation == organisation && arrival.hasRun) {
                    moments.push_back(arrival.at);
                }
            }
            std::sort(moments.begin(), moments.end());
            const double seconds = std::chrono::duration<double>(Window).count();
            const double limit = (rate.first * seconds + rate.second) * (1 + this->bounds.quotaOverage) + this->bounds.quotaSlack;
            if (const auto most = mostWithin(moments, Window); static_cast<double>(most) > limit) {
                this->note("rate", std::to_string(most) + " runs of " + organisation + " in 5 s, of " + std::to_string(limit));
            }
        }
    }

    void checkRetries()
    {
        static constexpr milliseconds Window{10'000};
        std::map<std::string, std::vector<SoakTime>> repeats;
        std::map<std::string, std::vector<SoakTime>> firsts;
        for (const auto &[request, arrivals] : this->arrivalsById) {
            for (std::size_t i = 0; i < arrivals.size(); ++i) {
                (i == 0 ? firsts : repeats)[arrivals[i]->service].push_back(arrivals[i]->at);
            }
        }
        for (auto &[service, moments] : repeats) {
            std::sort(moments.begin(), moments.end());
            auto &requests = firsts[service];
            for (const auto end : moments) {
                const auto within = [end](const std::vector<SoakTime> &times) {
                    return std::count_if(times.begin(), times.end(), [end](SoakTime at) {
                        return at <= end && end - at < Window;
                    });
                };
                const double allowed = this->bounds.retryRatio * static_cast<double>(within(requests)) + this->bounds.retrySlack;
                if (static_cast<double>(within(moments)) > allowed) {
                    this->note("retry budget",
                               std::to_string(within(moments)) + " repeats to " + service + " in 10 s, of " + std::to_string(allowed));
                    break;
                }
            }
        }
    }

    void checkColdServers()
    {
        std::map<std::string, std::vector<SoakTime>> cold;
        for (const auto &arrival : this->history.arrivals) {
            if (arrival.wasCold) {
                cold[arrival.server].push_back(arrival.at);
            }
        }
        const double limit = this->history.coldRate * this->bounds.coldOverage + this->bounds.coldSlack;
        for (auto &[server, moments] : cold) {
            std::sort(moments.begin(), moments.end());
            if (const auto most = mostWithin(moments, milliseconds(1000)); static_cast<double>(most) > limit) {
                this->note("cold server", std::to_string(most) + " requests reached " + server + " in 1 s, of " + std::to_string(limit));
            }
        }
    }

    void checkRecovery()
    {
        std::size_t sent = 0;
        std::size_t served = 0;
        for (const auto &call : this->history.calls) {
            if (call.sentAt >= this->history.healedAt + this->bounds.recovery && call.status != 429 && call.status != 401) {
                ++sent;
                served += call.status == 200 ? 1 : 0;
            }
        }
        if (sent == 0 || static_cast<double>(served) < RecoveredShare * static_cast<double>(sent)) {
            this->note("recovery", std::to_string(served) + " of " + std::to_string(sent) + " calls are served at the end");
        }
    }

    const SoakHistory &history;
    const Bounds &bounds;
    std::unordered_map<std::string, const Call *> callsById;
    std::unordered_map<std::string, std::vector<const Arrival *>> arrivalsById;
    std::map<std::string, std::size_t> counts;
    std::vector<std::string> lines;
};

} // namespace

std::vector<std::string> brokenPromises(const SoakHistory &history, const Bounds &bounds)
{
    return Judge(history, bounds).judge();
}

} // namespace rhubarbtiller::soak
