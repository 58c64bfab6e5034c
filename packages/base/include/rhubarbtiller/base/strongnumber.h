#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace rhubarbtiller {

/// A number with a unit or meaning that cannot be mixed up with other numbers.
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

    /// Returns the bare number. Precondition: none.
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

/// Distinguishes two runs of the process of one host; a later run has a larger number.
using Incarnation = StrongNumber<struct IncarnationTag, std::uint64_t>;

/// A rate in requests a second.
using RequestRate = StrongNumber<struct RequestRateTag, double>;

/// A number of requests that may come at once.
using RequestCount = StrongNumber<struct RequestCountTag, double>;

/// A number of concurrent requests that a backend server bears.
using SlotCount = StrongNumber<struct SlotCountTag, std::uint32_t>;

/// A size in bytes.
using ByteCount = StrongNumber<struct ByteCountTag, std::uint64_t>;

/// A share of a whole in percent, 0 to 100.
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
