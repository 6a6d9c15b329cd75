/// @file
/// Jobs and team quotas.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/labels/Selector.h"
#include "celeryline/registry/Announcement.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace celeryline {

/// Lifecycle phase of a job.
enum class JobPhase : std::uint8_t { Queued, Placed, Running, Done, Failed, Cancelled, Refused };

/// A job that runs on one worker under a lease.
struct Job {
    std::string id;
    std::string team;
    std::string kind; ///< Jobs of the same kind and team share a resource estimate.
    std::string pool;
    Selector selector; ///< Additional requirements on the worker; may be empty.
    bool urgent = false;
    bool repeatable = true; ///< If false, the job is never restarted while its outcome is uncertain.
    Resources declared;
    JobPhase phase = JobPhase::Queued;
    std::string worker; ///< Worker that holds the lease.
    std::uint64_t fence = 0; ///< Revision of the placement; workers reject older values.
    Millis submitted; ///< Log entry time of the submission.
    std::string reason; ///< Why the job waits, was refused or failed.
    Millis ended; ///< Log entry time of the end; zero until then.
    std::uint64_t revision = 0; ///< Revision of the last change.
};

inline bool operator==(const Job& a, const Job& b)
{
    return std::tie(a.id, a.team, a.kind, a.pool, a.selector, a.urgent, a.repeatable, a.declared, a.phase,
               a.worker, a.fence, a.submitted, a.reason, a.ended, a.revision)
        == std::tie(b.id, b.team, b.kind, b.pool, b.selector, b.urgent, b.repeatable, b.declared, b.phase,
            b.worker, b.fence, b.submitted, b.reason, b.ended, b.revision);
}

/// Resources that a team may use concurrently without borrowing.
struct Quota {
    std::string team;
    Resources limit;
};

inline bool operator==(const Quota& a, const Quota& b)
{
    return std::tie(a.team, a.limit) == std::tie(b.team, b.limit);
}

} // namespace celeryline
