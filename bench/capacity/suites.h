#pragma once

#include "report.h"

namespace rhubarbtiller::bench {

/// Memory of snapshots and routing views, and the time to apply changes. Thread safety: one thread.
void measureConfiguration(Report &report);

/// Vote leases, freshness leases and the publication of LeaseView. Thread safety: one thread.
void measureLeases(Report &report);

/// Bytes and processor time of the messages between hosts. Thread safety: one thread.
void measureMessages(Report &report);

/// The burden of each role at the target size, from the placement, and what the loss of hosts leaves. Thread safety: one thread.
void measureRoles(Report &report);

/// The time until a change is settled, and the leases without the store, of whole fleets in virtual time. Thread safety: one thread.
void measureEvidence(Report &report);

/// Per-server and per-organisation state: slots, outlier detection, rate shares, remembered requests. Thread safety: one thread.
void measureServers(Report &report);

} // namespace rhubarbtiller::bench
