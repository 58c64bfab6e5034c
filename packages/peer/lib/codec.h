#pragma once

#include <rhubarbtiller/peer/errors.h>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdint>
#include <memory>
#include <string>

namespace rhubarbtiller::peer {

// The limits of a frame; see docs/design.md section 5.
static constexpr std::size_t MaxFrame = 16 * 1024 * 1024;
static constexpr std::size_t MaxUnauthenticatedFrame = 4 * 1024;

/// Returns the compact form of a Thrift structure. Thread safety: any thread.
template<class Message>
std::string encodeMessage(const Message &message)
{
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(buffer);
    message.write(&protocol);
    return buffer->getBufferAsString();
}

/// Reads a Thrift structure that takes up all of \p bytes; returns false if it does not. Thread safety: any thread.
template<class Message>
bool decodeMessage(const std::string &bytes, Message &message)
{
    try {
        // The buffer only observes the bytes; Thrift takes them without const.
        auto *data = reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data())); // NOLINT
        const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>(data, static_cast<std::uint32_t>(bytes.size()));
        apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(buffer);
        message.read(&protocol);
        return buffer->available_read() == 0;
    } catch (const std::exception &) {
        return false;
    }
}

} // namespace rhubarbtiller::peer
