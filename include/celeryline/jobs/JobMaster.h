/// @file
/// The leader's control of jobs and runners.
#pragma once

#include "celeryline/jobs/AdmissionControl.h"
#include "celeryline/jobs/AdviceCache.h"
#include "celeryline/jobs/BestEffortRate.h"
#include "celeryline/jobs/CounterHistory.h"
#include "celeryline/jobs/JobStore.h"
#include "celeryline/jobs/RunnerTable.h"
#include "celeryline/jobs/RunnerTrust.h"
#include "celeryline/jobs/StartPlan.h"
#include "celeryline/jobs/WaitReport.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace celeryline {

/// The replicated log, as used by JobMaster.
class CommandLog {
public:
    virtual ~CommandLog() = default;

    /// @return whether this instance may act as leader now: no other instance can, and everything that
    /// earlier leaders committed is applied here.
    virtual bool isLeading() const = 0;

    /// @return the term of this instance's leadership.
    virtual std::uint64_t term() const = 0;

    /// Appends commands.
    /// @param commands the commands.
    /// @param done called once: with true when the commands are committed and applied, with false if
    /// leadership was lost and their outcome is unknown.
    virtual void propose(const std::vector<JobCommand>& commands, std::function<void(bool)> done) = 0;
};

/// Readings of an instance's two clocks.
struct Moment {
    Millis steady; ///< For leases and timeouts.
    Millis wall; ///< For due times and timestamps in the state.
};

/// Outcome of a request of a caller or operator.
enum class RequestOutcome : std::uint8_t {
    Done, ///< Committed.
    NotLeading, ///< Not executed; the request must go to another instance.
    Unknown ///< Possibly executed; the request can be repeated safely.
};

/// Committed allocations of a runner.
struct RunnerUse {
    Resources reserved;
    std::vector<RunName> longRunning; ///< Runs of long-running tasks.
    std::size_t runs = 0; ///< Number of all runs.
    bool isEmpty = true; ///< It has no runs, and no start there is pending.

    /// Adds the allocations of another runner.
    RunnerUse& operator+=(const RunnerUse& other);
};

/// Constants of JobMaster.
struct JobMasterOptions {
    Millis runLease { 4000 }; ///< Lease of runs, granted with each answer to a report.
    /// Lease granted while this process lags, so that work isn't abandoned because of the lag.
    Millis runLeaseWhenLagging { 4000 };
    /// Limit on how long the answer to an idle runner is delayed until a task starts there; 0 to answer at
    /// once. Must stay below the one second after which runners discard answers.
    Millis maxAnswerDelay { 600 };
    Millis reportDelayAfterWait { 20 }; ///< Delay of the next report after a delayed answer.
    /// Report interval of a busy runner with free capacity, and of a draining one that still has runs.
    Millis reportIntervalWithCapacity { 250 };
    Millis reportIntervalWhenFull { 1000 }; ///< Report interval of other runners.
    /// A runner that has been silent this long gets no tasks, because it may be gone although its lease is
    /// valid.
    Millis silenceTimeout { 1500 };
    /// A runner with active runs that hasn't reported this long after the start of a term is noted as silent.
    /// Short, so that even a leader that lasts a second brings the end of a lost runner's lease closer.
    Millis firstReportTimeout { 500 };
    Millis endedJobRetention { 180000 }; ///< How long an ended job remains readable.
    /// How long a cancellation of an unknown job is remembered. A submission can be held up by processes that
    /// stand still for 5 s each and by its own timeout of seconds.
    Millis cancelledIdRetention { 60000 };
    Millis housekeepingInterval { 500 }; ///< Interval of lease checks and other periodic work.
    OverdueLimits overdue;
};

/// The leader's control of jobs and runners: turns reports and requests into commands, and committed state
/// into orders. Each answer derives its orders from the committed state and the report, so that lost answers
/// and changes of leadership need no special handling. Single-threaded.
class JobMaster {
public:
    using RequestCallback = std::function<void(RequestOutcome)>;
    using OrdersCallback = std::function<void(std::optional<RunnerOrders>)>;

