#include "celeryline/jobs/FairShare.h"

#include "CustomerKit.h"

#include <catch2/catch.hpp>

#include <deque>
#include <random>

using namespace celeryline;
using namespace celeryline::test;

namespace {

constexpr Millis wall { 100000 };

JobStore storeWithWeights(const std::map<std::string, double>& weights)
{
    std::vector<std::string> names;
    for (const auto& [name, weight] : weights)
        names.push_back(name);
    auto configuration = makeCustomerConfiguration(names);
    for (auto& customer : configuration.customers)
        customer.weight = weights.at(customer.name);
    JobStore store;
    store.apply(AcceptConfiguration { configuration }, {});
    return store;
}

/// A pool in simulated time: jobs of one task of a fixed duration, a plan after each arrival and end.
class SharedPool {
public:
    /// @param runners number of runners with 4 cores and 8,000 MB each.
    SharedPool(JobStore store, int runners)
        : m_store(std::move(store))
        , m_runners(runners)
    {
    }

    /// Submits jobs at evenly spaced times.
    /// @param perSecond number of jobs a second.
    void load(const std::string& customer, double perSecond, std::int64_t from, std::int64_t to,
        const StepSpec& step, std::int64_t duration = 1000)
    {
        m_durations[customer] = duration;
        auto interval = 1000.0 / perSecond;
        for (double at = static_cast<double>(from); at < static_cast<double>(to); at += interval)
            m_events.emplace(static_cast<std::int64_t>(at), makeCustomerJob("", customer, { step }));
    }

    void runUntil(std::int64_t end)
    {
        for (; m_now < end; m_now += 10) {
            bool hasChanged = false;
            for (; !m_events.empty() && m_events.begin()->first <= m_now; m_events.erase(m_events.begin())) {
                auto job = m_events.begin()->second;
                job.id = job.customer + std::to_string(m_submitted++);
                m_store.apply(SubmitJob { job, now() }, {});
                hasChanged = true;
            }
            for (; !m_ends.empty() && m_ends.begin()->first <= m_now; m_ends.erase(m_ends.begin())) {
                m_store.apply(EndRun { m_ends.begin()->second, RunOutcome::Done, "" }, {});
                hasChanged = true;
            }
            if (hasChanged)
                plan();
        }
    }

    /// @return the part of the jobs of a customer, submitted in a period, that ended within a time limit.
    double servedShare(
        const std::string& customer, std::int64_t from, std::int64_t to, std::int64_t limit) const
    {
        int all = 0;
        int served = 0;
        for (int i = 0; i < m_submitted; ++i) {
            const auto* job = m_store.findJob(customer + std::to_string(i));
            if (job == nullptr || job->submittedAt < wall + Millis { from }
                || job->submittedAt >= wall + Millis { to })
                continue;
            ++all;
            auto ended = m_endedAt.find(job->spec.id);
            served
                += ended != m_endedAt.end() && ended->second <= job->submittedAt + Millis { limit } ? 1 : 0;
        }
        return all == 0 ? 0 : static_cast<double>(served) / all;
    }

    /// @return the number of active runs of a customer.
    std::size_t runs(const std::string& customer) const
    {
        std::size_t count = 0;
        for (const auto& [incarnation, allocation] : m_store.allocations()) {
            count += static_cast<std::size_t>(
                std::count_if(allocation.runs.begin(), allocation.runs.end(), [&](const RunName& run) {
                    return m_store.findJob(run.task.job)->spec.customer == customer;
                }));
        }
        return count;
    }

private:
    Millis now() const { return wall + Millis { m_now }; }

    void plan()
    {
        CandidateIndex candidates;
        for (int i = 0; i < m_runners; ++i) {
            PlacementCandidate candidate { { "r" + std::to_string(i), { 1 } }, "pool", {},
                { 4000, 8000, 0 } };
            if (const auto* allocation = m_store.findAllocation(candidate.incarnation))
                candidate.free -= allocation->reserved;
            candidates.set(candidate);
        }
        for (const auto& start : planStarts(m_store, candidates, now())) {
            m_store.apply(start, {});
            const auto& customer = m_store.findJob(start.run.task.job)->spec.customer;
            auto end = m_now + m_durations.at(customer);
            m_ends.emplace(end, start.run);
            m_endedAt[start.run.task.job] = wall + Millis { end };
        }
    }

