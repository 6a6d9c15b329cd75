#include "celeryline/decisions/JobPlacement.h"

#include "celeryline/base/Error.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace celeryline;
using Catch::Matchers::Contains;

namespace {

Job job(const std::string& id, const std::string& team, Resources declared, bool urgent = false)
{
    Job job;
    job.id = id;
    job.team = team;
    job.kind = "k";
    job.pool = "p";
    job.declared = declared;
    job.urgent = urgent;
    return job;
}

CapacityIndex workers(int count, Resources capacity = { 16000, 32768, 0 })
{
    CapacityIndex index;
    for (int i = 0; i < count; ++i) {
        index.setWorker({ "w" + std::to_string(i), "dc" + std::to_string(i / 4 % 2),
            "r" + std::to_string(i / 4), "p", { { "disk", i % 2 == 0 ? "ssd" : "none" } }, capacity, true });
    }
    return index;
}

} // namespace

TEST_CASE("Urgent jobs start before batch, by throttling it if no capacity is free", "[JobPlacement]")
{
    TeamShares teams { { "a", { { 64000, 131072, 0 }, {} } } };
    SizeEstimator sizes;
    auto index = workers(1);
    JobBacklog backlog;
    backlog.add(job("batch", "a", { 10000, 1000, 0 }));
    backlog.add(job("urgent", "a", { 10000, 1000, 0 }, true));
    auto first = placeJobs(backlog, index, sizes, teams, 1);
    REQUIRE(first.starts.size() == 1);
    CHECK(first.starts[0].job == "urgent");
    index.place("w0", { "old", 1, { 15000, 1000, 0 }, false, true, false, "x" });
    auto pressed = placeUrgent(job("u", "a", { 8000, 1000, 0 }, true), index, sizes, teams, 2);
    REQUIRE(pressed.start);
    REQUIRE(pressed.instructions.size() == 1);
    CHECK(pressed.instructions[0].job == "old");
    CHECK(pressed.instructions[0].action == JobAction::Throttle);
    teams["a"].used = teams["a"].limit; // By its batch jobs.
    CHECK(placeUrgent(job("u", "a", { 8000, 1000, 0 }, true), index, sizes, teams, 2).start);
    teams["a"].urgentUsed = teams["a"].limit;
    CHECK_FALSE(placeUrgent(job("u", "a", { 8000, 1000, 0 }, true), index, sizes, teams, 2).start);
}

TEST_CASE("Jobs are spread over data centres and racks", "[JobPlacement]")
{
    SizeEstimator sizes;
    JobBacklog backlog;
    for (int i = 0; i < 4; ++i) {
        backlog.add(job(std::to_string(i), "a", { 1000, 100, 0 }));
    }
    std::set<std::string> placed;
    for (const auto& start : placeJobs(backlog, workers(16), sizes, {}, 1).starts) {
        placed.insert("r" + std::to_string(std::stoi(start.worker.substr(1)) / 4));
    }
    CHECK(placed.size() == 4);
}

TEST_CASE("Impossible jobs are refused at once with the reason", "[JobPlacement]")
{
    SizeEstimator sizes;
    JobBacklog backlog;
    backlog.add(job("large", "a", { 17000, 100, 0 }));
    backlog.add(job("accelerated", "a", { 100, 100, 1 }));
    auto elsewhere = job("elsewhere", "a", { 100, 100, 0 });
    elsewhere.pool = "q";
    backlog.add(elsewhere);
    auto selected = job("selected", "a", { 100, 100, 0 });
    selected.selector = parseSelector("disk=tape");
    backlog.add(selected);
    auto refusals = placeJobs(backlog, workers(4), sizes, {}, 1).refusals;
    REQUIRE(refusals.size() == 4);
    CHECK_THAT(refusals[0].reason, Contains("could ever hold 17000 mCPU"));
    CHECK_THAT(refusals[2].reason, Contains("\"q\" has no workers"));
    CHECK_THAT(refusals[3].reason, Contains("matches \"disk=tape\""));
}

TEST_CASE("Placements since the last report are counted, a late report changes nothing", "[JobPlacement]")
{
    auto index = workers(1);
    index.place("w0", { "a", 5, { 4000, 0, 0 }, false, true, false, "x" });
    index.report("w0", { 1000, 0, 0 }, 4);
    CHECK(index.freeOn("w0").cpuMilli == 11000);
    index.report("w0", { 1500, 0, 0 }, 5); // The job has started and doesn't use its full size yet.
    CHECK(index.freeOn("w0").cpuMilli == 12000);
    index.report("w0", { 6000, 0, 0 }, 5);
    CHECK(index.freeOn("w0").cpuMilli == 10000);
    index.report("w0", { 100, 0, 0 }, 4);
    CHECK(index.freeOn("w0").cpuMilli == 10000);
    CHECK_THROWS_AS(index.place("w0", { "b", 5, {}, false, true, false, "x" }), Error);
    CHECK_THROWS_AS(index.place("w0", { "a", 6, {}, false, true, false, "x" }), Error);
}