    /// @param options constants.
    /// @param store committed state.
    /// @param log log for proposed changes.
    /// @param clock returns the current time.
    JobMaster(const JobMasterOptions& options, const JobStore& store, CommandLog& log,
        std::function<Moment()> clock);

    /// Sets the service that approves runners for steps.
    /// @param advisor must outlive this object.
    void setAdvisor(PlacementAdvisor& advisor) { m_advisor = &advisor; }

    /// Resets the volatile state at the start of a term of leadership.
    void startTerm();

    /// Records when runners were noted as silent and where tasks failed. Call it for each committed command
    /// on every replica, before the command is applied.
    void onCommitted(const JobCommand& command);

    /// Call it when a snapshot replaces the state. The silences in it count from this time.
    void onSnapshot();

    /// Sets the current lag of this process.
    /// @param lag how long recent messages waited before they were processed.
    void noteLag(Millis lag) { m_lag = lag; }

    /// Expires leases, opens due occurrences and runs other periodic work. Must be called every few to a few
    /// tens of milliseconds.
    void tick();

    /// Commits a request of a caller or operator.
    /// @param command the requested change.
    /// @param done called with the outcome.
    void request(JobCommand command, RequestCallback done);

    /// Decides whether a submitted job is accepted. Only the configuration's customers make this necessary;
    /// without them, and for known, long-running and scheduled jobs, the answer is yes. Call it once for each
    /// submission, right before its request().
    /// @param job the job.
    /// @return the decision; refusals are logged.
    JobAdmission admit(const JobSpec& job);

    /// Sets the capacity that other machines can add to each pool.
    /// @param reachable by pool, with steady times.
    void setReachableCapacity(std::map<std::string, PoolForecast> reachable);

    const AdmissionControl& admission() const { return m_admission; }

    /// @return the longest expected wait of recently submitted jobs; 0 if none was submitted lately or this
    /// instance isn't the leader.
    Millis longestExpectedWait() const;

    /// Processes a runner's report.
    /// @param report the report.
    /// @param done called with the orders, or with nothing if this instance isn't the leader.
    void report(RunnerReport report, OrdersCallback done);

    /// Records that a runner is said to have shut down. It gets no tasks until its reports show otherwise;
    /// its runs end by its reports or its lease.
    /// @param runner its id.
    void leave(const std::string& runner);

    /// Starts waiting tasks on runners with free capacity.
    void plan();

    const RunnerTable& runners() const { return m_runners; }

    /// Excludes runners from further tasks, because their machines are to be emptied.
    /// @param runners their ids.
    void setReserved(std::set<std::string> runners);

    /// Starts long-running tasks on other runners where possible.
    /// @param runners ids of the runners whose machines are due for upkeep.
    void setDueForUpkeep(std::set<std::string> runners) { m_hints.dueForUpkeep = std::move(runners); }

    /// @param runner id of a runner.
    /// @return its committed allocations.
    RunnerUse useOf(const std::string& runner) const;

    /// Stops a run of a long-running task so that it restarts on another runner, if the step's limit on
    /// unavailable tasks permits it and another runner has capacity for it. The run is stopped once the
    /// recall is committed. Nothing is recalled while this process lags.
    /// @param run the run.
    /// @return whether the run is being stopped.
    bool recall(const RunName& run);

    /// @param run a run of a long-running task.
    /// @return whether no other eligible runner has capacity for it.
    bool lacksCapacityElsewhere(const RunName& run) const;

    /// Records that a runner's machine was taken down. Ends no runs: the machine was drained before, and the
    /// answer to the order may arrive after the runner's next incarnation has begun to work.
    /// @param runner id of the runner.
    void noteMachineDown(const std::string& runner);

    /// @return the oldest waiting job of each pool as of the last check, which runs every second, without
    /// those that the limit of their customer holds back. Meaningless while this instance isn't the leader.
    const std::vector<PoolWait>& waits() const { return m_waits; }

    /// @return the longest wait among them within this instance's leadership; 0 if no job waits or this
    /// instance isn't the leader.
    Millis oldestWait() const;