    JobStore m_store;
    int m_runners;
    std::int64_t m_now = 0;
    int m_submitted = 0;
    std::map<std::string, std::int64_t> m_durations;
    std::multimap<std::int64_t, JobSpec> m_events; ///< Jobs by the time of their submission.
    std::multimap<std::int64_t, RunName> m_ends; ///< Runs by the time of their end.
    std::map<JobId, Millis> m_endedAt; ///< Also of runs that are yet to end.
};

} // namespace

// Guards against a share that counts only one resource.
TEST_CASE("A level is the larger fraction in relation to the weight", "[customers][shares]")
{
    Resources capacity { 4000, 1000, 2 };
    REQUIRE(dominantFraction({ 1000, 100, 2 }, capacity) == Approx(0.25));
    REQUIRE(dominantFraction({ 1000, 500, 0 }, capacity) == Approx(0.5));
    REQUIRE(shareLevel({ 1000, 500, 0 }, capacity, 2) == Approx(0.25));
    REQUIRE(shareLevel({ 1000, 500, 0 }, capacity, 2) == Approx(fullShareLevel(4)));
    REQUIRE(shareLevel({}, capacity, 0) > fullShareLevel(4));
    REQUIRE(dominantFraction({ 1, 0, 0 }, {}) >= 1);
}

// Guards against one customer whose load takes the capacity of the others (served share 0.717 in a played
// day, 0.992 without it). Ten customers at 1.6 times their usual load of 1 core, one of them at eight times
// that, on 20 cores: without shares, jobs wait for up to 3.6 s.
TEST_CASE(
    "A customer at eight times its load doesn't lower the served share of the others", "[customers][shares]")
{
    std::map<std::string, double> weights;
    for (char name = 'a'; name <= 'j'; ++name)
        weights[std::string(1, name)] = 1;
    SharedPool pool(storeWithWeights(weights), 5);
    for (const auto& [name, weight] : weights)
        pool.load(name, name == "a" ? 12.8 : 1.6, 0, 10000, makeStep(1));
    pool.runUntil(30000);
    for (const auto& [name, weight] : weights) {
        if (name != "a")
            REQUIRE(pool.servedShare(name, 0, 10000, 2500) >= 0.98);
    }
    // What the others leave unused is available to it.
    REQUIRE(pool.servedShare("a", 0, 10000, 20000) == 1);
}

// Guards against shares that ignore the weight. Both offer twice the capacity of 16 cores.
TEST_CASE("Two customers at full load get capacity by their weights", "[customers][shares]")
{
    SharedPool pool(storeWithWeights({ { "a", 1 }, { "b", 3 } }), 4);
    pool.load("a", 32, 0, 10000, makeStep(1));
    pool.load("b", 32, 0, 10000, makeStep(1));
    for (std::int64_t at = 3000; at <= 10000; at += 500) {
        pool.runUntil(at);
        REQUIRE(pool.runs("a") == Approx(4).margin(1));
        REQUIRE(pool.runs("b") == Approx(12).margin(1));
    }
}

