#pragma once

#include "history.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace rhubarbtiller::soak {

/// A route that callers use.
struct CallerRoute
{
    std::string name;
    std::string prefix;
    bool isIdempotent = false;
};

/// A key with the organisation that holds it.
struct CallerKey
{
    std::string key;
    std::string organisation;
};

/// What callers need to know of the fleet.
struct CallerWorld
{
    std::string virtualHost;
    std::vector<CallerRoute> routes;
    std::vector<CallerKey> keys;
    /// Addresses that answer questions for addresses.
    std::vector<std::string> directories;
    std::vector<std::string> failureDomains;
    /// Returns the number of the host with a caller address, or -1.
    std::function<int(const std::string &)> hostOf;
};

/// Callers that ask for addresses, keep their connections open and check each answer.
///
/// Half of them use an open connection until it is closed, also after newer addresses name other hosts. Thread safety: the
/// methods belong to one thread; each caller has a thread of its own.
class Callers
{
public:
    /// Precondition: \p callerWorld outlives the callers.
    Callers(const CallerWorld &callerWorld, int count, std::uint64_t seed);
    ~Callers();
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    /// Ends the callers and returns what they saw. Precondition: called once.
    std::vector<Call> stop();

private:
    void run(int number, std::uint64_t seed);

    const CallerWorld &world;
    std::atomic<bool> isStopping{false};
    std::vector<std::vector<Call>> callsOf;
    std::vector<std::thread> threads;
};

} // namespace rhubarbtiller::soak
