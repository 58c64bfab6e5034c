#pragma once

#include "history.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rhubarbtiller::soak {

/// What the state page of a host showed at one moment.
struct HostSample
{
    int host = -1;
    SoakTime sentAt{};
    SoakTime receivedAt{};
    /// Era and number.
    std::pair<std::uint64_t, std::uint64_t> configurationVersion;
    std::pair<std::uint64_t, std::uint64_t> serversVersion;
    bool isReadingStore = false;
    std::size_t rank = 0;
};

/// Reads the state pages of all hosts in quick succession.
///
/// Thread safety: the methods belong to one thread; some hosts at a time have a thread of their own.
class StatePoller
{
public:
    /// Precondition: the addresses are those of the hosts' control ports, in the order of their numbers.
    explicit StatePoller(std::vector<std::string> controlAddresses);
    ~StatePoller();
    StatePoller(const StatePoller &) = delete;
    StatePoller &operator=(const StatePoller &) = delete;

    /// Returns the last page of each host that has sent one. Precondition: none.
    std::vector<HostSample> latest() const;

    /// Ends the threads and returns all pages. Precondition: called once.
    std::vector<HostSample> stop();

private:
    void run(std::size_t first);

    const std::vector<std::string> addresses;
    std::atomic<bool> isStopping{false};
    mutable std::mutex mutex;
    std::vector<HostSample> samples;
    std::vector<HostSample> last;
    std::vector<std::thread> threads;
};

} // namespace rhubarbtiller::soak
