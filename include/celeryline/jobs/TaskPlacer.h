/// @file
/// Placement of the tasks of one job at a time, in the course of a plan.
#pragma once

#include "celeryline/jobs/CandidateIndex.h"
#include "celeryline/jobs/JobStore.h"
#include "celeryline/jobs/PlacementHints.h"
#include "celeryline/jobs/ShareLedger.h"
#include "celeryline/jobs/UnplaceableDemands.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace celeryline {

/// Result of the placement of a job.
enum class PlaceResult : std::uint8_t {
    Done, ///< Some of its tasks start, or none was searched for.
    NoRoom, ///< The search found no runner for any task.
    AtShare ///< Its customer reached the level given to setShares(); tasks may be left.
};

/// Places tasks on runners and collects the starts. No customer's runs exceed its limit.
class TaskPlacer {
public:
    /// @param store jobs and configuration.
    /// @param candidates runners that accept new tasks; the reservations of the starts are subtracted.
    /// @param hints uncommitted state that influences placement.
    /// @param advice tickets for steps of queues that need advice.
    TaskPlacer(const JobStore& store, CandidateIndex& candidates, const PlacementHints& hints,
        const AdviceCheck& advice);

    /// Decides without a look at the job, which keeps a long backlog cheap.
    /// @param service pool of the job's queue.
    /// @param job a job.
    /// @return whether it is known that no task of the job can start.
    bool isExcluded(const std::string& service, const StartableJob& job);

    /// @param service a pool.
    /// @param minDemand component-wise minimum of the reservations of some tasks.
    /// @return whether it is known that none of them can start.
    bool isWithoutRoom(const std::string& service, const Resources& minDemand) const;

    /// Places as many tasks of a job as possible. May be called again for a job whose result was AtShare.
    PlaceResult placeJob(const JobState& job, const QueueSettings& queue);

    /// Sets the shares that the starts of the following jobs count against.
    /// @param shares shares of the jobs' pool; null if they take no part in them.
    /// @param stopLevel level at which a customer gets no more tasks, once it has got one.
    void setShares(ShareLedger* shares, double stopLevel = 0)
    {
        m_shares = shares;
        m_stopLevel = stopLevel;
    }

    /// Places a second run of a slow task.
    void placeSpeculative(const TaskName& name);

    std::vector<StartRun> takeStarts() { return std::move(m_starts); }

private:
    /// @return whether a reservation is known to fit on no runner of the pool with the label.
    bool isKnownUnplaceable(
        const std::string& service, const std::string& label, const Resources& reservation) const;

    /// @param isFirst whether the step has no run yet, so that its limit per runner isn't reached.
    /// @return whether every runner with the required label and enough free capacity may take a task of the
    /// step.
    bool dependsOnCapacityOnly(const StepSpec& spec, const TaskName& name, bool isFirst) const;

    /// @return whether the limit of the job's customer leaves room for a task, or for the gang as a whole.
    bool fitsQuota(const StepSpec& spec, const StepState& step);

    /// @return false if the customer has reached its share.
    bool placeStep(const StepSpec& spec, const StepState& step, TaskName name, const std::string& service);

    /// @return whether the current job has a start and its customer has reached the level of setShares().
    bool isAtShare() const;

    /// Remembers the starts of the current job, of which tasks are left, since its state doesn't show them
    /// yet.
    void keepStarts();

    /// @return indexes of the starts of a step that keepStarts() has remembered; null if there are none.
    const std::vector<std::size_t>* keptStarts(const TaskName& step) const;

    void addStart(const StepSpec& spec, const RunName& run, const PlacementCandidate& candidate);

    /// Withdraws the newest starts, which are those of one step.
    /// @param first index of the first of them.
    /// @param candidatesBefore their runners as they were before each start.
    void withdrawStarts(
        const StepSpec& spec, std::size_t first, const std::vector<PlacementCandidate>& candidatesBefore);

    /// @return the data centre in which a finite job has active runs; empty if there is none.
    std::string dataCentreOf(const JobState& job) const;

    /// @return the failures of a task; null if it has none.
    const FailureTimes* failuresOf(const TaskName& name) const;

    const PlacementCandidate* chooseRunner(const StepSpec& spec, const TaskName& name,
        const CandidatePool& pool, const std::map<std::string, std::uint32_t>& onRunner) const;

    const JobStore& m_store;
    CandidateIndex& m_candidates;
    const PlacementHints& m_hints;
    const AdviceCheck& m_advice;
    QuotaLedger m_quota;
    /// By pool and required label.
    std::map<std::pair<std::string, std::string>, UnplaceableDemands> m_unplaceable;
    std::string m_rack; ///< Preferred rack of the current step; empty if it has none.
    /// Preferred data centre of the current job; empty if it has none. A job needs all its tasks, so the loss
    /// of a data centre then delays the jobs that run there and not nearly all jobs.
    std::string m_dataCentre;
    bool m_needsAdvice = false; ///< Whether the current queue needs advice.
    CustomerNumber m_customer = noCustomer; ///< Customer of the current job.
    ShareLedger* m_shares = nullptr; ///< Shares of the current pool; null if the jobs take no part in them.
    double m_stopLevel = 0; ///< See setShares().
    std::map<TaskName, std::vector<std::size_t>> m_keptStarts; ///< By the first task of the step.
    std::vector<StartRun> m_starts;
    std::size_t m_firstStart = 0; ///< Index of the first start of the current job.
};

} // namespace celeryline
