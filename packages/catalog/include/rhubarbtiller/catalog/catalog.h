#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/base/strongnumber.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rhubarbtiller::catalog {

using ServiceName = StrongId<struct ServiceNameTag>;

/// Whether a request whose outcome is unknown may be retried.
enum class RetrySemantics {
    Idempotent,
    AtMostOnce,
};

/// One of the services among which a route splits its requests.
struct WeightedService
{
    ServiceName service;
    /// Relative to the other services of the route; greater than 0.
    double weight = 1;
};

/// Applies to the requests of one virtual host whose path has the prefix.
struct Route
{
    RouteName name;
    std::string virtualHost;
    /// Begins and ends with a slash.
    std::string prefix;
    RetrySemantics retrySemantics = RetrySemantics::AtMostOnce;
    /// Maximum time until the caller gets a response.
    Duration timeLimit{};
    /// Time within which callers want their response; 0 if the route states none.
    Duration latencyObjective{};
    /// 0 is the highest priority.
    int priority = 0;
    std::vector<WeightedService> weightedServices;
    /// Maximum number of backend servers to which one request is sent.
    unsigned maxAttempts = 1;
    /// Whether requests need no key.
    bool isPublic = false;
};

/// A service that a group of backend servers provides.
struct Service
{
    ServiceName name;
    /// Maximum requests per second to a server that is warming up.
    RequestRate coldRate;
};

/// An organisation and its rate limit over all hosts; a rate of 0 means no limit.
struct Organisation
{
    OrganisationId id;
    /// Overrides the priority of the route.
    std::optional<int> priority;
    RequestRate rate;
    RequestCount burst;
};

/// Maximum sizes of a caller's request, and time limits of its connection.
struct RequestSizeLimits
{
    ByteCount maxHeader{16 * 1024};
    ByteCount maxBody{64 * 1024 * 1024};
    /// Time for a header from its first byte on, if stated.
    std::optional<Duration> headerTime;
    /// Time that callers may leave a connection unused, if stated.
    std::optional<Duration> idleTime;
};

/// The parts that a catalog is built from.
struct CatalogParts
{
    ConfigVersion version;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Organisation> organisations;
    /// Pairs of a key and the index of its organisation in organisations.
    std::vector<std::pair<std::string, std::size_t>> keys;
    RequestSizeLimits limits;
};

/// One version of the routes, services, organisations and keys; immutable.
///
/// Thread safety: any thread.
class Catalog
{
public:
    /// Precondition: each index in \p parts.keys is valid in \p parts.organisations.
    explicit Catalog(CatalogParts parts);

    /// Returns the route with the longest prefix of \p path on \p virtualHost, or nullptr. Precondition: none.
    const Route *findRoute(std::string_view virtualHost, std::string_view path) const;

    /// Returns the organisation to which \p key belongs, or nullptr. Precondition: none.
    const Organisation *findOrganisation(std::string_view key) const;

    /// Returns the service called \p name, or nullptr. Precondition: none.
    const Service *findService(const ServiceName &name) const;

    /// Returns the version assigned by the operator. Precondition: none.
    ConfigVersion version() const
    {
        return this->content.version;
    }

    const std::vector<Organisation> &organisations() const
    {
        return this->content.organisations;
    }

    const std::vector<Route> &routes() const
    {
        return this->content.routes;
    }

    const RequestSizeLimits &limits() const
    {
        return this->content.limits;
    }

private:
    struct TextHash
    {
        using is_transparent = void; // NOLINT(readability-identifier-naming): name given by the standard
        std::size_t operator()(std::string_view text) const
        {
            return std::hash<std::string_view>{}(text);
        }
    };

    CatalogParts content;
    /// Indices into the routes; the key joins virtual host and prefix.
    std::unordered_map<std::string, std::size_t, TextHash, std::equal_to<>> routeIndex;
    std::unordered_map<std::string, std::size_t, TextHash, std::equal_to<>> keyIndex;
    std::unordered_map<ServiceName, std::size_t> serviceIndex;
};

} // namespace rhubarbtiller::catalog
