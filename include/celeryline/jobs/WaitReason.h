/// @file
/// Reasons for which a task doesn't start on a runner.
#pragma once

#include <array>
#include <cstdint>

namespace celeryline {

/// Reason for which a runner can't take a task, or for which a customer's task doesn't start at all.
enum class WaitReason : std::uint8_t {
    HasRoom, ///< None: the task could start there.
    Leaving, ///< The runner is draining or has left.
    Silent, ///< The runner has stopped reporting.
    Reserved, ///< The machine of the runner is being emptied.
    Quarantine, ///< The runner is quarantined after many failed tasks.
    Probation, ///< The runner is on probation and already has its one task.
    MissingLabel, ///< The runner lacks the label that the step requires.
    LittleCpu, ///< Not enough free CPU.
    LittleMemory, ///< Not enough free memory.
    FewAccelerators, ///< Not enough free accelerators.
    TaskLimit, ///< The runner has reached the step's limit of tasks per runner.
    FailedThere, ///< The task failed there, and another runner of the pool is eligible.
    NoAdvice, ///< The advice service has not approved the runner for the step.
    Quota, ///< The customer would exceed its limit. Concerns all runners.
    FairShare ///< Others come first, since the customer has its share. Concerns all runners.
};

/// All reasons, in the order of the checks.
constexpr std::array<WaitReason, 15> allWaitReasons { WaitReason::HasRoom, WaitReason::Leaving,
    WaitReason::Silent, WaitReason::Reserved, WaitReason::Quarantine, WaitReason::Probation,
    WaitReason::MissingLabel, WaitReason::LittleCpu, WaitReason::LittleMemory, WaitReason::FewAccelerators,
    WaitReason::TaskLimit, WaitReason::FailedThere, WaitReason::NoAdvice, WaitReason::Quota,
    WaitReason::FairShare };

/// @param reason a reason.
/// @return its name in log events.
const char* waitReasonName(WaitReason reason);

} // namespace celeryline
