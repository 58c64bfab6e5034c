#include "ratehistory.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace rhubarbtiller;
using namespace rhubarbtiller::limits;

static const TokenLimit tenASecond{RequestRate(10), RequestCount(5)};

static AdmissionHistory atMilliseconds(const std::vector<int> &times)
{
    AdmissionHistory history;
    for (const int time : times) {
        history.emplace_back(std::chrono::milliseconds(time));
    }
    return history;
}

// Guards against a checker that flags histories which use the rate and burst exactly.
TEST_CASE("histories within the rate pass")
{
    CHECK(admittedWithinRate({}, tenASecond));
    CHECK(admittedWithinRate(atMilliseconds({0, 0, 0, 0, 0}), tenASecond));
    CHECK(admittedWithinRate(atMilliseconds({0, 0, 0, 0, 0, 100, 200, 300}), tenASecond));
    CHECK(admittedWithinRate(atMilliseconds({0, 0, 0, 0, 0, 500, 500, 500, 500, 500}), tenASecond));
}

// Guards against a checker that misses a violation in a short window, in a long one, or in one of several hosts' unsorted entries.
TEST_CASE("hand-made histories beyond the rate fail")
{
    SUBCASE("burst exceeded at one moment")
    {
        CHECK_FALSE(admittedWithinRate(atMilliseconds({0, 0, 0, 0, 0, 0}), tenASecond));
    }
    SUBCASE("one admission too early after a full burst")
    {
        CHECK_FALSE(admittedWithinRate(atMilliseconds({0, 0, 0, 0, 0, 99}), tenASecond));
    }
    SUBCASE("rate exceeded slightly over a long window")
    {
        std::vector<int> times;
        for (int i = 0; i < 200; ++i) {
            times.push_back(i * 95);
        }
        CHECK_FALSE(admittedWithinRate(atMilliseconds(times), tenASecond));
    }
    SUBCASE("violation in the middle of a long quiet history")
    {
        CHECK_FALSE(admittedWithinRate(atMilliseconds({0, 60000, 60001, 60002, 60003, 60004, 60005, 120000}), tenASecond));
    }
    SUBCASE("two hosts that each keep to the whole burst")
    {
        CHECK_FALSE(admittedWithinRate(atMilliseconds({0, 0, 0, 0, 0, 10, 10, 10, 10, 10}), tenASecond));
    }
    SUBCASE("unsorted")
    {
        CHECK_FALSE(admittedWithinRate(atMilliseconds({500, 2, 0, 3, 1, 4, 5}), tenASecond));
    }
}

// Guards against a sweep that disagrees with the definition over all windows.
TEST_CASE("the sweep agrees with the definition")
{
    const bool agrees = rc::check("every window", [] {
        const auto times = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 2000));
        AdmissionHistory history = atMilliseconds(times);
        std::sort(history.begin(), history.end());
        bool isWithin = true;
        for (std::size_t first = 0; first < history.size(); ++first) {
            for (std::size_t last = first; last < history.size(); ++last) {
                const double seconds = std::chrono::duration<double>(history[last] - history[first]).count();
                isWithin = isWithin && static_cast<double>(last - first + 1) <= 10 * seconds + 5 + 1e-6;
            }
        }
        RC_CLASSIFY(isWithin);
        RC_ASSERT(admittedWithinRate(atMilliseconds(times), tenASecond) == isWithin);
    });
    CHECK(agrees);
}
