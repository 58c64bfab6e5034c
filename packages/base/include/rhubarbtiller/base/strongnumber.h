#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace rhubarbtiller {

/// A number of one unit or meaning; numbers of different units do not convert to each other.
///
/// Thread safety: as a built-in number.
template<class Tag, class Representation>
class StrongNumber
{
public:
    constexpr StrongNumber() = default;

    constexpr explicit StrongNumber(Representation number) : value(number)
    {
    }

    /// Returns the underlying number. Precondition: none.
    constexpr Representation count() const
    {
        return this->value;
    }

    auto operator<=>(const StrongNumber &) const = default;

private:
    Representation value{};
};

/// The position of a change in the change log; 0 means that no configuration is known.
using ConfigVersion = StrongNumber<struct ConfigVersionTag, std::uint64_t>;

/// A unit of responsibility that exactly one host may own at a time.
using ShardId = StrongNumber<struct ShardIdTag, std::uint32_t>;

/// Identifies one run of a host's process; a later run has a larger number.
using Incarnation = StrongNumber<struct IncarnationTag, std::uint64_t>;

/// A rate in requests per second.
using RequestRate = StrongNumber<struct RequestRateTag, double>;

/// A number of requests, such as the burst that a rate limit allows.
using RequestCount = StrongNumber<struct RequestCountTag, double>;

/// A number of concurrent requests that a backend server accepts.
using SlotCount = StrongNumber<struct SlotCountTag, std::uint32_t>;

/// A size in bytes.
using ByteCount = StrongNumber<struct ByteCountTag, std::uint64_t>;

/// A fraction in percent, 0 to 100.
using Percent = StrongNumber<struct PercentTag, double>;

} // namespace rhubarbtiller

template<class Tag, class Representation>
struct std::hash<rhubarbtiller::StrongNumber<Tag, Representation>>
{
    std::size_t operator()(const rhubarbtiller::StrongNumber<Tag, Representation> &number) const noexcept
    {
        return std::hash<Representation>{}(number.count());
    }
};
