#pragma once

#include <cassert>
#include <cstdint>
#include <mutex>
#include <random>
#include <string>

namespace rhubarbtiller {

/// Gives random numbers to decision logic, so that tests can repeat a run by its seed.
class RandomSource
{
public:
    RandomSource() = default;
    RandomSource(const RandomSource &) = delete;
    RandomSource &operator=(const RandomSource &) = delete;
    virtual ~RandomSource() = default;

    /// Returns 64 random bits. Precondition: none. Thread safety: any thread.
    virtual std::uint64_t next() = 0;

    /// Returns a number in [0, bound). Precondition: \p bound is not 0. Thread safety: any thread.
    std::uint64_t below(std::uint64_t bound)
    {
        assert(bound != 0 && "a random number needs a bound above zero");
        return this->next() % bound;
    }
};

/// A repeatable sequence of random numbers.
class SeededRandom : public RandomSource
{
public:
    explicit SeededRandom(std::uint64_t seed);

    std::uint64_t next() override;

private:
    std::mutex mutex;
    std::mt19937_64 engine;
};

/// Random numbers of the operating system's seed, one generator for each thread.
class SystemRandom : public RandomSource
{
public:
    std::uint64_t next() override;
};

/// Returns \p digits random hexadecimal digits. Precondition: none. Thread safety: any thread.
std::string randomHex(RandomSource &random, std::size_t digits);

} // namespace rhubarbtiller
