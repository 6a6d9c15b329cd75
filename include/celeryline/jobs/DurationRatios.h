/// @file
/// How long tasks of each queue take compared to the callers' estimates.
#pragma once

#include "celeryline/jobs/JobStore.h"

#include <map>
#include <string>

namespace celeryline {

/// Decaying average of the ratio of the real duration of tasks to the estimate, by queue. A duration is the
/// time for which a task holds its reservation: from the commit of its start to that of its end. Only first
/// runs that completed without a second run beside them count, since others resume from checkpoints, were
/// stopped, or ran on slow runners. Every replica learns from the commits that it sees, so that a new leader
/// knows the durations; commits that a replica reads from an earlier log follow each other too fast and don't
/// count.
class DurationRatios {
public:
    /// Records a committed command; call it before the command is applied.
    /// @param command the command.
    /// @param store the state before it.
    /// @param now steady time.
    void onCommitted(const JobCommand& command, const JobStore& store, Millis now);

    /// @param queue key of a queue.
    /// @return the average ratio; 1 if nothing is known.
    double ratioOf(const std::string& queue) const;

    /// Call it when a snapshot replaces the state. Forgets the starts whose ends may be in the snapshot.
    void onSnapshot() { m_startedAt.clear(); }

    /// Removes queues that the configuration doesn't have.
    void prune(const QueueConfiguration& configuration);

    /// @return the number of runs whose end is awaited.
    std::size_t pendingRuns() const { return m_startedAt.size(); }

private:
    struct Average {
        double estimated = 0;
        double real = 0;
    };

    void onEnd(const EndRun& end, const JobStore& store, Millis now);
    void add(const std::string& queue, double estimated, double real);

    std::map<RunName, Millis> m_startedAt; ///< Steady times of the commits of first runs.
    std::map<std::string, Average> m_averages; ///< By queue key.
};

} // namespace celeryline
