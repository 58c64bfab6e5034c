#pragma once

#include <rhubarbtiller/base/strongnumber.h>

#include <cstdint>

namespace rhubarbtiller::health {

/// Requests in progress and waiting at a server, relative to its limit, in thousandths.
using LoadFigure = StrongNumber<struct LoadFigureTag, std::uint32_t>;

/// The share of its usual load that a server should get, 0.1 to 1.
using ServerWeight = StrongNumber<struct ServerWeightTag, double>;

/// Identifies one granted slot; never reused by one ServerSlots object.
using SlotLeaseId = StrongNumber<struct SlotLeaseIdTag, std::uint64_t>;

/// Identifies one call of ServerSlots::acquire().
using SlotTicket = StrongNumber<struct SlotTicketTag, std::uint64_t>;

/// Distinguishes two periods of ownership of one pool; 0 means that none is known.
using PoolOwnerEpoch = StrongNumber<struct PoolOwnerEpochTag, std::uint64_t>;

} // namespace rhubarbtiller::health
