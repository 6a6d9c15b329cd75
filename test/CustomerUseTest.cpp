#include "celeryline/jobs/CustomerUse.h"

#include "CustomerKit.h"
#include "celeryline/jobs/StartPlan.h"

#include <catch2/catch.hpp>

#include <random>

using namespace celeryline;
using namespace celeryline::test;

namespace {

constexpr Millis wall { 100000 };

/// A store that is driven by plans and random events, with the sums recomputed from the runs of all jobs.
class QuotaHistory {
public:
    explicit QuotaHistory(std::uint64_t seed)
        : m_random(seed)
    {
        accept();
    }

    void step()
    {
        switch (below(8)) {
        case 0:
        case 1:
            submit();
            break;
        case 2:
        case 3:
            plan();
            break;
        case 4:
            restore();
            break;
        case 5:
            below(4) == 0 ? accept() : submit();
            break;
        default:
            end();
        }
        check();
    }

    std::size_t starts() const { return m_starts; }
    std::size_t refusals() const { return m_refusals; }

private:
    std::uint64_t below(std::uint64_t limit) { return m_random() % limit; }

    void accept()
    {
        auto configuration = makeCustomerConfiguration({ "a", "b" }, ++m_version);
        for (auto& customer : configuration.customers) {
            customer.limit = { static_cast<std::int64_t>(below(6)) * 1000,
                static_cast<std::int64_t>(below(4)) * 3000, static_cast<std::int64_t>(below(2)) };
        }
        if (below(5) == 0)
            configuration.customers.pop_back(); // Its jobs run without a limit.
        m_store.apply(AcceptConfiguration { configuration }, {});
    }

    void submit()
    {
        auto step = makeStep(static_cast<std::uint32_t>(below(4)) + 1,
            static_cast<std::int64_t>(below(3) + 1) * 500, static_cast<std::int64_t>(below(3) + 1) * 500);
        step.isGang = below(4) == 0;
        step.isBestEffort = below(4) == 0;
        step.isSpeculative = true;
        step.isLongRunning = below(6) == 0;
        step.demand.accelerators = below(5) == 0 ? 1 : 0;
        auto second = makeStep(2, 1000);
        second.after = { 0 };
        auto steps = std::vector<StepSpec> { step };
        if (!step.isLongRunning)
            steps.push_back(second);
        auto job = makeJob("job" + std::to_string(m_jobs.size()), steps);
        const char* const customers[] = { "a", "b", "" };
        job.customer = customers[below(3)];
        m_jobs.emplace_back(job.id);
        m_store.apply(SubmitJob { job, wall - Millis { static_cast<std::int64_t>(below(9000)) } }, {});
    }

    /// Applies a random part of a plan, since a leader may be lost while it commits.
    void plan()
    {
        CandidateIndex candidates;
        for (int i = 0; i < 4; ++i) {
            candidates.set({ { "r" + std::to_string(i), { 1 } }, "pool", {},
                { static_cast<std::int64_t>(below(5)) * 1000, 8000, 1 } });
        }
        PlacementHints hints;
        for (const auto& run : runs()) {
            if (below(4) == 0)
                hints.speculativeTasks.insert(run.task);
        }
        auto starts = planStarts(m_store, candidates, wall, hints);
        bool isWhole = below(4) != 0;
        auto before = sums();
        for (const auto& start : starts) {
            if (!isWhole && below(2) == 0)
                continue;
            m_store.apply(decodeJobCommand(encodeJobCommand(start)), {});
            ++m_starts;
        }
        for (const auto& customer : m_store.configuration().customers) {
            auto after = sums()[customer.name].running;
            bool hasGrown = !(after == before[customer.name].running);
            INFO("customer " << customer.name);
            REQUIRE((!hasGrown || isWithinLimit(after, customer.limit)));
            m_refusals += isWithinLimit(after, customer.limit) ? 0 : 1;
        }
    }

    void end()
    {
        auto active = runs();
        if (active.empty())
            return;
        const auto& run = active[below(active.size())];
        if (below(4) == 0)
            m_store.apply(NoteRecall { run }, {});
        if (below(8) == 0)
            m_store.apply(CancelJob { run.task.job }, {});
        // Repeated and late ends change nothing.
        for (std::uint64_t i = below(2) + 1; i > 0; --i)
            m_store.apply(EndRun { run, static_cast<RunOutcome>(below(8)), "" }, {});
    }

