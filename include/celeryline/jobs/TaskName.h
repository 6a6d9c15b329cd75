/// @file
/// Identifiers of tasks and runs.
#pragma once

#include "celeryline/jobs/JobId.h"

#include <cstdint>
#include <tuple>

namespace celeryline {

/// Identifies one task of a job.
struct TaskName {
    JobId job;
    std::uint32_t occurrence = 0; ///< 0 for a job that runs once.
    std::uint32_t step = 0;
    std::uint32_t index = 0; ///< Position within the step.
};

inline bool operator==(const TaskName& a, const TaskName& b)
{
    return std::tie(a.job, a.occurrence, a.step, a.index) == std::tie(b.job, b.occurrence, b.step, b.index);
}
inline bool operator!=(const TaskName& a, const TaskName& b) { return !(a == b); }
inline bool operator<(const TaskName& a, const TaskName& b)
{
    return std::tie(a.job, a.occurrence, a.step, a.index) < std::tie(b.job, b.occurrence, b.step, b.index);
}

/// Identifies one run of a task.
struct RunName {
    TaskName task;
    std::uint32_t run = 0; ///< Number of the run within the task, from 1.
};

inline bool operator==(const RunName& a, const RunName& b)
{
    return std::tie(a.task, a.run) == std::tie(b.task, b.run);
}
inline bool operator<(const RunName& a, const RunName& b)
{
    return std::tie(a.task, a.run) < std::tie(b.task, b.run);
}

} // namespace celeryline
