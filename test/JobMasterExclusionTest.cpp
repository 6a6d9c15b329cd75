// Tests that every exclusion of a runner or task from placement ends without outside help.
#include "JobKit.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace celeryline;
using namespace celeryline::test;

namespace {

StepSpec makeLongRunningStep()
{
    auto step = makeStep(1);
    step.isLongRunning = true;
    return step;
}

/// A simulated runner that reports four times per second and ends runs on request.
class ReportingRunner {
public:
    ReportingRunner(JobMasterFixture& kit, std::string id)
        : m_kit(kit)
        , m_id(std::move(id))
    {
    }

    /// Sends a report and follows the orders in the answer.
    void report()
    {
        auto report = makeReport(m_id, ++m_sequence);
        report.ended = m_ended;
        for (const auto& start : held)
            report.running.push_back(running(start));
        auto orders = m_kit.report(report);
        if (!orders)
            return;
        auto isAcknowledged = [&](const ReportedEnd& end) { return end.number <= orders->acknowledgedEnds; };
        m_ended.erase(std::remove_if(m_ended.begin(), m_ended.end(), isAcknowledged), m_ended.end());
        for (const auto& stop : orders->stops)
            endRuns([&](const StartOrder& start) { return start.run == stop; }, RunOutcome::Stopped);
        for (const auto& start : orders->starts) {
            held.push_back(start);
            ++m_starts[start.run.task.job.text()];
        }
    }

    /// Ends all runs of a job.
    void end(const std::string& job, RunOutcome outcome)
    {
        endRuns([&](const StartOrder& start) { return start.run.task.job.text() == job; }, outcome);
        report();
    }

    /// @return the number of runs of a job that it started.
    int startsOf(const std::string& job) const
    {
        auto found = m_starts.find(job);
        return found == m_starts.end() ? 0 : found->second;
    }

    std::vector<StartOrder> held;

private:
    template <typename Condition> void endRuns(const Condition& mustEnd, RunOutcome outcome)
    {
        for (const auto& start : held) {
            if (mustEnd(start))
                m_ended.push_back(ended(++m_lastEnd, start, outcome));
        }
        held.erase(std::remove_if(held.begin(), held.end(), mustEnd), held.end());
    }

    JobMasterFixture& m_kit;
    std::string m_id;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_lastEnd = 0;
    std::vector<ReportedEnd> m_ended;
    std::map<std::string, int> m_starts; ///< Started runs, by job.
};

const char* const failingJobs[] = { "1000000000000000", "1000000000000001", "1000000000000002" };
const std::string longRunningJob = "2000000000000000";
const std::string shortJob = "3000000000000000";

void simulate(JobMasterFixture& kit, const std::vector<ReportingRunner*>& runners, Millis time)
{
    constexpr Millis step { 250 };
    for (Millis passed; passed < time; passed = passed + step) {
        kit.advance(step);
        for (auto* runner : runners)
            runner->report();
    }
}

/// Fails one task of each of three jobs on a runner, which quarantines it.
void failThreeJobs(JobMasterFixture& kit, ReportingRunner& runner)
{
    for (const char* job : failingJobs) {
        kit.submit(makeJob(job, { makeStep(1) }));
        runner.report();
        REQUIRE(runner.startsOf(job) == 1);
        runner.end(job, RunOutcome::Failed);
        kit.master.request(CancelJob { job }, [](RequestOutcome) {});
        simulate(kit, { &runner }, { 500 });
    }
}

} // namespace

// Guards against a runner on probation that gets no task for a minute, because the long-running task that it
// already runs counts as its one task.
TEST_CASE("A runner on probation that holds a long-running task gets another task", "[master]")
{
    JobMasterFixture kit;
    ReportingRunner runner(kit, "tried");
    runner.report();
    kit.submit(makeJob(longRunningJob, { makeLongRunningStep() }));
    runner.report();
    REQUIRE(runner.startsOf(longRunningJob) == 1);
    failThreeJobs(kit, runner);
    kit.submit(makeJob(shortJob, { makeStep(1) }));
    runner.report();
    REQUIRE(runner.startsOf(shortJob) == 0); // The runner is quarantined.
    simulate(kit, { &runner }, { 4000 });
    REQUIRE(runner.startsOf(shortJob) == 1);
}

// Guards against a probation whose one task is a long-running one, so that the probation never ends.
TEST_CASE("A runner whose probation starts with a long-running task gets another task", "[master]")
{
    JobMasterFixture kit;
    ReportingRunner runner(kit, "tried");
    runner.report();
    failThreeJobs(kit, runner);
    kit.submit(makeJob(longRunningJob, { makeLongRunningStep() }));
    simulate(kit, { &runner }, { 4000 });
    REQUIRE(runner.startsOf(longRunningJob) == 1);
    kit.submit(makeJob(shortJob, { makeStep(1) }));
    simulate(kit, { &runner }, { 1000 });
    REQUIRE(runner.startsOf(shortJob) == 1);
}

// Guards against a task that waits forever for a runner that is full of long-running tasks, because it failed
// on the runners with free capacity.
TEST_CASE("A task starts again where it failed when no other runner gets free capacity", "[master]")
{
    JobMasterFixture kit;
    ReportingRunner full(kit, "full");
    full.report();
    auto longRunning = makeLongRunningStep();
    longRunning.demand = { 4000, 8000, 0 };
    kit.submit(makeJob(longRunningJob, { longRunning }));
    full.report();
    REQUIRE(full.startsOf(longRunningJob) == 1);
    ReportingRunner free(kit, "free");
    free.report();
    kit.submit(makeJob(shortJob, { makeStep(1) }));
    free.report();
    REQUIRE(free.startsOf(shortJob) == 1);
    free.end(shortJob, RunOutcome::Failed);
    simulate(kit, { &full, &free }, { 500 });
    REQUIRE(free.startsOf(shortJob) == 1); // Another runner may soon have capacity.
    simulate(kit, { &full, &free }, { 3000 });
    REQUIRE(free.startsOf(shortJob) == 2);
}
