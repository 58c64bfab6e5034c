#pragma once

#include <cassert>
#include <cstdint>
#include <mutex>
#include <random>
#include <string>

namespace rhubarbtiller {

/// The source of random numbers for decision logic; tests replace it by a seeded one, so that a run can be reproduced.
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

/// A sequence of random numbers that is determined by its seed.
class SeededRandom : public RandomSource
{
public:
    explicit SeededRandom(std::uint64_t seed);

    std::uint64_t next() override;

private:
    std::mutex mutex;
    std::mt19937_64 engine;
};

/// Random numbers seeded by the operating system, with one generator per thread.
class SystemRandom : public RandomSource
{
public:
    std::uint64_t next() override;
};

/// Returns \p digits random hexadecimal digits. Precondition: none. Thread safety: any thread.
std::string randomHex(RandomSource &random, std::size_t digits);

} // namespace rhubarbtiller