// Guards against a customer whose wide jobs take a whole pool at once, and against tasks of such a job that
// start twice when the plan resumes it.
TEST_CASE("A wide job starts up to the share of its customer", "[customers][shares]")
{
    auto store = storeWithWeights({ { "a", 1 }, { "b", 1 }, { "c", 2 } });
    auto wide = makeStep(40);
    wide.maxPerRunner = 3;
    store.apply(SubmitJob { makeCustomerJob("a", "a", { makeStep(2), wide }), wall - Millis { 200 } }, {});
    store.apply(SubmitJob { makeCustomerJob("b", "b", { wide }), wall - Millis { 100 } }, {});
    store.apply(SubmitJob { makeCustomerJob("c", "c", { makeStep(3) }), wall }, {});
    auto starts = planOn(store, 4, { 4000, 8000, 0 }, wall);
    std::set<TaskName> tasks;
    std::map<std::pair<TaskName, std::string>, int> onRunner;
    for (const auto& start : starts) {
        REQUIRE(tasks.insert(start.run.task).second);
        auto step = start.run.task;
        step.index = 0;
        if (step != TaskName { "a", 0, 0, 0 })
            REQUIRE(++onRunner[{ step, start.incarnation.runner }] <= 3);
    }
    auto counts = startsByCustomer(store, starts);
    REQUIRE(counts["c"] == 3); // All that it wants, although the others were first.
    REQUIRE(counts["a"] + counts["b"] == 13); // What it leaves goes to them.
    REQUIRE(std::abs(counts["a"] - counts["b"]) <= 1);
}

// Guards against a customer that gets more than its share after it was idle, and against one that waits for
// it: capacity 16 cores, runs of 1 s.
TEST_CASE("A customer that returns gets its share at once and no more", "[customers][shares]")
{
    SharedPool pool(storeWithWeights({ { "a", 1 }, { "b", 1 } }), 4);
    pool.load("a", 40, 0, 20000, makeStep(1));
    pool.load("b", 40, 10000, 20000, makeStep(1));
    pool.runUntil(9900);
    REQUIRE(pool.runs("a") == 16);
    pool.runUntil(11200); // The runs of a that were active have ended.
    for (std::int64_t at = 11200; at <= 20000; at += 400) {
        pool.runUntil(at);
        REQUIRE(pool.runs("a") == Approx(8).margin(1));
        REQUIRE(pool.runs("b") == Approx(8).margin(1));
    }
}

// Guards against shares that outlast the customers of the configuration.
TEST_CASE("Without customers in the configuration there are no shares", "[customers][shares]")
{
    auto store = storeWithWeights({ { "a", 1 }, { "b", 1 } });
    auto submit = [&](const std::string& id, const std::string& customer, Millis submittedAt) {
        store.apply(SubmitJob { makeCustomerJob(id, customer, { makeStep(1) }), submittedAt }, {});
    };
    submit("running1", "a", wall);
    submit("running2", "a", wall);
    for (const auto& start : planOn(store, 1, { 2000, 8000, 0 }, wall))
        store.apply(start, {});
    submit("first", "a", wall - Millis { 200 });
    submit("second", "b", wall - Millis { 100 });
    REQUIRE(planOn(store, 1, { 1000, 8000, 0 }, wall).at(0).run.task.job == "second");
    store.apply(AcceptConfiguration { makeConfiguration(2) }, {});
    REQUIRE(planOn(store, 1, { 1000, 8000, 0 }, wall).at(0).run.task.job == "first");
}

// Guards against shares by CPU alone: a uses memory, b CPU. Capacity 16 cores and 32,000 MB.
TEST_CASE("The scarcer resource of each customer decides", "[customers][shares]")
{
    SharedPool pool(storeWithWeights({ { "a", 1 }, { "b", 1 } }), 4);
    pool.load("a", 40, 0, 10000, makeStep(1, 100, 2000));
    pool.load("b", 40, 0, 10000, makeStep(1, 1000, 1000));
    for (std::int64_t at = 4000; at <= 10000; at += 500) {
        pool.runUntil(at);
        // By CPU alone a would be at 0.1 with all of the memory, and b at 0.
        REQUIRE(static_cast<double>(pool.runs("a")) * 2000 / 32000 == Approx(2.0 / 3).margin(0.07));
        REQUIRE(static_cast<double>(pool.runs("b")) * 1000 / 16000 == Approx(2.0 / 3).margin(0.07));
    }
}

