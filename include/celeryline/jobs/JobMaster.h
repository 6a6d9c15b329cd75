/// @file
/// The leader's control of jobs and runners.
#pragma once

#include "celeryline/jobs/AdviceBook.h"
#include "celeryline/jobs/FillerPace.h"
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
#include <vector>

namespace celeryline {

/// The log as JobMaster sees it.
class CommandLog {
public:
    virtual ~CommandLog() = default;

    /// @return whether this instance may act as leader now: no other one can, and all that earlier leaders
    /// committed is applied here.
    virtual bool isLeading() const = 0;

    /// @return term of this instance's leadership.
    virtual std::uint64_t term() const = 0;

    /// Appends commands.
    /// @param commands the commands.
    /// @param done called once: with true when they are committed and applied, with false when that isn't
    /// known, because leadership was lost.
    virtual void propose(const std::vector<JobCommand>& commands, std::function<void(bool)> done) = 0;
};

/// The two clocks of an instance at one moment.
struct Moment {
    Millis steady; ///< For leases and timeouts.
    Millis wall; ///< For due times and records.
};

/// What became of a caller's or operator's request.
enum class RequestOutcome : std::uint8_t {
    Done, ///< Committed.
    NotLeading, ///< Not done; another instance must be asked.
    Unknown ///< It may be done or not; the same request may be sent again.
};

/// What a runner holds according to the committed state.
struct RunnerUse {
    Resources reserved;
    std::vector<RunName> lasting; ///< Runs of long-running tasks.
    std::size_t runs = 0; ///< All of them.
    bool isEmpty = true; ///< It holds nothing, and no start there is under way.
};

/// Constants of JobMaster.
struct JobMasterOptions {
    Millis runnerHold { 4000 }; ///< Lease of runs, granted with each answer to a report.
    /// Lease that is granted while this process is late, so that work isn't given up because of that.
    Millis runnerHoldWhenLate { 4000 };
    /// How long the answer to a runner that runs nothing may wait for a start; 0 to answer at once. Runners
    /// drop answers after a second.
    Millis longestWait { 600 };
    Millis reportAfterWait { 20 }; ///< When a runner whose answer has waited should report again.
    Millis reportWithRoom { 250 }; ///< When a busy runner with free capacity should report again.
    Millis reportWhenFull { 1000 }; ///< When a runner without free capacity should report again.
    /// A runner without a report for so long may be gone, although its lease goes on.
    Millis silentAfter { 1500 };
    Millis endedJobsKept { 180000 }; ///< How long the state of an ended job can be read.
    Millis housekeeping { 500 }; ///< Interval of lease checks and the like.
    OverdueLimits overdue;
};

/// The leader's control of jobs and runners: turns reports and requests into commands, and committed state
/// into orders. Orders are derived from the committed state and from what the runner reports at each report,
/// so that a lost answer or a change of leader needs no special treatment. Single-threaded.
class JobMaster {
public:
    using RequestCallback = std::function<void(RequestOutcome)>;
    using OrdersCallback = std::function<void(std::optional<RunnerOrders>)>;

    /// @param options constants.
    /// @param store committed state.
    /// @param log where changes are proposed.
    /// @param clock gives the time.
    JobMaster(const JobMasterOptions& options, const JobStore& store, CommandLog& log,
        std::function<Moment()> clock);

    /// Sets the service that says which runners may run a step.
    /// @param advisor must outlive this object.
    void setAdvisor(PlacementAdvisor& advisor) { m_advisor = &advisor; }

    /// Begins a term of leadership.
    void startTerm();

    /// Takes notice how late this process is.
    /// @param lag how long what came lately has waited.
    void noteLag(Millis lag) { m_lag = lag; }

    /// Lets leases end and due times come. Call it every few milliseconds to tens of milliseconds.
    void tick();

    /// Takes or changes something durably.
    /// @param command what is to be done.
    /// @param done called with the outcome.
    void request(JobCommand command, RequestCallback done);

    /// Takes a runner's report.
    /// @param report the report.
    /// @param done called with the orders; with nothing if this instance doesn't lead.
    void report(RunnerReport report, OrdersCallback done);

    /// Notes that a runner has left.
    /// @param runner its id.
    void leave(const std::string& runner);

    /// Starts tasks for which there is room.
    void plan();

    const RunnerTable& runners() const { return m_runners; }

    /// Sets the runners that get no further tasks, because their machines are to be emptied.
    /// @param runners their ids.
    void setReserved(std::set<std::string> runners);

    /// @param runner id of a runner.
    /// @return what it holds.
    RunnerUse useOf(const std::string& runner) const;

    /// Stops a run of a long-running task, so that it starts again on another runner, if all the other tasks
    /// of its step are at work and there is room for it.
    /// @param run the run.
    /// @return whether it is being stopped.
    bool recall(const RunName& run);

    /// @param run a run of a long-running task.
    /// @return whether no other runner that takes tasks has room for it.
    bool lacksRoomElsewhere(const RunName& run) const;

    /// Ends what a runner held, after its machine was taken away from under it.
    /// @param runner id of the runner.
    void endRunner(const std::string& runner);

