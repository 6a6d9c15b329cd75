/// @file
/// The leader's view of the runners.
#pragma once

#include "celeryline/jobs/RunProgress.h"
#include "celeryline/jobs/RunnerReport.h"

#include <map>
#include <string>

namespace celeryline {

/// State of one runner as known to the leader.
struct RunnerState {
    RunnerReport report; ///< Most recent report.
    std::uint64_t reports = 0; ///< Accepted reports of this incarnation in this term.
    Millis lastReportAt; ///< Steady time of the most recent report.
    Millis lease; ///< Lease granted by the answer to the most recent report.
    /// Steady time by which all its runs have certainly stopped, unless it reports before.
    Millis leaseExpiry;
    std::uint64_t acknowledgedEnds = 0;
    /// It is said to have shut down, and no later report shows that it is still up. It gets no tasks.
    bool hasLeft = false;
    Millis leftAt; ///< Steady time of that; only valid if hasLeft.
    std::uint64_t reportsWhenLeft = 0; ///< Value of reports at that time.
    std::map<RunName, RunProgress> progress; ///< Progress of the runs in the most recent report.
    std::int64_t bestEffortRate = 100; ///< Rate limit of its best-effort tasks, in percent.
};

/// State of the runners as known to the leader. Each new leader rebuilds it from their reports.
class RunnerTable {
public:
    /// @param maxLease longest lease that an answer grants.
    explicit RunnerTable(Millis maxLease)
        : m_maxLease(maxLease)
    {
    }

    /// Clears the table at the start of a term.
    /// @param now steady time; leases granted by earlier leaders are counted from here.
    void reset(Millis now);

    /// Records a report.
    /// @param lease lease that the answer will grant, from the sending of the report.
    /// @return the runner's state; null if the report is outdated and must be ignored.
    RunnerState* accept(RunnerReport report, Millis lease, Millis now);

    /// Records that a runner is said to have shut down. A deregistration names no incarnation, may be delayed
    /// beyond the start of the next one, and may be sent before the runs end. It therefore changes no lease.
    /// @param runner its id.
    void markLeft(const std::string& runner, Millis now);

    /// @param incarnation an incarnation of a runner.
    /// @return the steady time by which all runs that it was ordered to start have certainly stopped, as far
    /// as its reports in this term show.
    Millis leaseExpiry(const RunnerIncarnation& incarnation) const;

    /// @return the steady time at which the term started.
    Millis resetAt() const { return m_resetAt; }

    /// @return the runner, if this is its latest known incarnation.
    const RunnerState* find(const RunnerIncarnation& incarnation) const;
    RunnerState* find(const RunnerIncarnation& incarnation);

    const std::map<std::string, RunnerState>& runners() const { return m_runners; }

    /// @param machine name of a machine.
    /// @return the newest runner that has reported from this machine in this term, also if it has left, as
    /// its runs may go on; null if none is known.
    const RunnerState* findOnMachine(const std::string& machine) const;

    /// Removes runners that have not reported for a long time.
    void removeSilent(Millis now);

private:
    Millis m_maxLease;
    Millis m_resetAt;
    void noteMachine(const RunnerReport& report);

    std::map<std::string, RunnerState> m_runners; ///< By id.
    std::map<std::string, RunnerIncarnation> m_newestOnMachine; ///< By machine.
};

} // namespace celeryline
