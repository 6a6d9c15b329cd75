/// @file
/// Task reports of upstreams and the instructions they get in response.
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
    std::uint64_t fence = 0; ///< Fence of the placement that started it.
    Resources usage;
};

/// An instruction to a worker about a task.
struct TaskInstruction {
    std::string id;
    std::string action; ///< "start", "throttle", "checkpoint" or "stop".
    std::uint64_t fence = 0;
};

/// The part of the response to an announcement that is derived from the fleet state.
struct AnnounceReply {
    std::string instruction = "serve"; ///< "serve", "drain" or "reboot".
    std::uint64_t permit = 0; ///< Revision of the permit to stop; 0 if there is none.
    std::uint64_t revision = 0; ///< Fleet revision from which the reply was derived.
    std::vector<TaskInstruction> tasks;
};

} // namespace celeryline
