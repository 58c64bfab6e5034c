#pragma once

#include "ratehistory.h"

#include <rhubarbtiller/limits/borrowing.h>
#include <rhubarbtiller/limits/rateshares.h>

#include <cstdint>
#include <string>
#include <vector>

namespace rhubarbtiller::limits {

/// A part of the mechanism that a run takes out, to show that the history checker notices.
enum class Fault {
    None,
    /// A share that arrives brings a full bucket with it.
    FreshBucketFull,
    /// Lent shares are used after their deadline.
    DeadlineIgnored,
    /// Each reply of a lender is credited, also a second time or late.
    RepliesCreditedTwice,
    /// The lender does not deduct what it lends.
    LoanNotDeducted,
    /// Each token of a request that did not run is given back, whatever happened since.
    GivenBackAlways,
};

enum class Policy {
    RateShares,
    /// Baseline: each host admits the rate and burst divided by the number of hosts.
    EvenDivision,
};

struct SimulatedOrganisation
{
    std::string name;
    TokenLimit limit;
    std::uint32_t slices = 1;
    /// Requests a second over all hosts; 0 sends none.
    double offeredRate = 0;
    /// Requests come in groups of this size.
    int batch = 1;
    /// A group drains one slice, again once a loan may have arrived, and then all slices, so that tokens that a loan
    /// minted add to a full burst.
    bool isStaged = false;
};

struct FleetOptions
{
    std::uint64_t seed = 1;
    Policy policy = Policy::RateShares;
    Fault fault = Fault::None;
    std::size_t hosts = 5;
    std::uint32_t shards = 4;
    std::vector<SimulatedOrganisation> organisations;
    Duration duration = std::chrono::seconds(60);
    /// Measurements leave this time at the beginning out; histories do not.
    Duration warmUp = std::chrono::seconds(0);
    /// Hosts pause and restart, shares change their holder, messages are lost, late and duplicated, and requests do not run.
    bool isFaulty = true;
    /// How often pauses, restarts and changes of holder come, relative to one each 15, 20 and 2 s.
    double disturbance = 1;
    /// The parts of the messages that are lost and that arrive twice.
    double lost = 0.1;
    double duplicated = 0.1;
    /// The part of the admitted requests that then do not run and give their token back.
    double notRun = 0.2;
    /// The part of the requests that goes to the host with the most shares; others go to any host, which may have none.
    double steered = 0;
    /// Each organisation calls this many hosts; 0 calls all. Only for EvenDivision, which has no holder to steer to.
    std::size_t entryHosts = 0;
};

struct OrganisationOutcome
{
    AdmissionHistory history;
    std::uint64_t offered = 0;
    std::uint64_t refused = 0;
};

struct FleetOutcome
{
    std::vector<OrganisationOutcome> organisations;
    std::uint64_t loans = 0;
    std::uint64_t givenBack = 0;
    std::uint64_t pauses = 0;
    std::uint64_t restarts = 0;
    std::uint64_t holderChanges = 0;
    std::uint64_t droppedEntries = 0;
};

/// Runs a fleet on a virtual time line; the same options give the same outcome. Precondition: at least 3 hosts.
FleetOutcome runFleet(const FleetOptions &options);

} // namespace rhubarbtiller::limits
