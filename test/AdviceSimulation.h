/// @file
/// Simulation of an advice service and of runners that check its tickets, in simulated time.
#pragma once

#include "JobKit.h"

#include "celeryline/jobs/PlacementAdvisor.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace celeryline::test {

/// Behaviour of a simulated advice service.
struct AdviceServiceOptions {
    Millis decide { 400 }; ///< Duration of a call without its runners.
    Millis interval { 50 }; ///< Additional duration for each runner of a call.
    Millis validity { 3000 }; ///< Of a ticket.
    std::size_t maxWaiting = 32; ///< Calls that may wait; one more fails at once.
    bool countsFromCall = false; ///< Tickets count from the beginning of their call, not from its end.
    /// Says whether a runner may run a step.
    std::function<bool(const TaskName& step, const std::string& runner)> approves
        = [](const TaskName&, const std::string&) { return true; };
};

/// An advice service that handles one call at a time, and its client. The service goes on working at calls
/// that the client has abandoned.
class SimulatedAdviceService final : public PlacementAdvisor {
public:
    explicit SimulatedAdviceService(AdviceServiceOptions options)
        : options(std::move(options))
    {
    }

    void ask(const TaskName& step, const std::vector<std::string>& runners, Millis timeout,
        Callback done) override;

    /// Answers the calls that are due and fails those that time out.
    void advanceTo(Millis now);

    /// Lets a call of another client of the same machine be in progress for a while.
    void occupyFor(Millis time);

    /// @return whether a ticket permits a start at the current time.
    bool isValid(const TaskName& task, const std::string& runner, const std::string& ticket) const;

    AdviceServiceOptions options;
    bool isSilent = false; ///< The service doesn't work on any call.
    int callCount = 0;
    int rejectedCount = 0; ///< Calls that failed because too many were waiting.
    std::size_t longestLine = 0; ///< Most calls that were open at a time, abandoned ones included.
    std::size_t namedRunners = 0; ///< Total over all calls.

private:
    struct Call {
        TaskName step;
        std::vector<std::string> runners;
        Callback done; ///< Empty once the client has abandoned the call.
        Millis askedAt;
        Millis deadline;
    };

    Millis finishOf(const Call& call) const;
    void answer(const Call& call, Millis finishedAt);

    Millis m_now;
    Millis m_idleSince; ///< When the service finishes the call of another client, or last finished a call.
    std::deque<Call> m_calls;
    std::map<std::tuple<std::string, std::string, std::string>, Millis>
        m_tickets; ///< Until when each is valid.
};

/// A JobMaster with runners and an advice service.
class AdviceSimulation {
public:
    AdviceSimulation(int runners, AdviceServiceOptions options);

    void submit(const std::string& id, const std::vector<StepSpec>& steps);
    void submit(const std::string& id, const StepSpec& step) { submit(id, std::vector<StepSpec> { step }); }

    /// Submits a job of one step to a queue without advice, with the same pool.
    void submitPlain(const std::string& id, const StepSpec& step);

    /// Sets how long after an answer runners report again, unless a task ends.
    void setReportInterval(Millis interval) { m_reportInterval = interval; }

    void runFor(Millis time);

    /// Begins another term of leadership of the same process.
    void startNextTerm();

    /// Runs until all submitted jobs have started.
    /// @return whether they have within the time.
    bool runUntilStarted(Millis limit);

    /// Runs until all submitted jobs have ended.
    /// @return whether they have within the time.
    bool runUntilDone(Millis limit);

    std::size_t startedJobs() const { return m_started.size(); }
    bool hasStarted(const std::string& job) const { return m_started.count(job) != 0; }

    /// Replaces a runner by its next incarnation under the same id.
    void restartRunner(const std::string& runner);

    SimulatedAdviceService service;
    JobMasterFixture kit;
    int refusedStarts = 0; ///< Starts without a valid ticket.
    Millis taskDuration { 500 };

private:
    struct Active {
        RunName run;
        Millis endsAt;
    };
    struct Runner {
        std::string id;
        std::int64_t born = 1;
        std::uint64_t sequence = 0;
        std::uint64_t ends = 0;
        std::vector<Active> active;
        std::vector<ReportedEnd> ended;
        Millis nextReport;
    };

    void step();
    void finishTasks(Runner& runner);
    void report(Runner& runner);
    void obey(Runner& runner, const RunnerOrders& orders);
    void addEnd(Runner& runner, const RunName& run, RunOutcome outcome);

    std::vector<Runner> m_runners;
    Millis m_reportInterval { 250 };
    std::size_t m_submitted = 0;
    std::set<std::string> m_started;
};

} // namespace celeryline::test
