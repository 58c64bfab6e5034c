#pragma once

#include <rhubarbtiller/base/strongnumber.h>

#include <cstdint>

namespace rhubarbtiller::http {

/// Returns whether a message takes so many bytes beside its body that it may never end.
///
/// \p taken counts all bytes of the message, \p body those of its body. Precondition: \p taken is not below \p body. Thread safety: any
/// thread.
inline bool isOverheadEndless(ByteCount taken, ByteCount body)
{
    // The head, interim responses, trailers and the extensions of chunks.
    constexpr std::uint64_t FreeBytes = 256 * 1024;
    // A chunk of one byte has five more.
    constexpr std::uint64_t BytesPerBodyByte = 8;
    return taken.count() - body.count() > FreeBytes + BytesPerBodyByte * body.count();
}

} // namespace rhubarbtiller::http