TEST_CASE("Sizes are learnt by team and kind and replace wrong declarations", "[JobPlacement]")
{
    SizeEstimator sizes;
    for (int i = 0; i < 20; ++i) {
        sizes.observe("a", "k", { 1000 + 10 * i, 500, 0 });
        CHECK(sizes.isLearnt("a", "k") == (i >= 4));
    }
    auto learnt = sizes.estimate("a", "k", { 10000, 5000, 2 });
    CHECK(learnt.cpuMilli >= 1090); // Half of the jobs use no more.
    CHECK(learnt.cpuMilli < 1250);
    CHECK(learnt.memoryMb >= 550); // All of them, with headroom.
    CHECK(learnt.memoryMb < 650);
    CHECK(learnt.accelerators == 2);
    CHECK(sizes.estimate("b", "k", { 1, 1, 0 }).cpuMilli == learnt.cpuMilli);
    CHECK(sizes.estimate("b", "other", { 1, 1, 0 }).cpuMilli == 1);
}

TEST_CASE("Random rounds respect capacity, quotas, selectors and start each job once", "[JobPlacement]")
{
    REQUIRE(rc::check("placement is valid", [] {
        auto index = workers(*rc::gen::inRange(1, 20));
        SizeEstimator sizes;
        TeamShares teams;
        std::map<std::string, Job> jobs;
        std::uint64_t fence = 1;
        for (int round = 0; round < 4; ++round) {
            JobBacklog backlog;
            auto count = *rc::gen::inRange(0, 40);
            for (int i = 0; i < count; ++i) {
                auto id = std::to_string(round) + "-" + std::to_string(i);
                auto team = "t" + std::to_string(*rc::gen::inRange(0, 4));
                teams[team].limit = { 20000, 20000, 0 };
                auto next = job(id, team, { *rc::gen::inRange(1, 18000), *rc::gen::inRange(1, 9000), 0 },
                    *rc::gen::inRange(0, 5) == 0);
                if (*rc::gen::inRange(0, 4) == 0) {
                    next.selector = parseSelector("disk=ssd");
                }
                jobs[id] = next;
                backlog.add(next);
            }
            auto decision = placeJobs(backlog, index, sizes, teams, fence);
            RC_ASSERT(decision.starts.size() + decision.waits.size() + decision.refusals.size()
                == static_cast<std::size_t>(count));
            std::set<std::string> throttled;
            for (const auto& instruction : decision.instructions) {
                throttled.insert(instruction.worker);
            }
            bool borrowing = false;
            for (const auto& start : decision.starts) {
                const auto& placed = jobs[start.job];
                bool ssd = std::stoi(start.worker.substr(1)) % 2 == 0;
                RC_ASSERT(placed.selector.requirements.empty() || ssd);
                RC_ASSERT(start.held.fence >= fence);
                fence = start.held.fence + 1;
                auto& team = teams[placed.team];
                team.used = detail::add(team.used, start.held.size);
                if (placed.urgent) {
                    team.urgentUsed = detail::add(team.urgentUsed, start.held.size);
                }
                const auto& counted = placed.urgent ? team.urgentUsed : team.used;
                RC_ASSERT(start.held.borrowed == !detail::fits(counted, team.limit));
                RC_ASSERT(placed.urgent || start.held.borrowed || !borrowing);
                borrowing = borrowing || (!placed.urgent && start.held.borrowed);
                RC_ASSERT(throttled.count(start.worker) > 0
                    || detail::fits(start.held.size, index.freeOn(start.worker)));
                index.place(start.worker, start.held);
            }
        }
    }));
}

TEST_CASE(
    "A burst of cancellations dequeues, stops under the fence, and names unknown jobs", "[JobPlacement]")
{
    JobBacklog backlog;
    backlog.add(job("q", "a", {}));
    backlog.add(job("q", "a", {}));
    CHECK(backlog.size() == 1);
    auto decision = cancelJobs(backlog, { { "r", { "w1", 7 } } }, { "q", "r", "x", "q" });
    CHECK(decision.dequeued == std::vector<std::string> { "q" });
    REQUIRE(decision.stops.size() == 1);
    CHECK(decision.stops[0].fence == 7);
    CHECK(decision.unknown == std::vector<std::string> { "x" });
    CHECK(backlog.remove("q"));
    CHECK_FALSE(backlog.remove("q"));
}