// Guards against customers that change the order of jobs while nobody exceeds a share.
TEST_CASE("Within all shares the plan is the same as without customers", "[customers][shares][random]")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        std::mt19937_64 random(seed);
        auto below = [&](std::uint64_t limit) { return random() % limit; };
        JobStore without;
        auto configuration = makeConfiguration();
        auto second = configuration.queues[0];
        second.key = "host/second/";
        second.priority = 1;
        configuration.queues.push_back(second);
        without.apply(AcceptConfiguration { configuration }, {});
        JobStore with;
        configuration.customers = makeCustomerConfiguration({ "a", "b", "c", "d" }).customers;
        with.apply(AcceptConfiguration { configuration }, {});
        // At most 4 jobs of up to 3 cores for each customer: under a quarter of the 64 cores.
        for (int i = 0; i < 16; ++i) {
            auto step = makeStep(static_cast<std::uint32_t>(below(3)) + 1);
            step.isGang = below(4) == 0;
            auto job = makeJob("j" + std::to_string(below(1000000)), { step });
            job.queue = configuration.queues[below(2)].key;
            auto submittedAt = wall - Millis { static_cast<std::int64_t>(below(9000)) };
            without.apply(SubmitJob { job, submittedAt }, {});
            job.customer = std::string(1, static_cast<char>('a' + i % 4));
            with.apply(SubmitJob { job, submittedAt }, {});
        }
        auto expected = planOn(without, 8, { 8000, 64000, 0 }, wall);
        auto starts = planOn(with, 8, { 8000, 64000, 0 }, wall);
        INFO("seed " << seed);
        REQUIRE(starts.size() == expected.size());
        for (std::size_t i = 0; i < starts.size(); ++i) {
            REQUIRE(starts[i].run == expected[i].run);
            REQUIRE(starts[i].incarnation == expected[i].incarnation);
        }
    }
}

// Guards against a replica whose shares differ after a restart from a snapshot or a new version.
TEST_CASE("The use of each pool equals what runs and waits there", "[customers][shares][random]")
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        std::mt19937_64 random(seed);
        auto below = [&](std::uint64_t limit) { return random() % limit; };
        auto store = storeWithWeights({ { "a", 1 }, { "b", 2 } });
        std::uint64_t version = 1;
        for (int i = 0; i < 150; ++i) {
            auto id = "j" + std::to_string(below(12));
            RunName run { { id, 0, 0, static_cast<std::uint32_t>(below(2)) },
                static_cast<std::uint32_t>(below(6)) };
            auto step = makeStep(2);
            step.isLongRunning = below(5) == 0;
            const char* const customers[] = { "a", "b", "" };
            switch (below(7)) {
            case 0:
            case 1:
                store.apply(SubmitJob { makeCustomerJob(id, customers[below(3)], { step }), wall }, {});
                break;
            case 2:
            case 3:
                store.apply(StartRun { run, { "r", { 1 } } }, {});
                break;
            case 4:
                store.apply(EndRun { run, RunOutcome::Done, "" }, {});
                break;
            case 5:
                store.apply(
                    below(2) == 0 ? JobCommand { CancelJob { id } } : JobCommand { RemoveJob { id } }, {});
                break;
            default:
                auto configuration = makeCustomerConfiguration({ "a", "b" }, ++version);
                configuration.customers[0].weight = static_cast<double>(below(3));
                configuration.queues[0].service = below(2) == 0 ? "pool" : "other";
                store.apply(AcceptConfiguration { configuration }, {});
            }
            JobStore restored;
            restored.restoreSnapshot(store.takeSnapshot());
            const auto& service = store.configuration().queues[0].service;
            const auto* use = store.poolUses().find(service);
            const auto* other = restored.poolUses().find(service);
            INFO("seed " << seed << ", command " << i);
            REQUIRE(use->reserved == other->reserved);
            REQUIRE(use->activeCustomers == other->activeCustomers);
            REQUIRE(use->totalWeight == Approx(other->totalWeight));
            for (const char* name : { "a", "b" }) {
                REQUIRE(use->of(store.customerUses().findNumber(name))
                    == other->of(restored.customerUses().findNumber(name)));
            }
        }
    }
}
