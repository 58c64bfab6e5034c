#include <rhubarbtiller/http/compression.h>

#include <zlib.h>

#include <algorithm>
#include <cassert>

namespace rhubarbtiller::http {

/// The output grows by as much at a time, in bytes.
static constexpr std::size_t OutputStep = 64 * 1024;

std::string deflated(std::string_view bytes)
{
    auto size = compressBound(static_cast<uLong>(bytes.size()));
    std::string result(size, '\0');
    // Favours processor time over size.
    [[maybe_unused]] const int status = compress2(reinterpret_cast<Bytef *>(result.data()),
                                                  &size,
                                                  reinterpret_cast<const Bytef *>(bytes.data()),
                                                  static_cast<uLong>(bytes.size()),
                                                  Z_BEST_SPEED);
    assert(status == Z_OK && "the output has room for any input");
    result.resize(size);
    return result;
}

std::optional<std::string> inflated(std::string_view bytes, ByteCount most)
{
    z_stream stream{};
    if (inflateInit(&stream) != Z_OK) {
        return std::nullopt;
    }
    stream.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(bytes.data()));
    stream.avail_in = static_cast<uInt>(bytes.size());
    // One byte more than allowed shows that there is too much.
    const auto limit = static_cast<std::size_t>(most.count()) + 1;
    std::string result;
    int status = Z_OK;
    while (status == Z_OK && result.size() < limit) {
        const auto before = result.size();
        result.resize(before + std::min(OutputStep, limit - before));
        stream.next_out = reinterpret_cast<Bytef *>(result.data() + before);
        stream.avail_out = static_cast<uInt>(result.size() - before);
        status = inflate(&stream, Z_NO_FLUSH);
        result.resize(result.size() - stream.avail_out);
    }
    const bool isWhole = status == Z_STREAM_END && stream.avail_in == 0 && result.size() < limit;
    inflateEnd(&stream);
    return isWhole ? std::optional(std::move(result)) : std::nullopt;
}

} // namespace rhubarbtiller::http