    /// Like waits(), for jobs that the limit of their customer holds back. More capacity doesn't start them.
    const std::vector<PoolWait>& quotaWaits() const { return m_quotaWaits; }

    /// Like oldestWait(), for quotaWaits().
    Millis oldestQuotaWait() const;

private:
    /// An unanswered report. Its contents are in the runner's state in the table.
    struct PendingReport {
        RunnerIncarnation incarnation;
        std::uint64_t sequence = 0;
        std::uint64_t lastEnd = 0;
        OrdersCallback done;
        Millis answerDeadline {}; ///< Steady time; set for the report of an idle runner.
    };

    /// @return false if a report names a service that no configuration has. Such a report comes from another
    /// writer: it describes no runner, and must not end the work of the runner whose id it has.
    bool namesKnownService(const RunnerReport& report) const;
    std::vector<JobCommand> endsOf(const RunnerReport& report) const;
    void commitEnds(const std::vector<JobCommand>& commands, const std::shared_ptr<PendingReport>& pending);
    PoolCapacities poolCapacities() const;
    Resources reservedOn(const RunnerIncarnation& incarnation) const;
    WaitReason refusalOf(const std::string& runner, const RunnerState& state) const;
    PlacementCandidate candidateOf(const RunnerState& state) const;
    AdviceCheck adviceCheck(Millis now) const;
    void refreshCandidates();
    /// Admits quarantined runners for one task at a time in pools without any other eligible runner.
    void probeQuarantinedPools();
    void checkWaits(const std::vector<StartRun>& starts);
    PlacementCandidate candidateAfterPlan(const std::string& runner, const RunnerState& state) const;
    void updateWaitTimes(Millis now, std::vector<PoolWait>& waits);
    void logWait(const PoolWait& wait, Millis now) const;
    Millis longestOf(const std::vector<PoolWait>& waits) const;
    void answerAfterPlan(const std::shared_ptr<PendingReport>& pending);
    void answerAwaitingPlan();
    void answerDelayed(const std::string& runner);
    void answerExpired();
    bool isIdle(const PendingReport& pending) const;
    void answerOrDelay(const std::shared_ptr<PendingReport>& pending);
    void answer(const PendingReport& pending);
    RunnerOrders ordersFor(const PendingReport& pending);
    void addStarts(const RunnerReport& report, RunnerOrders& orders) const;
    void addStops(const RunnerReport& report, RunnerOrders& orders) const;
    bool mustRun(const RunName& run, const RunnerIncarnation& incarnation) const;
    bool isSilent(const RunnerState& state) const;
    /// @return whether answers may arrive after the second for which runners wait.
    bool isLagging() const;
    bool isServing(const TaskName& task, const TaskState& state) const;
    bool isRecalled(const RunName& run) const;
    /// @return whether the step's limit on unavailable tasks permits that a task becomes unavailable.
    bool maySpare(const TaskName& task) const;
    bool mayRecall(const RunName& run) const;
    /// Recalls the long-running runs of a runner that is shutting down, as far as their steps permit.
    void recallFrom(const std::string& runner);
    bool mustStop(const ReportedRun& reported, const RunnerIncarnation& incarnation) const;
    void askForAdvice();
    void noteAdviceHealth(bool hasAnswered, bool isQuick);
    void onAdvice(const AdviceCall& call, const std::optional<PlacementAdvice>& advice);
    void throttleBestEffort(const RunnerReport& report, RunnerOrders& orders);
    ServingLatency servingLatencyOf(const RunnerReport& report) const;
    void recordOutcomes(const std::vector<JobCommand>& commands, const RunnerIncarnation& incarnation);
    void recordFailure(const RunName& run, const RunnerIncarnation& incarnation);
    void avoidFailedRunner(const EndRun& end);
    std::vector<ObservedRun> observedRuns() const;
    void replaceOverdueRuns();
    bool replaceOverdueRun(const OverdueRun& overdue);
    void pruneStaleState();
    /// Drops what onCommitted() recorded and is no longer needed, while another instance leads.
    void followCommits();
    /// @return whether an incarnation with active runs has left or hasn't reported for too long.
    bool isUnheard(const RunnerIncarnation& incarnation) const;
    bool mustNoteSilence(
        const RunnerIncarnation& incarnation, const RunnerAllocation& allocation, Millis leaseLeft) const;
    void noteSilences();
    /// @return the steady time by which all runs of an incarnation have certainly stopped.
    Millis leaseExpiry(const RunnerIncarnation& incarnation, const RunnerAllocation& allocation) const;
    void endExpiredRuns();
    void openDueOccurrences();
    void removeOldJobs();
    void sampleCancelledIds();
    void forgetCancelledIds();

