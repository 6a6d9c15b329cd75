/// @file
/// Lending of spare slots to queues, and sizing of the shared reserve.
#pragma once

#include "celeryline/settings/Settings.h"

#include <string>
#include <vector>

namespace celeryline {

/// Load of the queue of one service.
struct QueueLoad {
    std::string service;
    int ownSlots = 0; ///< Slots of its own running runners.
    int running = 0; ///< Requests in progress on own and borrowed slots.
    int borrowed = 0; ///< Spare slots that its requests occupy.
    int waiting = 0;
};

/// Spare slots and the load of all queues.
struct LendingInput {
    int spareSlots = 0; ///< Slots of the running runners of the spare service.
    int spareServiceLoad = 0; ///< Requests of the spare service itself, in progress or waiting.
    std::vector<QueueLoad> queues; ///< Excludes the spare service.
};

/// Spare slots lent to one queue.
struct SlotLoan {
    std::string service;
    int limit = 0; ///< Maximum number of spare slots; requests start there only below it.
    int startNow = 0; ///< Waiting requests that may start on spare slots immediately.
    int returning = 0; ///< Borrowed slots above the limit; they are returned when their requests end.
    std::string reason;
};

/// Loans of all queues, in the order of the input.
struct LendingDecision {
    std::vector<SlotLoan> loans;
};

/// Lends free spare slots to the queues that need more than their own; if there aren't enough, in max-min
/// fair shares. The slots of a queue are never lent, the load of the spare service has priority, and reducing
/// a loan never interrupts a request.
/// @param input the load.
/// @return the loans.
/// @throws Error if more slots than free would be lent, which is a bug in this function.
///
/// Example: `auto loans = lendSlots({ 64, 3, { { "intake", 80, 80, 0, 40 } } }).loans; // startNow is 40`
LendingDecision lendSlots(const LendingInput& input);

/// Size of the slot reserve.
struct ReserveDecision {
    int slots = 0; ///< Size of one reserve shared by all queues.
    int separateSlots = 0; ///< Total size of separate reserves for the same peaks.
    std::string reason;
};

/// Excess of each queue over its own slots at one time.
using ExcessSample = std::vector<int>;

/// Computes the size of the shared reserve from observed peaks. The queues peak at different times, so the
/// maximum of the sum is far below the sum of the maxima.
/// @param history samples at equal intervals; each has one value for each queue.
/// @param settings weights: with buffer cost alone the reserve covers 98% of the samples, with roll-out time
/// alone all of them.
/// @return the reserve.
ReserveDecision planReserve(const std::vector<ExcessSample>& history, const MaintenanceSettings& settings);

} // namespace celeryline
