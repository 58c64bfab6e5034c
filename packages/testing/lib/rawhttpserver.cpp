#include <rhubarbtiller/testing/rawhttpserver.h>

#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <http_parser.h>

#include <utility>

namespace rhubarbtiller::testing {

struct RawConnection::Parser
{
    Parser()
    {
        http_parser_init(&this->state, HTTP_REQUEST);
        this->state.data = this;
        http_parser_settings_init(&this->settings);
        this->settings.on_message_begin = [](http_parser *raw) {
            self(raw).request = {};
            self(raw).body = {};
            self(raw).isValueLast = true;
            self(raw).isComplete = false;
            return 0;
        };
        this->settings.on_url = [](http_parser *raw, const char *bytes, std::size_t count) {
            self(raw).request.target.append(bytes, count);
            return 0;
        };
        this->settings.on_header_field = [](http_parser *raw, const char *bytes, std::size_t count) {
            if (std::exchange(self(raw).isValueLast, false)) {
                self(raw).request.headers.emplace_back();
            }
            self(raw).request.headers.back().name.append(bytes, count);
            return 0;
        };
        this->settings.on_header_value = [](http_parser *raw, const char *bytes, std::size_t count) {
            self(raw).isValueLast = true;
            self(raw).request.headers.back().value.append(bytes, count);
            return 0;
        };
        this->settings.on_body = [](http_parser *raw, const char *bytes, std::size_t count) {
            self(raw).body.append(bytes, count);
            return 0;
        };
        this->settings.on_message_complete = [](http_parser *raw) {
            self(raw).request.body = std::exchange(self(raw).body, {});
            self(raw).request.method = http_method_str(static_cast<http_method>(raw->method));
            self(raw).isComplete = true;
            http_parser_pause(raw, 1);
            return 0;
        };
    }

    static Parser &self(http_parser *raw)
    {
        return *static_cast<Parser *>(raw->data);
    }

    http_parser state{};
    http_parser_settings settings{};
    http::HttpRequest request;
    std::string body;
    bool isValueLast = true;
    bool isComplete = false;
};

RawConnection::RawConnection(asio::ip::tcp::socket connectedSocket, RequestHandler requestHandler)
    : socket(std::move(connectedSocket)), handleRequest(std::move(requestHandler)), parser(std::make_unique<Parser>())
{
}

RawConnection::~RawConnection() = default;

void RawConnection::start()
{
    std::error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    this->readMore();
}

std::string RawConnection::serialise(const http::HttpResponse &response)
{
    std::string text
        = "HTTP/1.1 " + std::to_string(response.status) + " " + http_status_str(static_cast<http_status>(response.status)) + "\r\n";
    for (const auto &header : response.headers) {
        text += header.name + ": " + header.value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
}

void RawConnection::respond(const http::HttpResponse &response)
{
    this->sendRaw(serialise(response), false);
    this->finishRequest();
}

void RawConnection::sendRaw(const std::string &bytes, bool closeAfterwards)
{
    if (this->isClosed) {
        return;
    }
    this->outgoing += bytes;
    this->isClosingAfterWrite = this->isClosingAfterWrite || closeAfterwards;
    this->writeNext();
}

void RawConnection::finishRequest()
{
    this->isHandling = false;
    this->closeHandler = nullptr;
    // A handler that answers at once is still inside parseBuffered().
    asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
        self->parseBuffered();
    });
}

void RawConnection::reset()
{
    std::error_code ignored;
    this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    this->close();
}

void RawConnection::onClose(std::function<void()> handler)
{
    this->closeHandler = std::move(handler);
}

void RawConnection::readMore()
{
    this->socket.async_read_some(asio::buffer(this->readBuffer),
                                 [self = this->shared_from_this()](std::error_code error, std::size_t count) {
                                     if (error) {
                                         self->close();
                                         return;
                                     }
                                     self->unparsed.append(self->readBuffer.data(), count);
                                     self->parseBuffered();
                                     if (!self->isClosed) {
                                         self->readMore();
                                     }
                                 });
}

void RawConnection::parseBuffered()
{
    while (!this->isHandling && !this->isClosed && !this->unparsed.empty()) {
        http_parser_pause(&this->parser->state, 0);
        const std::size_t used
            = http_parser_execute(&this->parser->state, &this->parser->settings, this->unparsed.data(), this->unparsed.size());
        this->unparsed.erase(0, used);
        const auto error = HTTP_PARSER_ERRNO(&this->parser->state);
        if (error != HPE_OK && error != HPE_PAUSED) {
            this->close();
            return;
        }
        if (!this->parser->isComplete) {
            return;
        }
        this->parser->isComplete = false;
        this->isHandling = true;
        this->handleRequest(std::move(this->parser->request), this->shared_from_this());
    }
}

void RawConnection::writeNext()
{
    if (!this->sending.empty() || this->isClosed) {
        return;
    }
    if (this->outgoing.empty()) {
        if (this->isClosingAfterWrite) {
            this->close();
        }
        return;
    }
    this->sending = std::exchange(this->outgoing, {});
    asio::async_write(this->socket, asio::buffer(this->sending), [self = this->shared_from_this()](std::error_code error, std::size_t) {
        self->sending.clear();
        if (error) {
            self->close();
            return;
        }
        self->writeNext();
    });
}

void RawConnection::close()
{
    if (std::exchange(this->isClosed, true)) {
        return;
    }
    std::error_code ignored;
    this->socket.close(ignored);
    if (auto handler = std::exchange(this->closeHandler, nullptr)) {
        handler();
    }
}

RawHttpServer::RawHttpServer(asio::io_context &context, RawConnection::RequestHandler requestHandler)
    : acceptor(context), handleRequest(std::move(requestHandler))
{
}

void RawHttpServer::start(const Endpoint &address)
{
    const auto colon = address.text().rfind(':');
    if (colon == std::string::npos) {
        throw std::system_error(std::make_error_code(std::errc::invalid_argument), "address is not ip:port");
    }
    const auto ip = asio::ip::make_address(address.text().substr(0, colon));
    const asio::ip::tcp::endpoint endpoint(ip, static_cast<std::uint16_t>(std::stoul(address.text().substr(colon + 1))));
    this->acceptor.open(endpoint.protocol());
    this->acceptor.set_option(asio::socket_base::reuse_address(true));
    this->acceptor.bind(endpoint);
    this->acceptor.listen();
    this->acceptNext();
}

Endpoint RawHttpServer::boundAddress() const
{
    const auto endpoint = this->acceptor.local_endpoint();
    return Endpoint(endpoint.address().to_string() + ":" + std::to_string(endpoint.port()));
}

void RawHttpServer::acceptNext()
{
    this->acceptor.async_accept([this](std::error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            std::make_shared<RawConnection>(std::move(socket), this->handleRequest)->start();
        }
        this->acceptNext();
    });
}

} // namespace rhubarbtiller::testing
