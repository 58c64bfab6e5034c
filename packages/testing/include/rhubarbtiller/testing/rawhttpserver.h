#pragma once

#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/http/httpmessage.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace rhubarbtiller::testing {

/// One connection of a RawHttpServer; lets the handler send any bytes, also broken responses.
///
/// Thread safety: the thread of the io_context.
class RawConnection : public std::enable_shared_from_this<RawConnection>
{
public:
    using RequestHandler = std::function<void(http::HttpRequest, std::shared_ptr<RawConnection>)>;

    RawConnection(asio::ip::tcp::socket connectedSocket, RequestHandler requestHandler);
    ~RawConnection();
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    /// Begins to read requests. Precondition: called once.
    void start();

    /// Sends a whole response and reads the next request afterwards. Precondition: a request is being handled.
    void respond(const http::HttpResponse &response);

    /// Sends bytes as they are and closes the connection afterwards if told so. Precondition: none.
    void sendRaw(const std::string &bytes, bool closeAfterwards);

    /// Lets the next request be read after responses sent with sendRaw(). Precondition: a request is being handled.
    void finishRequest();

    /// Closes the connection so that the peer sees a reset. Precondition: none.
    void reset();

    /// Has \p handler called once if the connection closes while the current request is handled.
    void onClose(std::function<void()> handler);

    /// Returns the bytes of a response with its Content-Length. Precondition: none.
    static std::string serialise(const http::HttpResponse &response);

private:
    struct Parser;

    void readMore();
    void parseBuffered();
    void writeNext();
    void close();

    asio::ip::tcp::socket socket;
    RequestHandler handleRequest;
    std::unique_ptr<Parser> parser;
    std::array<char, 16384> readBuffer{};
    std::string unparsed;
    std::string outgoing;
    std::string sending;
    std::function<void()> closeHandler;
    bool isHandling = false;
    bool isClosingAfterWrite = false;
    bool isClosed = false;
};

/// A minimal HTTP/1.1 server for stand-ins.
///
/// It runs on a caller's io_context, which must have one thread.
class RawHttpServer
{
public:
    /// Precondition: \p context outlives the server.
    RawHttpServer(asio::io_context &context, RawConnection::RequestHandler requestHandler);

    /// Binds "ip:port" (port 0 for any free one) and accepts. Throws std::system_error if that fails.
    void start(const Endpoint &address);

    /// Returns the bound address. Precondition: started.
    Endpoint boundAddress() const;

private:
    void acceptNext();

    asio::ip::tcp::acceptor acceptor;
    RawConnection::RequestHandler handleRequest;
};

} // namespace rhubarbtiller::testing
