#include <rhubarbtiller/base/random.h>

namespace rhubarbtiller {

SeededRandom::SeededRandom(std::uint64_t seed) : engine(seed)
{
}

std::uint64_t SeededRandom::next()
{
    const std::lock_guard lock(this->mutex);
    return this->engine();
}

static std::mt19937_64 seededFromDevice()
{
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return std::mt19937_64(seed);
}

std::uint64_t SystemRandom::next()
{
    thread_local std::mt19937_64 engine = seededFromDevice();
    return engine();
}

std::string randomHex(RandomSource &random, std::size_t digits)
{
    static constexpr char Digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(digits);
    std::uint64_t bits = 0;
    for (std::size_t i = 0; i < digits; ++i) {
        if (i % 16 == 0) {
            bits = random.next();
        }
        text.push_back(Digits[bits & 0xf]);
        bits >>= 4;
    }
    return text;
}

} // namespace rhubarbtiller