    /// @return the oldest waiting job of each pool, as of the last check, which is made each second; of no
    /// use while this instance doesn't lead.
    const std::vector<PoolWait>& waits() const { return m_waits; }

    /// @return the longest time that such a job has waited while this instance leads; 0 if none waits or
    /// this instance doesn't lead.
    Millis oldestWait() const;

private:
    /// A report that has no answer yet. Its contents are those of the runner's state in the table.
    struct PendingReport {
        RunnerLife life;
        std::uint64_t sequence = 0;
        std::uint64_t lastEnd = 0;
        OrdersCallback done;
        Millis answerBy {}; ///< Steady time; of an idle runner's report.
    };

    /// A step for which the advice service should be asked.
    struct AdviceCall {
        TaskName step;
        std::string service; ///< The step's pool.
        std::optional<Millis> askedAt; ///< When it was last asked for.
    };

    std::vector<JobCommand> endsOf(const RunnerReport& report) const;
    void takeEnds(const std::vector<JobCommand>& commands, const std::shared_ptr<PendingReport>& pending);
    Resources reservedOn(const RunnerLife& life) const;
    WaitReason refusalOf(const std::string& runner, const RunnerState& state) const;
    RunnerRoom roomOf(const RunnerState& state) const;
    AdviceCheck adviceCheck(Millis now) const;
    void refreshRooms();
    /// Lets quarantined runners take one task at a time where a pool has no other runner that takes any.
    void tryQuarantinedPools();
    void checkWaits(const std::vector<StartRun>& starts);
    RunnerRoom roomAfterPlan(const std::string& runner, const RunnerState& state) const;
    void noteWaits(Millis now);
    void answerAfterPlan(const std::shared_ptr<PendingReport>& pending);
    void answerWaiting();
    void answerIdle(const std::string& runner);
    void answerOverdueIdle();
    bool isIdle(const PendingReport& pending) const;
    void answerOrWait(const std::shared_ptr<PendingReport>& pending);
    void answer(const PendingReport& pending);
    RunnerOrders ordersFor(const PendingReport& pending);
    void addStarts(const RunnerReport& report, RunnerOrders& orders) const;
    void addStops(const RunnerReport& report, RunnerOrders& orders) const;
    bool mustRun(const RunName& run, const RunnerLife& life) const;
    bool isSilent(const RunnerState& state) const;
    bool isAtWork(const TaskName& task, const TaskState& state) const;
    bool mayRecall(const RunName& run) const;
    void askForAdvice();
    std::vector<AdviceCall> adviceCalls() const;
    void askFor(const AdviceCall& call);
    void paceFillers(const RunnerReport& report, RunnerOrders& orders);
    ServingTail tailOf(const RunnerReport& report) const;
    void noteEnds(const std::vector<JobCommand>& commands, const RunnerLife& life);
    void noteFailure(const RunName& run, const RunnerLife& life);
    std::vector<ObservedRun> observedRuns() const;
    void replaceOverdueRuns();
    bool replaceOverdueRun(const OverdueRun& overdue);
    void dropOldNotes();
    void endLostRuns();
    void openDueOccurrences();
    void forgetOldJobs();

    JobMasterOptions m_options;
    const JobStore& m_store;
    CommandLog& m_log;
    std::function<Moment()> m_clock;
    RunnerTable m_runners;
    bool m_isPlanning = false; ///< Starts are proposed and not committed yet.
    bool m_mustPlan = false;
    std::set<std::string> m_startingOn; ///< Runners of the starts that are proposed and not committed yet.
    std::vector<std::shared_ptr<PendingReport>> m_waiting; ///< Reports that wait for the plan.
    /// Reports of runners that run nothing, by runner; they are answered as soon as something starts there.
    std::map<std::string, std::shared_ptr<PendingReport>> m_idle;
    std::deque<std::weak_ptr<PendingReport>> m_idleByTime; ///< The same in the order of their answerBy.
    RoomIndex m_rooms; ///< Less what is being started.
    std::set<std::string> m_changedRunners; ///< Their rooms are taken anew before the next plan.
    bool m_mustRefreshRooms = true; ///< All rooms are taken anew before the next plan.
    std::set<std::string> m_reserved; ///< Runners that get no further tasks.
    std::set<RunName> m_recalled; ///< Runs that are being stopped to start elsewhere.
    std::set<RunName> m_lapsing; ///< Runs whose lease lapsed, while that is being committed.
    std::set<RunName> m_overdue; ///< Runs that are being replaced because they hardly go on.
    RunnerTrust m_trust;
    StartHints m_hints;
    std::vector<PoolWait> m_waits; ///< As of the last check.
    std::map<TaskName, Millis> m_waitingSince; ///< Steady time at which a step was first in m_waits.
    Millis m_nextWaitCheck;
    PlacementAdvisor* m_advisor = nullptr; ///< Null if there is no such service.
    AdviceBook m_advice;
    std::size_t m_asking = 0; ///< Calls to the advisor that have no answer yet.
    Millis m_lag; ///< How long what came lately has waited.
    Millis m_nextHousekeeping;
    bool m_isHousekeeping = false; ///< Its commands are proposed and not committed yet.
};

} // namespace celeryline
