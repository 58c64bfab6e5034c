#pragma once

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdint>
#include <string>

namespace rhubarbtiller::peer {

inline constexpr std::uint32_t MaxFrameBytes = 16 * 1024 * 1024;

/// Before the peer has proved the credential, it gets no memory for larger frames.
inline constexpr std::uint32_t MaxHandshakeFrameBytes = 4096;

inline constexpr std::size_t FrameHeaderBytes = 4;

/// Returns a message as a frame: its length in four bytes, most significant first, and its compact encoding.
template<class Message>
std::string encodeFrame(const Message &message)
{
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(buffer);
    message.write(&protocol);
    const std::string body = buffer->getBufferAsString();
    const auto length = static_cast<std::uint32_t>(body.size());
    std::string frame;
    frame.reserve(FrameHeaderBytes + body.size());
    for (const int shift : {24, 16, 8, 0}) {
        frame.push_back(static_cast<char>((length >> shift) & 0xff));
    }
    return frame + body;
}

/// Reads a message from the body of a frame; returns false if it is malformed.
template<class Message>
bool decodeBody(std::string &body, Message &message)
{
    // Thrift reports malformed input by exceptions only; none may leave this package.
    try {
        auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>(reinterpret_cast<std::uint8_t *>(body.data()),
                                                                                 static_cast<std::uint32_t>(body.size()));
        const auto limit = static_cast<std::int32_t>(MaxFrameBytes);
        apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(buffer, limit, limit);
        message.read(&protocol);
        return true;
    } catch (const std::exception &) {
        return false;
    }
}

} // namespace rhubarbtiller::peer
