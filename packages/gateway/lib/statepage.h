#pragma once

#include "rolloutcontrol.h"
#include "statesync.h"

#include <rhubarbtiller/balance/hostdirectory.h>
#include <rhubarbtiller/balance/organisationquota.h>
#include <rhubarbtiller/balance/requestqueue.h>
#include <rhubarbtiller/balance/scoreboard.h>

#include <string>

namespace rhubarbtiller::gateway {

/// Inputs of the state page.
struct StatePageParts
{
    const balance::HostDirectory &directory;
    const balance::Scoreboard &board;
    const balance::OrganisationQuota &quota;
    const catalog::FleetState *state;
    OwnReplicaStatus replicaStatus;
    bool isReady = false;
    std::uint64_t requestsInProgress = 0;
    /// The roll-outs of service versions; null for none.
    const RolloutControl *rollouts = nullptr;
    /// Left out of the page if null.
    const balance::RequestQueue *queue = nullptr;
    const balance::ServiceTimes *serviceTimes = nullptr;
};

/// Returns the state of this host as a JSON document for operators.
///
/// Precondition: none. Thread safety: the thread that owns the parts.
std::string statePage(const StatePageParts &parts, MonotonicTime now);

} // namespace rhubarbtiller::gateway
