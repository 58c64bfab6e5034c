#pragma once

#include <rhubarbtiller/base/strongid.h>

#include <string>

namespace rhubarbtiller::tablestore {

/// Where a service of the platform listens and what it asks for.
struct ServiceAccess
{
    Endpoint server;
    /// The region of the signature, as in "us-east-1"; empty sends unsigned calls.
    std::string region;
    /// "access key:secret key"; never logged.
    std::string credential;
};

} // namespace rhubarbtiller::tablestore
