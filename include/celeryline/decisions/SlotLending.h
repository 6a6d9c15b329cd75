/// @file
/// The decision how many spare slots each queue may use, and how large the shared reserve is.
#pragma once

#include "celeryline/settings/Settings.h"

#include <string>
#include <vector>

namespace celeryline {

/// The load of one service's queue.
struct QueueLoad {
    std::string service;
    int ownSlots = 0; ///< Slots of its own runners that are up.
    int running = 0; ///< Requests in progress, on own and on borrowed slots.
    int borrowed = 0; ///< Spare slots that its requests occupy now.
    int waiting = 0;
};

/// The spare slots and the load of all queues.
struct LendingInput {
    int spareSlots = 0; ///< Slots of the spare service's runners that are up.
    int spareOwnLoad = 0; ///< Requests of the spare service itself, in progress and waiting.
    std::vector<QueueLoad> queues; ///< Without the spare service.
};

/// What one queue may use of the spare slots.
struct SlotLoan {
    std::string service;
    int limit = 0; ///< Spare slots that it may occupy; new requests start only below it.
    int startNow = 0; ///< Waiting requests that may start on spare slots at once.
    int returning = 0; ///< Slots above the limit; they come back as their requests end.
    std::string reason;
};

/// The loans of all queues, in the order of the input.
struct LendingDecision {
    std::vector<SlotLoan> loans;
};

/// Lends free spare slots to the queues that need more than their own, the scarce ones in equal shares. A
/// queue's own slots are never lent, the spare service's own load comes first, and a loan that shrinks never
/// interrupts a request.
/// @param input the load.
/// @return the loans.
/// @throws Error if more slots than free would be lent (a fault of this function).
///
/// Example: `auto loans = lendSlots({ 64, 3, { { "intake", 80, 80, 0, 40 } } }).loans; // startNow is 40`
LendingDecision lendSlots(const LendingInput& input);

/// How many slots to hold in reserve.
struct ReserveDecision {
    int slots = 0; ///< One reserve for all queues.
    int separateSlots = 0; ///< What separate reserves for the same peaks would need.
    std::string reason;
};

/// The excess of each queue over its own slots at one time.
using ExcessSample = std::vector<int>;

/// Derives the size of the shared reserve from observed peaks. Peaks rotate between queues, so the highest
/// sum at one time is far below the sum of the highest values.
/// @param history samples at equal intervals; each has one value for each queue.
/// @param settings the weights: buffer cost alone covers 98% of the samples, roll-out time alone all of them.
/// @return the reserve.
ReserveDecision planReserve(const std::vector<ExcessSample>& history, const MaintenanceSettings& settings);

} // namespace celeryline
