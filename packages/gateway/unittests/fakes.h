#pragma once

#include <rhubarbtiller/gateway/dialect.h>
#include <rhubarbtiller/gateway/statesource.h>

#include <charconv>
#include <deque>

namespace rhubarbtiller::gateway {

/// A dialect with plain header names, so that the tests of the gateway do not depend on a platform.
class PlainDialect : public Dialect
{
public:
    std::variant<CallerRequest, Refusal> decode(http::HttpRequest message) const override
    {
        CallerRequest request;
        request.id = RequestId(std::string(findHeader(message.headers, "Id")));
        if (request.id.isEmpty()) {
            return Refusal{RefusalReason::Malformed, true, {}};
        }
        request.virtualHost = std::string(findHeader(message.headers, "Host"));
        request.path = message.target;
        if (const auto key = findHeader(message.headers, "Key"); !key.empty()) {
            request.key = std::string(key);
        }
        const auto timeout = findHeader(message.headers, "Patience");
        int milliseconds = 0;
        if (std::from_chars(timeout.data(), timeout.data() + timeout.size(), milliseconds).ec == std::errc()) {
            request.timeout = std::chrono::milliseconds(milliseconds);
        }
        removeHeader(message.headers, "Key");
        removeHeader(message.headers, "Content-Length");
        request.message = std::move(message);
        return request;
    }

    http::HttpRequest encodeAttempt(const CallerRequest &request, const AttemptParameters &parameters) const override
    {
        auto message = request.message;
        message.headers.push_back({"Server", parameters.server.text()});
        return message;
    }

    BackendResponseCorrelation correlationOf(const http::HttpResponse &response, const RequestId &request) const override
    {
        const auto id = findHeader(response.headers, "Id");
        if (id.empty()) {
            return BackendResponseCorrelation::NoRequestId;
        }
        return id == request.text() ? BackendResponseCorrelation::ThisRequest : BackendResponseCorrelation::OtherRequest;
    }

    BackendResponseClass classify(const http::HttpResponse &response) const override
    {
        if (!findHeader(response.headers, "Not-Run").empty()) {
            return BackendResponseClass::NotRun;
        }
        if (!findHeader(response.headers, "Wrong-Server").empty()) {
            return BackendResponseClass::WrongServer;
        }
        return response.status >= 500 ? BackendResponseClass::RanAndFailed : BackendResponseClass::Ran;
    }

    http::HttpResponse callerResponse(http::HttpResponse response) const override
    {
        return response;
    }

    http::HttpResponse refusalResponse(const Refusal &refusal, const RequestId &) const override
    {
        http::HttpResponse response{refusal.isNotRun ? 503 : 502, {{"Reason", std::string(refusalReasonName(refusal.reason))}}, {}};
        if (refusal.retryAfter) {
            response.headers.push_back(
                {"Return-After", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(*refusal.retryAfter).count())});
        }
        return response;
    }

    std::optional<Duration> keepAliveTimeout(const http::HttpResponse &) const override
    {
        return std::nullopt;
    }

    std::optional<FailureDomainId> decodeAddressQuery(const http::HttpRequest &) const override
    {
        return std::nullopt;
    }

    http::HttpResponse addressResponse(const std::vector<Endpoint> &, Duration) const override
    {
        return {};
    }

    bool isReadinessProbe(const http::HttpRequest &) const override
    {
        return false;
    }
};

/// A store whose replies are supplied by the test.
class FakeSource : public StateSource
{
public:
    struct Call
    {
        SourceTable table;
        bool isWhole;
        std::uint64_t after;
        BatchHandler handler;
    };

    void read(SourceTable table, BatchHandler handler) override
    {
        this->calls.push_back({table, true, 0, std::move(handler)});
    }

    void watch(SourceTable table, std::uint64_t after, std::chrono::milliseconds, BatchHandler handler) override
    {
        this->calls.push_back({table, false, after, std::move(handler)});
    }

    void write(SourceTable, std::string, std::string, WriteHandler handler) override
    {
        handler({});
    }

    void write(SourceTable, std::string, std::string, std::uint64_t, WriteHandler handler) override
    {
        handler({});
    }

    /// Completes the oldest call for a table. Precondition: there is one.
    void answer(SourceTable table, const Result<SourceBatch> &result)
    {
        const auto found = std::find_if(this->calls.begin(), this->calls.end(), [table](const Call &call) {
            return call.table == table;
        });
        const auto handler = found->handler;
        this->calls.erase(found);
        handler(result);
    }

    /// Returns the oldest call for a table, or nullptr.
    const Call *pending(SourceTable table) const
    {
        const auto found = std::find_if(this->calls.begin(), this->calls.end(), [table](const Call &call) {
            return call.table == table;
        });
        return found == this->calls.end() ? nullptr : &*found;
    }

    std::deque<Call> calls;
};

/// Decodes the value of a server row as its state, and the value of the row "config" as the configuration version.
class PlainDecoder : public StateDecoder
{
public:
    std::shared_ptr<const catalog::Catalog> catalog(const ReplicatedRows &rows) const override
    {
        const auto row = rows.find("config");
        if (row == rows.end()) {
            return nullptr;
        }
        catalog::CatalogParts parts;
        parts.version = ConfigVersion(std::stoull(row->second.value));
        return std::make_shared<const catalog::Catalog>(std::move(parts));
    }

    std::set<FailureDomainId> evacuatedDomains(const ReplicatedRows &) const override
    {
        return {};
    }

    std::map<catalog::ServiceName, catalog::RolloutOrder> rolloutOrders(const ReplicatedRows &) const override
    {
        return {};
    }

    std::optional<catalog::RolloutStatus> rolloutStatus(const SourceRow &) const override
    {
        return std::nullopt;
    }

    std::pair<std::string, std::string> encodeRolloutStatus(const catalog::RolloutStatus &) const override
    {
        return {};
    }

    std::optional<catalog::ServerEntry> server(const std::string &key, const ReplicatedRow &row) const override
    {
        if (row.value == "odd") {
            return std::nullopt;
        }
        catalog::ServerEntry entry;
        entry.id = BackendServerId(key);
        entry.isDraining = row.value == "draining";
        return entry;
    }

    std::partial_ordering
    compareValues(SourceTable table, const std::string &key, const std::string &left, const std::string &right) const override
    {
        if (table == SourceTable::Servers) {
            return (left == "draining") <=> (right == "draining");
        }
        return key == "config" ? std::stoull(left) <=> std::stoull(right) : std::partial_ordering::unordered;
    }
};

} // namespace rhubarbtiller::gateway
