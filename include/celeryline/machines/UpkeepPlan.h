/// @file
/// The decision which machines begin their upkeep.
#pragma once

#include "celeryline/base/Millis.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace celeryline {

/// A machine that is still due for upkeep.
struct DueMachine {
    std::string machine;
    std::string pool;
    std::int64_t cores = 0; ///< Thousandths.
    std::int64_t inUse = 0; ///< Thousandths of a core in use.
    bool isStandby = false;
    bool holdsLasting = false; ///< Long-running tasks must leave it one after the other.
};

/// What is known when the next machines of a wave are chosen.
struct UpkeepSituation {
    std::uint32_t maxAtOnce = 1;
    std::uint32_t away = 0; ///< Machines of the wave that are being emptied or are down for it.
    Millis timeLeft; ///< Until the wave must be complete.
    Millis timeEach { 5000 }; ///< Emptying a machine and its upkeep.
    std::map<std::string, std::int64_t> spareCores; ///< By pool: thousandths of a core that it doesn't need.
};

/// Chooses machines in the trough of their pool's demand; among them those first that take longest to empty.
/// When time runs short, others are taken too, those with the least in use first.
/// @param due machines that are due.
/// @param situation what is known.
/// @return names of the machines to begin with.
std::vector<std::string> planUpkeep(std::vector<DueMachine> due, UpkeepSituation situation);

} // namespace celeryline
