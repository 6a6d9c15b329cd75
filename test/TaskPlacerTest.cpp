#include "celeryline/jobs/TaskPlacer.h"

#include "JobKit.h"
#include "celeryline/jobs/StartPlan.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

using namespace celeryline;
using namespace celeryline::test;

namespace {

constexpr Millis wall { 100000 };
constexpr int dataCentres = 3;

std::string dataCentreName(int index) { return "dc" + std::to_string(index); }

/// Runners "r0", "r1", ... in turn in each data centre.
CandidateIndex& addRunners(CandidateIndex& index, int count, std::int64_t cpuMilli)
{
    for (int i = 0; i < count; ++i) {
        PlacementCandidate candidate { { "r" + std::to_string(i), { 1 } }, "pool", {},
            { cpuMilli, 100000, 0 } };
        candidate.dataCentre = dataCentreName(i % dataCentres);
        index.set(std::move(candidate));
    }
    return index;
}

JobStore storeWith(int jobs, std::uint32_t tasks)
{
    JobStore store;
    store.apply(AcceptConfiguration { makeConfiguration() }, {});
    for (int i = 0; i < jobs; ++i)
        store.apply(SubmitJob { makeJob("job" + std::to_string(i), { makeStep(tasks) }), wall }, {});
    return store;
}

std::map<std::string, std::set<std::string>> dataCentresByJob(
    const std::vector<StartRun>& starts, const CandidateIndex& index)
{
    std::map<std::string, std::set<std::string>> result;
    for (const auto& start : starts)
        result[start.run.task.job.text()].insert(index.find(start.incarnation.runner)->dataCentre);
    return result;
}

} // namespace

// Guards against a lost data centre that delays nearly all jobs, because each has a task there. The load is a
// peak of jobs of eight tasks.
TEST_CASE("The tasks of a job share a data centre where capacity permits", "[placement]")
{
    CandidateIndex index;
    addRunners(index, 12, 4000);
    auto store = storeWith(6, 8);
    auto starts = planStarts(store, index, wall);
    REQUIRE(starts.size() == 48);
    int inOne = 0;
    for (const auto& [job, used] : dataCentresByJob(starts, index))
        inOne += used.size() == 1 ? 1 : 0;
    REQUIRE(inOne >= 5); // The last one takes what is left.
}

// Guards against tasks that wait for their job's data centre while others have free capacity.
TEST_CASE("A job that doesn't fit into its data centre uses the others", "[placement]")
{
    CandidateIndex index;
    addRunners(index, 3, 2000);
    auto store = storeWith(1, 6);
    auto starts = planStarts(store, index, wall);
    REQUIRE(starts.size() == 6);
    REQUIRE(dataCentresByJob(starts, index)["job0"].size() == 3);
}

// Guards against later tasks of a job that start in another data centre than its active runs.
TEST_CASE("Waiting tasks follow the active runs of their job", "[placement]")
{
    auto store = storeWith(1, 3);
    store.apply(StartRun { { { "job0", 0, 0, 0 }, 1 }, { "r1", { 1 } } }, {});
    CandidateIndex index;
    addRunners(index, 6, 4000);
    auto starts = planStarts(store, index, wall);
    REQUIRE(starts.size() == 2);
    REQUIRE(dataCentresByJob(starts, index)["job0"] == std::set<std::string> { dataCentreName(1) });
}

// Guards against a search through the whole pool for each task when the job's data centre is full.
TEST_CASE("A full data centre costs a bounded search", "[placement]")
{
    auto store = storeWith(1, 2);
    store.apply(StartRun { { { "job0", 0, 0, 0 }, 1 }, { "home", { 1 } } }, {});
    CandidateIndex index;
    addRunners(index, 60, 4000);
    PlacementCandidate home { { "home", { 1 } }, "pool", {}, { 9000, 100000, 0 } };
    home.dataCentre = "far";
    index.set(home);
    auto starts = planStarts(store, index, wall);
    REQUIRE(starts.size() == 1);
    // The home runner has the loosest fit of 61, beyond the bound of the search.
    REQUIRE(starts.front().incarnation.runner != "home");
}
