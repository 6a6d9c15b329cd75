// What keeps a runner or a task from a start must end by itself.
#include "JobKit.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace celeryline;
using namespace celeryline::test;

namespace {

StepSpec makeLastingStep()
{
    auto step = makeStep(1);
    step.isLongRunning = true;
    return step;
}

/// A runner that reports four times a second and works as its caller says.
class ReportingRunner {
public:
    ReportingRunner(JobMasterFixture& kit, std::string id)
        : m_kit(kit)
        , m_id(std::move(id))
    {
    }

    /// Reports, and takes notice of the orders.
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
            endRuns([&](const StartOrder& start) { return start.run == stop; }, RunEnd::Stopped);
        for (const auto& start : orders->starts) {
            held.push_back(start);
            ++m_starts[start.run.task.job.text()];
        }
    }

    /// Ends all runs of a job.
    void end(const std::string& job, RunEnd how)
    {
        endRuns([&](const StartOrder& start) { return start.run.task.job.text() == job; }, how);
        report();
    }

    /// @return how many runs of a job it has begun.
    int startsOf(const std::string& job) const
    {
        auto found = m_starts.find(job);
        return found == m_starts.end() ? 0 : found->second;
    }

    std::vector<StartOrder> held;

private:
    template <typename Condition> void endRuns(const Condition& mustEnd, RunEnd how)
    {
        for (const auto& start : held) {
            if (mustEnd(start))
                m_ended.push_back(ended(++m_lastEnd, start, how));
        }
        held.erase(std::remove_if(held.begin(), held.end(), mustEnd), held.end());
    }

    JobMasterFixture& m_kit;
    std::string m_id;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_lastEnd = 0;
    std::vector<ReportedEnd> m_ended;
    std::map<std::string, int> m_starts; ///< Runs begun, by job.
};

const char* const idOfJob[] = { "1000000000000000", "1000000000000001", "1000000000000002" };
const std::string lastingJob = "2000000000000000";
const std::string shortJob = "3000000000000000";

void pass(JobMasterFixture& kit, const std::vector<ReportingRunner*>& runners, Millis time)
{
    constexpr Millis step { 250 };
    for (Millis passed; passed < time; passed = passed + step) {
        kit.advance(step);
        for (auto* runner : runners)
            runner->report();
    }
}

/// Lets a runner fail one task of each of three jobs, which puts it into quarantine.
void failThreeJobs(JobMasterFixture& kit, ReportingRunner& runner)
{
    for (const char* job : idOfJob) {
        kit.submit(makeJob(job, { makeStep(1) }));
        runner.report();
        REQUIRE(runner.startsOf(job) == 1);
        runner.end(job, RunEnd::Failed);
        kit.master.request(CancelJob { job }, [](RequestOutcome) {});
        pass(kit, { &runner }, { 500 });
    }
}

} // namespace

// Guards against a runner that is tried out after failures and gets nothing for a minute, because it counts
// the long-running task that it holds as its one task (LOST, grown Consorzio, inc1).
TEST_CASE("A runner on probation that holds a long-running task gets another task", "[master]")
{
    JobMasterFixture kit;
    ReportingRunner runner(kit, "tried");
    runner.report();
    kit.submit(makeJob(lastingJob, { makeLastingStep() }));
    runner.report();
    REQUIRE(runner.startsOf(lastingJob) == 1);
    failThreeJobs(kit, runner);
    kit.submit(makeJob(shortJob, { makeStep(1) }));
    runner.report();
    REQUIRE(runner.startsOf(shortJob) == 0); // It is in quarantine.
    pass(kit, { &runner }, { 4000 });
    REQUIRE(runner.startsOf(shortJob) == 1);
}

// Guards against a trial whose one task is a long-running one, which never ends and so never ends the trial.
TEST_CASE("A runner whose trial is a long-running task gets another task", "[master]")
{
    JobMasterFixture kit;
    ReportingRunner runner(kit, "tried");
    runner.report();
    failThreeJobs(kit, runner);
    kit.submit(makeJob(lastingJob, { makeLastingStep() }));
    pass(kit, { &runner }, { 4000 });
    REQUIRE(runner.startsOf(lastingJob) == 1);
    kit.submit(makeJob(shortJob, { makeStep(1) }));
    pass(kit, { &runner }, { 1000 });
    REQUIRE(runner.startsOf(shortJob) == 1);
}

// Guards against a task that waits for ever for a runner that is full of long-running tasks, because it
// failed on the runners that have room (LOST, Atlas quiet-1 seed 402506973380).
TEST_CASE("A task starts again where it failed when no other runner gets room", "[master]")
{
    JobMasterFixture kit;
    ReportingRunner full(kit, "full");
    full.report();
    auto lasting = makeLastingStep();
    lasting.demand = { 4000, 8000, 0 };
    kit.submit(makeJob(lastingJob, { lasting }));
    full.report();
    REQUIRE(full.startsOf(lastingJob) == 1);
    ReportingRunner free(kit, "free");
    free.report();
    kit.submit(makeJob(shortJob, { makeStep(1) }));
    free.report();
    REQUIRE(free.startsOf(shortJob) == 1);
    free.end(shortJob, RunEnd::Failed);
    pass(kit, { &full, &free }, { 500 });
    REQUIRE(free.startsOf(shortJob) == 1); // Another runner may soon have room.
    pass(kit, { &full, &free }, { 3000 });
    REQUIRE(free.startsOf(shortJob) == 2);
}
