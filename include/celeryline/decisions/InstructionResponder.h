/// @file
/// Instructions to upstreams in the reply to their announcements.
#pragma once

#include "celeryline/fleet/FleetReader.h"
#include "celeryline/registry/AnnounceReply.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace celeryline {

/// @param fleet the fleet state.
/// @param upstream the announcement.
/// @param isCurrent whether this entry instance has heard from a leader within the permit lease. If not, a
/// permit may have been returned since, so no stop is started.
/// @return instruction, permit and revision; without tasks.
AnnounceReply instructionFor(const FleetState& fleet, const Announcement& upstream, bool isCurrent);

/// @param fleet the fleet state.
/// @param upstream the announcement.
/// @return the labels that operators assigned to the upstream; the announced ones if it isn't in the fleet
/// yet.
LabelSet labelsFor(const FleetState& fleet, const Announcement& upstream);

/// Answers announcements on an entry instance from the newest fleet state. Thread-safe.
///
/// Example: `AnnounceEndpoint endpoint(options, registry, clock, [&](const Announcement& upstream, const
/// std::vector<ReportedTask>& tasks) { return responder.answer(upstream, tasks, isCurrent()); });`
class InstructionResponder {
public:
    /// @param fleet source of the fleet state; must outlive this object.
    explicit InstructionResponder(const FleetReader& fleet);

    /// @param upstream the announcement.
    /// @param tasks tasks that the upstream reports.
    /// @param isCurrent as for instructionFor().
    /// @return the reply, with tasks to start and to stop.
    AnnounceReply answer(
        const Announcement& upstream, const std::vector<ReportedTask>& tasks, bool isCurrent) const;

private:
    using JobsByWorker = std::map<std::string, std::vector<const Job*>>;

    std::shared_ptr<const JobsByWorker> jobsByWorker(const FleetState& fleet) const;

    const FleetReader& m_fleet;
    mutable std::mutex m_mutex; ///< Guards m_indexedJobs and m_index.
    mutable ObjectMap<Job> m_indexedJobs; ///< Owns the jobs that the index points to.
    mutable std::shared_ptr<const JobsByWorker> m_index;
};

} // namespace celeryline
