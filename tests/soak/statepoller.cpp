#include "statepoller.h"

#include "../fleet/httpconnection.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace rhubarbtiller::soak {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

static constexpr std::size_t Threads = 11;
static constexpr milliseconds RoundInterval{150};

/// A host that stands still delays the other hosts of its thread by this much.
static constexpr milliseconds PageTimeout{250};

StatePoller::StatePoller(std::vector<std::string> controlAddresses) : addresses(std::move(controlAddresses))
{
    this->last.resize(this->addresses.size());
    for (std::size_t first = 0; first < Threads; ++first) {
        this->threads.emplace_back([this, first] {
            this->run(first);
        });
    }
}

StatePoller::~StatePoller()
{
    if (!this->isStopping) {
        this->stop();
    }
}

void StatePoller::run(std::size_t first)
{
    std::vector<std::unique_ptr<fleettests::HttpConnection>> connections;
    std::vector<std::size_t> hosts;
    for (auto host = first; host < this->addresses.size(); host += Threads) {
        hosts.push_back(host);
        connections.push_back(std::make_unique<fleettests::HttpConnection>(this->addresses[host]));
    }
    while (!this->isStopping) {
        const auto nextRound = steady_clock::now() + RoundInterval;
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            HostSample sample;
            sample.host = static_cast<int>(hosts[i]);
            sample.sentAt = steady_clock::now();
            const auto reply = connections[i]->call("GET", "/state", "", "", PageTimeout);
            sample.receivedAt = steady_clock::now();
            const auto page = nlohmann::json::parse(reply.body, nullptr, false);
            if (reply.fault != fleettests::CallFault::None || reply.status != 200 || !page.is_object()) {
                continue;
            }
            const auto number = [](const nlohmann::json &object, const char *name) {
                return object.at(name).get<std::uint64_t>();
            };
            const auto &configuration = page.at("configuration");
            sample.configurationVersion = {number(configuration, "storeEra"), number(configuration, "storeVersion")};
            sample.serversVersion = {number(page, "serversEra"), number(page, "serversVersion")};
            sample.isReadingStore = !page.at("storeContactAgeMs").is_null();
            sample.rank = page.at("hosts").at("rankInDomain").get<std::size_t>();
            const std::lock_guard lock(this->mutex);
            this->samples.push_back(sample);
            this->last[hosts[i]] = sample;
        }
        std::this_thread::sleep_until(nextRound);
    }
}

std::vector<HostSample> StatePoller::latest() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<HostSample> pages;
    std::copy_if(this->last.begin(), this->last.end(), std::back_inserter(pages), [](const HostSample &sample) {
        return sample.host >= 0;
    });
    return pages;
}

std::vector<HostSample> StatePoller::stop()
{
    this->isStopping = true;
    for (auto &thread : this->threads) {
        thread.join();
    }
    return this->samples;
}

} // namespace rhubarbtiller::soak
