#include <rhubarbtiller/http/compression.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::http;

/// Returns text that has little to leave out, of the size.
static std::string variedText(std::size_t size)
{
    std::string text(size, '\0');
    std::uint32_t state = 1;
    for (auto &each : text) {
        state = state * 1664525 + 1013904223;
        each = static_cast<char>(state >> 24);
    }
    return text;
}

TEST_CASE("deflated bytes come back whole")
{
    for (const std::size_t size : {0UL, 1UL, 65'535UL, 65'536UL, 200'001UL}) {
        const auto text = variedText(size) + std::string(size, 'r');
        const auto back = inflated(deflated(text), ByteCount(1'000'000));
        REQUIRE(back);
        CHECK(*back == text);
    }
}

TEST_CASE("repeated text gets much smaller")
{
    CHECK(deflated(std::string(100'000, 'r')).size() < 1'000);
}

TEST_CASE("output beyond the limit is refused")
{
    const auto bytes = deflated(std::string(100'000, 'r'));
    CHECK(inflated(bytes, ByteCount(100'001)));
    CHECK_FALSE(inflated(bytes, ByteCount(99'999)));
}

TEST_CASE("bytes that are cut off, changed or followed by others are refused")
{
    const auto bytes = deflated(variedText(1'000));
    CHECK_FALSE(inflated(bytes.substr(0, bytes.size() - 1), ByteCount(10'000)));
    CHECK_FALSE(inflated(bytes + "x", ByteCount(10'000)));
    auto changed = bytes;
    changed[changed.size() / 2] = static_cast<char>(changed[changed.size() / 2] ^ 1);
    CHECK_FALSE(inflated(changed, ByteCount(10'000)));
    CHECK_FALSE(inflated("", ByteCount(10'000)));
    CHECK_FALSE(inflated("\xff\xff garbage", ByteCount(10'000)));
}
