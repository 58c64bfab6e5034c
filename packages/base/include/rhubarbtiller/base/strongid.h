#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace rhubarbtiller {

/// A textual identifier of one kind; identifiers of different kinds do not convert to each other.
///
/// Thread safety: as a std::string.
template<class Tag>
class StrongId
{
public:
    StrongId() = default;

    explicit StrongId(std::string text) : value(std::move(text))
    {
    }

    /// Returns the text of the identifier. Precondition: none.
    const std::string &text() const
    {
        return this->value;
    }

    /// Returns whether the identifier is empty. Precondition: none.
    bool isEmpty() const
    {
        return this->value.empty();
    }

    auto operator<=>(const StrongId &) const = default;

private:
    std::string value;
};

using HostId = StrongId<struct HostIdTag>;
using FailureDomainId = StrongId<struct FailureDomainIdTag>;
using OrganisationId = StrongId<struct OrganisationIdTag>;
using BackendServerId = StrongId<struct BackendServerIdTag>;
using RouteName = StrongId<struct RouteNameTag>;
using PoolName = StrongId<struct PoolNameTag>;
using KeyName = StrongId<struct KeyNameTag>;

/// Identifies one request over all hops; unique for each attempt that may be executed.
using RequestId = StrongId<struct RequestIdTag>;

/// Identifies one attempt of an operator or a host to change the configuration.
using ChangeId = StrongId<struct ChangeIdTag>;

/// The SHA-256 digest of a caller's key, as 64 lower-case hexadecimal digits.
using KeyDigest = StrongId<struct KeyDigestTag>;

/// An "ip:port" pair in text form.
using Endpoint = StrongId<struct EndpointTag>;

} // namespace rhubarbtiller

template<class Tag>
struct std::hash<rhubarbtiller::StrongId<Tag>>
{
    std::size_t operator()(const rhubarbtiller::StrongId<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.text());
    }
};