    void restore()
    {
        JobStore restored;
        restored.restoreSnapshot(m_store.takeSnapshot());
        m_store = std::move(restored);
    }

    std::vector<RunName> runs() const
    {
        std::vector<RunName> runs;
        forEachRun([&](const RunName& run, const StepSpec&, const std::string&) { runs.push_back(run); });
        return runs;
    }

    std::map<std::string, CustomerUse> sums() const
    {
        std::map<std::string, CustomerUse> sums;
        forEachRun([&](const RunName&, const StepSpec& step, const std::string& customer) {
            sums[customer].running += step.demand;
            if (step.isLongRunning)
                sums[customer].longRunning += step.demand;
        });
        return sums;
    }

    template <typename Function> void forEachRun(Function function) const
    {
        for (const auto& id : m_jobs) {
            const auto* job = m_store.findJob(id);
            for (const auto& [occurrence, steps] : job->occurrences) {
                for (std::uint32_t i = 0; i < steps.size(); ++i) {
                    for (std::uint32_t index = 0; index < steps[i].tasks.size(); ++index) {
                        for (const auto& run : steps[i].tasks[index].runs) {
                            function({ { id, occurrence, i, index }, run.number }, job->spec.steps[i],
                                job->spec.customer);
                        }
                    }
                }
            }
        }
    }

    void check() const
    {
        auto recomputed = sums();
        for (const char* customer : { "a", "b" })
            REQUIRE(m_store.useOfCustomer(customer) == recomputed[customer]);
    }

    std::mt19937_64 m_random;
    JobStore m_store;
    std::vector<JobId> m_jobs;
    std::uint64_t m_version = 0;
    std::size_t m_starts = 0;
    std::size_t m_refusals = 0; ///< Plans that found a customer above a lowered limit.
};

} // namespace

// Guards against a sum that misses or counts twice a start, an end, a copy, a member of a gang or a recalled
// run, or that differs after a restart from a snapshot, and against plans that exceed a limit.
TEST_CASE("The use of each customer equals the sum of its runs and stays within its limit",
    "[customers][quota][random]")
{
    std::size_t starts = 0;
    std::size_t refusals = 0;
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        INFO("seed " << seed);
        QuotaHistory history(seed);
        for (int i = 0; i < 120; ++i)
            history.step();
        starts += history.starts();
        refusals += history.refusals();
    }
    REQUIRE(starts > 1000);
    REQUIRE(refusals > 0);
}

// Guards against a job that is accepted and then waits forever, since its customer's limit is too low for it.
TEST_CASE("A job with a task or a gang beyond the limit can never run", "[customers][quota]")
{
    Resources limit { 4000, 0, 1 };
    auto step = makeStep(40, 1000, 1000000);
    REQUIRE(canEverRun(makeJob("wide", { step }), limit));
    step.isGang = true;
    REQUIRE_FALSE(canEverRun(makeJob("gang", { step }), limit));
    step.count = 4;
    REQUIRE(canEverRun(makeJob("gang", { step }), limit));
    step.demand.accelerators = 1;
    REQUIRE_FALSE(canEverRun(makeJob("gang", { step }), limit));
    auto large = makeStep(1, 4001);
    REQUIRE_FALSE(canEverRun(makeJob("large", { makeStep(1), large }), limit));
    large.isBestEffort = true; // The limit bounds what runs, not what is reserved.
    REQUIRE_FALSE(canEverRun(makeJob("large", { large }), limit));
    REQUIRE(canEverRun(makeJob("large", { large }), {}));
}

// Guards against a sum that overflows for values as large as a caller may declare.
TEST_CASE("A gang of huge tasks doesn't fit into a limit", "[customers][quota]")
{
    auto gang = makeStep(4000000000U, std::int64_t { 1 } << 60);
    gang.isGang = true;
    REQUIRE_FALSE(canEverRun(makeJob("gang", { gang }), { 4000, 0, 0 }));
}
