/// @file
/// Selection of the machines that are switched off by a move to a standby pool, and of those that come back.
#pragma once

#include "celeryline/machines/DemandHistory.h"
#include "celeryline/machines/PoolPlan.h"

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace celeryline {

/// Why no machine is sent to a standby pool.
enum class StandbyHold : std::uint8_t {
    None, ///< Machines are sent, or none is idle beyond the reserve.
    NoPool, ///< The configuration has no standby pool, or the function is switched off.
    Settling, ///< The leader is new.
    Learning, ///< No complete rotation of the demand was observed.
    MachinesLost, ///< A machine disappeared or its runner fell silent lately.
    ProviderLost, ///< The provider of the machines doesn't answer.
    LateWork, ///< Jobs wait that can no longer meet their objective.
    WaitingTask, ///< A task waits that has found no room.
    Shortage, ///< A pool wants more than it has.
    Returned ///< A machine left the standby pool lately.
};

inline constexpr std::array<StandbyHold, 10> allStandbyHolds { StandbyHold::None, StandbyHold::NoPool,
    StandbyHold::Settling, StandbyHold::Learning, StandbyHold::MachinesLost, StandbyHold::ProviderLost,
    StandbyHold::LateWork, StandbyHold::WaitingTask, StandbyHold::Shortage, StandbyHold::Returned };

/// @return the name of a reason in logs and metrics.
const char* standbyHoldName(StandbyHold hold);

/// A machine as seen by planStandby(). For a machine that is being moved, the target pool counts.
struct StandbyCandidate {
    PoolMachine base;
    std::string kind; ///< Machines of one kind have the same capacity and labels.
    std::string rack; ///< Empty if unknown.
    /// Jobs lately required a label or accelerators that this kind has and others lack. Half of its machines
    /// stay on, because the demand in cores doesn't show how many such jobs need.
    bool isKindNamed = false;
    bool isRackNamed = false; ///< Jobs lately named its rack as that of their data.
    bool mayBeSent = true; ///< False if it is due in a wave, or no standby pool accepts its kind.
};

/// Input of planStandby().
struct StandbyPlanInput {
    std::vector<PoolDemand> demands; ///< Current demand.
    std::vector<StandbyCandidate> machines;
    const DemandHistory* history = nullptr; ///< Demand of finite work; must not be null.
    Millis now; ///< Steady time.
    Millis returnTime; ///< From the decision that a machine returns until it takes tasks.
    std::string standbyPool;
    StandbyHold hold = StandbyHold::None; ///< Reasons that are known before planning.
    std::uint32_t maxSent = 0; ///< Number of machines that may be sent now.
    std::int64_t upkeepMilliCores = 0; ///< Capacity that waves may take down at once.
};

/// Settings of planStandby().
struct StandbyPlanOptions {
    bool isEnabled = true; ///< Without effect where the configuration has no standby pool.
    /// Machines stay on for this multiple of the highest demand of the history. The difference to the
    /// demand at which machines return keeps them from being moved to and fro.
    double reserveFactor = 1.25;
    std::uint32_t movesPerSecond = 5;
    Millis settleTime { 5000 }; ///< After a take-over, a loss of machines or a return.
    std::uint32_t minPerKind = 2; ///< Machines of each kind, and of each named rack, that a pool keeps.
    PoolPlanOptions poolPlan;
};

/// Output of planStandby(). Capacities are of machines without long-running tasks; those with some stay.
struct StandbyPlan {
    std::vector<MachineMove> moves;
    StandbyHold hold = StandbyHold::None;
    std::int64_t wanted = 0; ///< Wanted reserve in thousandths of a core: what must stay on.
    std::int64_t on = 0; ///< What is on, in thousandths of a core.
    std::uint32_t sent = 0; ///< Number of the moves that lead to the standby pool.
};

/// Plans moves to and from a standby pool. The reserve is the highest sum of the pools' demand in the history
/// beyond what their pinned machines hold, so that each peak of a rotation that repeats finds enough machines
/// on. A pool also keeps its own machines for its peak while that is due. Demand that rises counts with
/// what it will be when a machine that returns now is up.
/// @param input state of the site.
/// @param options settings.
/// @return the moves, and the figures on which they are based.
StandbyPlan planStandby(const StandbyPlanInput& input, const StandbyPlanOptions& options);

/// @param demand demand of a pool.
/// @param options settings.
/// @return wantedWithoutDependents() of its finite work.
std::int64_t finiteMilliCores(PoolDemand demand, const PoolPlanOptions& options);

} // namespace celeryline
