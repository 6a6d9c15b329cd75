/// @file
/// Why a runner can't take a task now.
#pragma once

#include <array>
#include <cstdint>

namespace celeryline {

/// Why a runner can't take a task now.
enum class WaitReason : std::uint8_t {
    HasRoom, ///< No reason: the task could start there.
    Leaving, ///< It is draining or has left.
    Silent, ///< No report came from it lately.
    Reserved, ///< Its machine is being emptied.
    Quarantine, ///< It failed many tasks.
    Probation, ///< It is being tried out with one task, and holds one.
    MissingLabel, ///< It lacks the label that the step requires.
    LittleCpu, ///< Too little processor time is free.
    LittleMemory, ///< Too little memory is free.
    FewAccelerators, ///< Too few accelerators are free.
    TaskLimit, ///< It holds as many tasks of the step as one runner may.
    FailedThere, ///< The task failed there, and another runner of the pool may run it.
    NoAdvice ///< The advice service has not named it for the step.
};

/// All reasons, in the order in which they are checked for.
constexpr std::array<WaitReason, 13> allWaitReasons { WaitReason::HasRoom, WaitReason::Leaving,
    WaitReason::Silent, WaitReason::Reserved, WaitReason::Quarantine, WaitReason::Probation,
    WaitReason::MissingLabel, WaitReason::LittleCpu, WaitReason::LittleMemory, WaitReason::FewAccelerators,
    WaitReason::TaskLimit, WaitReason::FailedThere, WaitReason::NoAdvice };

/// @param reason a reason.
/// @return its name in log lines.
const char* waitReasonName(WaitReason reason);

} // namespace celeryline
