#pragma once

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace rhubarbtiller::gateway {

/// Encodes a message in Thrift's compact protocol. Thread safety: any thread.
template<class Message>
std::string encodeThrift(const Message &message)
{
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol(buffer);
    message.write(&protocol);
    return buffer->getBufferAsString();
}

/// Decodes a message; returns nothing if the bytes are malformed. Thread safety: any thread.
template<class Message>
std::optional<Message> decodeThrift(std::string_view bytes)
{
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>(
        reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data())), static_cast<std::uint32_t>(bytes.size()));
    // Bounds the memory that a malformed length can allocate.
    constexpr int MaxTextSize = 64 * 1024 * 1024;
    constexpr int MaxListSize = 100'000;
    apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TTransport> protocol(buffer, MaxTextSize, MaxListSize);
    Message message;
    try {
        message.read(&protocol);
    } catch (const std::exception &) {
        // Thrift reports every encoding error by an exception; the caller logs it.
        return std::nullopt;
    }
    return message;
}

} // namespace rhubarbtiller::gateway
