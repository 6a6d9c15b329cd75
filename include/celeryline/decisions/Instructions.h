/// @file
/// What upstreams are told in the response to their announcements.
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
/// @param upstream what the upstream announced.
/// @param isCurrent whether this entry instance has heard from a leader within the permit lease. If not, a
/// permit may have been given back in the meantime, so no stop is begun.
/// @return instruction, permit and revision; without tasks.
AnnounceReply instructionFor(const FleetState& fleet, const Announcement& upstream, bool isCurrent);

/// @param fleet the fleet state.
/// @param upstream what the upstream announced.
/// @return the labels that operators gave the upstream; those it announced if it isn't in the fleet yet.
LabelSet labelsFor(const FleetState& fleet, const Announcement& upstream);

/// Answers announcements on any entry instance from the newest fleet state. Thread-safe.
///
/// Example: `AnnounceEndpoint endpoint(options, registry, clock, [&](const Announcement& upstream, const
/// std::vector<ReportedTask>& tasks) { return instructions.answer(upstream, tasks, isCurrent()); });`
class Instructions {
public:
    /// @param fleet gives the state; must outlive this object.
    explicit Instructions(const FleetReader& fleet);

    /// @param upstream what the upstream announced.
    /// @param tasks what it runs.
    /// @param isCurrent as for instructionFor().
    /// @return the reply, with tasks to start and to stop.
    AnnounceReply answer(
        const Announcement& upstream, const std::vector<ReportedTask>& tasks, bool isCurrent) const;

private:
    using JobsByWorker = std::map<std::string, std::vector<const Job*>>;

    std::shared_ptr<const JobsByWorker> jobsByWorker(const FleetState& fleet) const;

    const FleetReader& m_fleet;
    mutable std::mutex m_lock; ///< Guards the index.
    mutable ObjectMap<Job> m_indexedJobs; ///< Keeps the jobs that the index points to.
    mutable std::shared_ptr<const JobsByWorker> m_index;
};

} // namespace celeryline
