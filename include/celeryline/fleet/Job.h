/// @file
/// A job that runs on workers, and the quota of its team.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/labels/Selector.h"
#include "celeryline/registry/Announcement.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace celeryline {

/// Where a job is in its life.
enum class JobPhase : std::uint8_t { Queued, Placed, Running, Done, Failed, Cancelled, Refused };

/// A job that runs on one worker under a lease.
struct Job {
    std::string id;
    std::string team;
    std::string kind; ///< Jobs of one kind and team share a learnt size.
    std::string pool;
    Selector selector; ///< Further conditions on the worker; may be empty.
    bool urgent = false;
    bool repeatable = true; ///< A job that isn't is never started again on a guess.
    Resources declared;
    JobPhase phase = JobPhase::Queued;
    std::string worker; ///< Holder of the lease.
    std::uint64_t fence = 0; ///< Revision of the placement; a worker refuses older ones.
    Millis submitted; ///< Log entry time.
    std::string reason; ///< Why it waits, was refused or failed.
    Millis ended; ///< Log entry time of the end; zero before.
    std::uint64_t revision = 0; ///< Of the last change.
};

inline bool operator==(const Job& a, const Job& b)
{
    return std::tie(a.id, a.team, a.kind, a.pool, a.selector, a.urgent, a.repeatable, a.declared, a.phase,
               a.worker, a.fence, a.submitted, a.reason, a.ended, a.revision)
        == std::tie(b.id, b.team, b.kind, b.pool, b.selector, b.urgent, b.repeatable, b.declared, b.phase,
            b.worker, b.fence, b.submitted, b.reason, b.ended, b.revision);
}

/// What a team may use at once without borrowing.
struct Quota {
    std::string team;
    Resources limit;
};

inline bool operator==(const Quota& a, const Quota& b)
{
    return std::tie(a.team, a.limit) == std::tie(b.team, b.limit);
}

} // namespace celeryline