    JobMasterOptions m_options;
    const JobStore& m_store;
    CommandLog& m_log;
    std::function<Moment()> m_clock;
    RunnerTable m_runners;
    bool m_isPlanning = false; ///< Proposed starts are not committed yet.
    bool m_mustPlan = false;
    std::set<std::string> m_startingOn; ///< Runners with proposed and uncommitted starts.
    std::vector<std::shared_ptr<PendingReport>> m_awaitingPlan; ///< Reports to answer after the next plan.
    /// Delayed answers to idle runners, by runner; sent as soon as a task starts there.
    std::map<std::string, std::shared_ptr<PendingReport>> m_delayedAnswers;
    /// The same in the order of their deadlines.
    std::deque<std::weak_ptr<PendingReport>> m_delayedByDeadline;
    CandidateIndex m_candidates; ///< Excludes capacity that pending starts will use.
    std::set<std::string> m_changedRunners; ///< Runners whose candidate is refreshed before the next plan.
    bool m_mustRefreshCandidates = true; ///< All candidates are rebuilt before the next plan.
    std::set<std::string> m_reserved; ///< Runners excluded from further tasks.
    std::set<RunName> m_replaced; ///< Overdue runs that are being stopped to restart elsewhere.
    std::set<RunName> m_recalling; ///< Runs whose recall is proposed and not committed yet.
    std::set<RunName> m_expiring; ///< Runs whose lease expired, while their end is being committed.
    std::set<RunnerIncarnation> m_pendingSilences; ///< Proposed and uncommitted silences.
    /// Steady time at which this replica applied the newest silence of each incarnation. Kept across terms.
    std::map<RunnerIncarnation, Millis> m_silenceAppliedAt;
    Millis
        m_snapshotAppliedAt; ///< When a snapshot last replaced the state; at first the start of the process.
    /// Numbers of the cancelled ids by the time at which this replica had applied them. Kept across terms.
    CounterHistory m_cancelledIdHistory;
    std::set<RunName> m_overdue; ///< Runs that are being replaced because they are stalled or slow.
    RunnerTrust m_trust;
    PlacementHints m_hints;
    AdmissionControl m_admission;
    std::map<std::string, PoolForecast> m_reachableCapacity; ///< By pool, with steady times.
    std::vector<PoolWait> m_waits; ///< As of the last check.
    std::vector<PoolWait> m_quotaWaits; ///< As of the last check.
    std::map<TaskName, Millis> m_waitingSince; ///< Steady time at which a step first appeared in a check.
    Millis m_nextWaitCheck;
    PlacementAdvisor* m_advisor = nullptr; ///< Null without an advice service.
    AdviceCache m_adviceCache;
    bool m_isAdvicePending = false; ///< A call of the advisor is in flight, perhaps of an earlier term.
    std::uint32_t m_adviceFailures = 0; ///< Consecutive failed calls of the advisor.
    std::uint32_t m_timeoutDoublings = 0; ///< Doublings of the timeout of the advisor's calls.
    Millis m_adviceRetryAt; ///< Steady time until which the advisor isn't called after a failure.
    Millis m_lag; ///< How long recent messages waited before they were processed.
    Millis m_nextHousekeeping;
    bool m_isHousekeeping = false; ///< Commands proposed by housekeeping are not committed yet.
};

} // namespace celeryline
