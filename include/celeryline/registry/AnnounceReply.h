/// @file
/// What an upstream reports about its tasks and what it is told to do.
#pragma once

#include "celeryline/registry/Announcement.h"

#include <cstdint>
#include <string>
#include <vector>

namespace celeryline {

/// A task as its worker reports it.
struct ReportedTask {
    std::string id;
    std::string state; ///< "running", "throttled", "checkpointed", "done" or "failed".
    std::uint64_t fence = 0; ///< Of the placement that started it.
    Resources usage;
};

/// What a worker is told to do with a task.
struct TaskInstruction {
    std::string id;
    std::string action; ///< "start", "throttle", "checkpoint" or "stop".
    std::uint64_t fence = 0;
};

/// The part of the response to an announcement that the fleet state decides.
struct AnnounceReply {
    std::string instruction = "serve"; ///< "serve", "drain" or "reboot".
    std::uint64_t permit = 0; ///< Revision of the permit to stop; 0 if there is none.
    std::uint64_t revision = 0; ///< Fleet revision that the reply is based on.
    std::vector<TaskInstruction> tasks;
};

} // namespace celeryline
