#pragma once

#include "limitedhost.h"
#include "rawcallers.h"

#include <chrono>
#include <cstddef>
#include <string>

namespace rhubarbtiller::callerlimits {

/// The limit of open files, and the number of them that the process stays within. The rest is for connections to backend servers and peers.
inline constexpr unsigned MaxDescriptors = 256;
inline constexpr std::size_t DescriptorBound = 224;

/// Sizes of the pieces that callers send in turn, in bytes.
inline constexpr std::size_t WholePiece = 1'000'000;
inline constexpr std::size_t SmallPiece = 4'000;

inline constexpr std::chrono::seconds AnswerTimeout{20};

/// Whether callers send the end of a body.
enum class BodyEnd {
    Missing,
    Sent,
};

/// Returns the request line and the header lines of a caller, without the empty line. Precondition: none. Thread safety: any thread.
std::string requestHead(const std::string &method, const std::string &target);

/// Returns a request with a body of \p bodySize bytes by Content-Length. Precondition: the size is above 10. Thread safety: any thread.
CallerLoad lengthLoad(std::size_t bodySize, const std::string &target = "/x", BodyEnd end = BodyEnd::Missing);

/// Returns a request with a body of about \p bodySize bytes in chunks of \p chunkSize. Precondition: sizes above 0. Thread safety: any
/// thread.
CallerLoad chunkedLoad(std::size_t bodySize, std::size_t chunkSize, const std::string &target = "/x", BodyEnd end = BodyEnd::Missing);

/// Returns the status of the response to a small request, or 0 without a response. Precondition: none. Thread safety: any thread.
int ordinaryStatus(const std::string &address, const std::string &target);

/// Waits until the host has read what the kernel holds for it: its memory has stopped to grow. Precondition: it runs.
void waitUntilRead(const LimitedHost &host);

/// Checks what holds under every load: the process runs within its memory and answers on each port. Precondition: within a test case.
void checkHost(LimitedHost &host, unsigned memoryMegabytes);

} // namespace rhubarbtiller::callerlimits
