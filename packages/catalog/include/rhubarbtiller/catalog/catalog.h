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

/// What may be done with a request whose outcome is unknown.
enum class RetrySemantics {
    Idempotent,
    AtMostOnce,
};

/// One of the services that a route divides its requests among.
struct WeightedService
{
    ServiceName service;
    /// Relative to the other shares of the route; above zero.
    double weight = 1;
};

/// Requests of one virtual host below one path prefix.
struct Route
{
    RouteName name;
    std::string virtualHost;
    /// Begins and ends with a slash.
    std::string prefix;
    RetrySemantics retrySemantics = RetrySemantics::AtMostOnce;
    /// How long a caller is kept waiting at most.
    Duration timeLimit{};
    /// 0 is served first.
    int priority = 0;
    std::vector<WeightedService> weightedServices;
    /// Servers to which one request may be sent.
    unsigned maxAttempts = 1;
    /// Whether requests need no key.
    bool isPublic = false;
};

/// A service that backend servers belong to.
struct Service
{
    ServiceName name;
    /// Requests a second that a cold server tolerates.
    RequestRate coldRate;
};

/// An organisation with its rate over all hosts; a rate of 0 has no bound.
struct Organisation
{
    OrganisationId id;
    /// Goes before the priority of the route.
    std::optional<int> priority;
    RequestRate rate;
    RequestCount burst;
};

/// What a caller may send.
struct RequestSizeLimits
{
    ByteCount maxHeader{16 * 1024};
    ByteCount maxBody{64 * 1024 * 1024};
};

/// The parts that a catalog is built from.
struct CatalogParts
{
    ConfigVersion version;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Organisation> organisations;
    /// Pairs of a key and the position of its organisation.
    std::vector<std::pair<std::string, std::size_t>> keys;
    RequestSizeLimits limits;
};

/// One version of the routes, services, organisations and keys; immutable.
///
/// Thread safety: any thread.
class Catalog
{
public:
    /// Precondition: each position in \p parts.keys names an organisation.
    explicit Catalog(CatalogParts parts);

    /// Returns the route with the longest prefix of \p path on \p virtualHost, or nullptr. Precondition: none.
    const Route *findRoute(std::string_view virtualHost, std::string_view path) const;

    /// Returns the organisation that holds \p key, or nullptr. Precondition: none.
    const Organisation *findOrganisation(std::string_view key) const;

    /// Returns a service by its name, or nullptr. Precondition: none.
    const Service *findService(const ServiceName &name) const;

    /// Returns the version that the operator gave. Precondition: none.
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
    /// Positions of routes, by virtual host and prefix joined.
    std::unordered_map<std::string, std::size_t, TextHash, std::equal_to<>> routeIndex;
    std::unordered_map<std::string, std::size_t, TextHash, std::equal_to<>> keyIndex;
    std::unordered_map<ServiceName, std::size_t> serviceIndex;
};

} // namespace rhubarbtiller::catalog
