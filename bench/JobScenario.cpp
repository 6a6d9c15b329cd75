#include "JobScenario.h"

#include "celeryline/decisions/JobPlacement.h"
#include "celeryline/jobs/WorkerHealth.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <random>

namespace celeryline::bench {

namespace {

const int tickMillis = 100; // Also the delay until an instruction reaches a worker.
const int ticks = 600;
const int batchEvery = 10; // Batch jobs are placed once per second, urgent jobs at every tick.
const int reportEvery = 20; // Usage reports lag by up to two seconds.
const int rackFailsAt = ticks / 2;
const int cancelAt = ticks / 3;
const int kinds = 4;

struct FakeJob {
    Job job;
    Resources real;
    double workLeft = 0; ///< Seconds of work left at full speed.
    int submitted = 0;
    int worker = -1;
    bool throttled = false;
};

struct FakeWorker {
    WorkerCapacity capacity;
    std::vector<int> jobs; ///< Oldest first.
    std::vector<JobAttempt> attempts;
    Resources declaredUsed; ///< Sum of declared sizes, used by the baselines.
    bool bad = false;
    bool lost = false;
};

Resources subtract(const Resources& a, const Resources& b)
{
    return { a.cpuMilli - b.cpuMilli, a.memoryMb - b.memoryMb, a.accelerators - b.accelerators };
}

class JobRun {
public:
    explicit JobRun(const JobScenario& scenario);
    JobResult run();

private:
    void buildWorkers();
    void submit(bool urgent);
    void start(int number, int worker, std::uint64_t fence);
    void remove(int number, bool ended);
    void fail(int number);
    void work(int worker);
    void placeByDecisions(bool withBatch);
    void placeByDeclaredSize(bool withBatch);
    void failRack();
    void cancelBurst();
    double uniform(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(m_random);
    }

    const JobScenario& m_scenario;
    std::mt19937 m_random;
    std::vector<FakeWorker> m_workers;
    std::vector<std::vector<int>> m_byPool;
    std::vector<FakeJob> m_jobs;
    std::vector<Resources> m_kindSizes; ///< By team and kind.
    JobBacklog m_backlog;
    CapacityIndex m_index;
    SizeEstimator m_sizes;
    TeamShares m_teams;
    std::uint64_t m_fence = 1;
    int m_tick = 0;
    std::vector<double> m_urgentWaits;
    double m_idle = 0;
    double m_total = 0;
    JobResult m_result;
};

JobRun::JobRun(const JobScenario& scenario)
    : m_scenario(scenario)
    , m_random(scenario.seed)
{
    buildWorkers();
    for (int team = 0; team < scenario.teams; ++team) {
        auto share = scenario.workers * 32000 / scenario.teams;
        m_teams["t" + std::to_string(team)].limit = { share, share * 4, 4 };
        for (int kind = 0; kind < kinds; ++kind) {
            m_kindSizes.push_back({ static_cast<std::int64_t>(1000 * std::pow(2, uniform(0, 2))),
                static_cast<std::int64_t>(2000 * std::pow(2, uniform(0, 2))), 0 });
        }
    }
}

void JobRun::buildWorkers()
{
    m_byPool.resize(static_cast<std::size_t>(m_scenario.pools));
    int accelerators = m_scenario.accelerators;
    for (int i = 0; i < m_scenario.workers; ++i) {
        FakeWorker worker;
        auto pool = i / 4 % m_scenario.pools;
        int own = i % 3 == 0 ? std::min(accelerators, 4) : 0;
        accelerators -= own;
        worker.capacity = { "w" + std::to_string(i), "dc" + std::to_string(i / 4 % m_scenario.dataCentres),
            "r" + std::to_string(i / 4), "p" + std::to_string(pool), {}, { 32000, 131072, own }, true };
        worker.bad = m_random() % 50 == 0;
        m_byPool[static_cast<std::size_t>(pool)].push_back(i);
        m_index.setWorker(worker.capacity);
        m_workers.push_back(std::move(worker));
    }
}

void JobRun::submit(bool urgent)
{
    FakeJob fake;
    auto number = static_cast<int>(m_jobs.size());
    auto team = m_random() % static_cast<unsigned>(m_scenario.teams);
    auto kind = m_random() % kinds;
    fake.job.id = std::to_string(number);
    fake.job.team = "t" + std::to_string(team);
    fake.job.kind = "k" + std::to_string(kind);
    fake.job.pool = "p" + std::to_string(m_random() % static_cast<unsigned>(m_scenario.pools));
    fake.job.urgent = urgent;
    const auto& usual = m_kindSizes[team * kinds + kind];
    double scale = uniform(0.8, 1.2);
    auto scaled = [](std::int64_t amount, double factor) {
        return std::max<std::int64_t>(1, std::llround(static_cast<double>(amount) * factor));
    };
    fake.real = { scaled(usual.cpuMilli, scale), scaled(usual.memoryMb, scale),
        m_scenario.accelerators > 0 && m_random() % 20 == 0 ? 1 : 0 };
    double errorFactor = std::pow(10, uniform(-1, 1));
    fake.job.declared = { scaled(fake.real.cpuMilli, errorFactor), scaled(fake.real.memoryMb, errorFactor),
        fake.real.accelerators };
    fake.workLeft = uniform(5, 30);
    fake.submitted = m_tick;
    m_backlog.add(fake.job);
    m_jobs.push_back(std::move(fake));
}

void JobRun::start(int number, int worker, std::uint64_t fence)
{
    auto& fake = m_jobs[static_cast<std::size_t>(number)];
    m_result.doubleRuns += fake.worker >= 0 ? 1 : 0;
    fake.worker = worker;
    fake.job.fence = fence;
    m_workers[static_cast<std::size_t>(worker)].jobs.push_back(number);
    m_backlog.remove(fake.job.id);
    if (fake.job.urgent && fake.submitted >= 0) {
        m_urgentWaits.push_back((m_tick - fake.submitted + 1) * tickMillis);
        fake.submitted = -1; // Only the wait until the first start is measured.
    }
}

void JobRun::remove(int number, bool ended)
{
    auto& fake = m_jobs[static_cast<std::size_t>(number)];
    auto& worker = m_workers[static_cast<std::size_t>(fake.worker)];
    worker.jobs.erase(std::find(worker.jobs.begin(), worker.jobs.end(), number));
    if (m_scenario.policy == JobPolicy::Decisions) {
        for (const auto& held : m_index.jobsOn(worker.capacity.name)) {
            if (held.id == fake.job.id) {
                auto& team = m_teams[fake.job.team];
                team.used = subtract(team.used, held.size);
                team.urgentUsed = held.urgent ? subtract(team.urgentUsed, held.size) : team.urgentUsed;
                break;
            }
        }
        m_index.end(worker.capacity.name, fake.job.id);
        if (ended) {
            m_sizes.observe(fake.job.team, fake.job.kind, fake.real);
        }
    } else {
        worker.declaredUsed = subtract(worker.declaredUsed, fake.job.declared);
    }
    fake.worker = -1;
    fake.throttled = false;
}

void JobRun::fail(int number)
{
    auto& fake = m_jobs[static_cast<std::size_t>(number)];
    auto& worker = m_workers[static_cast<std::size_t>(fake.worker)];
    remove(number, false);
    m_backlog.add(fake.job);
    if (worker.bad) {
        ++m_result.failedOnBadWorkers;
    }
    if (m_scenario.policy == JobPolicy::Decisions && !worker.lost) {
        worker.attempts.push_back(
            { fake.job.id, true, Millis { m_tick * std::int64_t { tickMillis } }, 0, 0 });
        WorkerRecord record { worker.capacity.name, WorkerTrust::Trusted, Millis { 0 }, 0, worker.attempts,
            40, 0 };
        if (assessWorker(record, Millis { 0 }, {}).action == HealthAction::Quarantine) {
            worker.capacity.accepting = false;
            m_index.setWorker(worker.capacity);
        }
    }
}

void JobRun::work(int number)
{
    auto& worker = m_workers[static_cast<std::size_t>(number)];
    Resources used;
    double wanted = 0;
    for (auto job : worker.jobs) {
        const auto& fake = m_jobs[static_cast<std::size_t>(job)];
        used = detail::add(used, fake.real);
        wanted += static_cast<double>(fake.real.cpuMilli) * (fake.throttled ? 0.1 : 1);
    }
    m_total += worker.lost ? 0 : 32000;
    m_idle += worker.lost || m_backlog.size() == 0 ? 0 : std::max(0.0, 32000 - wanted);
    double speed = std::min(1.0, 32000 / std::max(1.0, wanted)) * tickMillis / 1000;
    auto jobs = worker.jobs;
    for (auto job : jobs) {
        auto& fake = m_jobs[static_cast<std::size_t>(job)];
        fake.workLeft -= speed * (fake.throttled ? 0.1 : 1);
        if (worker.bad) {
            fail(job);
        } else if (fake.workLeft <= 0) {
            m_result.batchDone += fake.job.urgent ? 0 : static_cast<double>(fake.real.cpuMilli) / 1000;
            worker.attempts.clear(); // A success outweighs the occasional failures of a good worker.
            remove(job, true);
        }
    }
    while (used.memoryMb > worker.capacity.capacity.memoryMb && !worker.jobs.empty()) {
        auto newest = worker.jobs.back();
        used = subtract(used, m_jobs[static_cast<std::size_t>(newest)].real);
        ++m_result.outOfMemory;
        // The worker reports the actual usage before it kills a job.
        auto& fake = m_jobs[static_cast<std::size_t>(newest)];
        m_sizes.observe(fake.job.team, fake.job.kind, fake.real);
        remove(newest, false);
        m_backlog.add(fake.job);
    }
    if (m_scenario.policy == JobPolicy::Decisions && (m_tick + number) % reportEvery == 0 && !worker.lost) {
        Resources usage;
        for (auto job : worker.jobs) {
            usage = detail::add(usage, m_jobs[static_cast<std::size_t>(job)].real);
        }
        m_index.report(worker.capacity.name, usage, m_fence - 1);
    }
}

void JobRun::placeByDecisions(bool withBatch)
{
    auto apply = [&](const JobStart& begun, const std::vector<JobInstruction>& instructions) {
        auto number = std::stoi(begun.job);
        m_index.place(begun.worker, begun.held);
        auto& team = m_teams[m_jobs[static_cast<std::size_t>(number)].job.team];
        team.used = detail::add(team.used, begun.held.size);
        if (begun.held.urgent) {
            team.urgentUsed = detail::add(team.urgentUsed, begun.held.size);
        }
        start(number, std::stoi(begun.worker.substr(1)), begun.held.fence);
        m_fence = std::max(m_fence, begun.held.fence + 1);
        for (const auto& instruction : instructions) {
            m_jobs[static_cast<std::size_t>(std::stoi(instruction.job))].throttled = true;
        }
    };
    std::vector<Job> urgent(m_backlog.urgent().begin(), m_backlog.urgent().end());
    for (const auto& job : urgent) {
        auto decision = placeUrgent(job, m_index, m_sizes, m_teams, m_fence);
        if (decision.start) {
            apply(*decision.start, decision.instructions);
        }
    }
    if (withBatch) {
        for (const auto& begun : placeJobs(m_backlog, m_index, m_sizes, m_teams, m_fence).starts) {
            apply(begun, {});
        }
    }
}

void JobRun::placeByDeclaredSize(bool withBatch)
{
    std::vector<Job> queue(m_backlog.urgent().begin(), m_backlog.urgent().end());
    for (const auto& [team, jobs] : m_backlog.batch()) {
        if (withBatch) {
            queue.insert(queue.end(), jobs.begin(), jobs.end());
        }
    }
    for (const auto& job : queue) {
        auto& pool = m_byPool[static_cast<std::size_t>(std::stoi(job.pool.substr(1)))];
        auto reserved = static_cast<int>(pool.size()) * m_scenario.reservePercent / 100;
        auto first = job.urgent ? 0 : reserved;
        for (auto i = static_cast<std::size_t>(first); i < pool.size(); ++i) {
            auto& worker = m_workers[static_cast<std::size_t>(pool[i])];
            // Declared sizes are capped at a whole worker, as an operator would do.
            auto size = job.declared;
            size.cpuMilli = std::min<std::int64_t>(size.cpuMilli, 32000);
            size.memoryMb = std::min<std::int64_t>(size.memoryMb, 131072);
            auto& fake = m_jobs[static_cast<std::size_t>(std::stoi(job.id))];
            fake.job.declared = size;
            if (!worker.lost && detail::fits(size, subtract(worker.capacity.capacity, worker.declaredUsed))) {
                worker.declaredUsed = detail::add(worker.declaredUsed, size);
                start(std::stoi(job.id), pool[i], m_fence++);
                break;
            }
        }
    }
}

void JobRun::failRack()
{
    auto rack = "r" + std::to_string(m_random() % static_cast<unsigned>(m_scenario.workers / 4));
    for (auto& worker : m_workers) {
        if (worker.capacity.rack == rack) {
            worker.lost = true;
            worker.capacity.accepting = false;
            m_index.setWorker(worker.capacity);
            auto jobs = worker.jobs;
            for (auto job : jobs) {
                fail(job);
            }
        }
    }
}

void JobRun::cancelBurst()
{
    std::vector<std::string> ids;
    for (const auto& [team, jobs] : m_backlog.batch()) {
        for (const auto& job : jobs) {
            if (ids.size() < 5000) {
                ids.push_back(job.id);
            }
        }
    }
    for (const auto& id : cancelJobs(m_backlog, {}, ids).dequeued) {
        m_backlog.remove(id);
    }
}

JobResult JobRun::run()
{
    auto decisionTime = std::chrono::steady_clock::duration::zero();
    for (m_tick = 0; m_tick < ticks; ++m_tick) {
        // Batch jobs arrive at more than twice the rate that the workers can run, up to 10,000 waiting jobs.
        for (int i = 0; i < m_scenario.workers / 5 && m_backlog.size() < 10000; ++i) {
            submit(false);
        }
        for (int i = 0; i < std::max(1, m_scenario.workers / 300); ++i) {
            submit(true);
        }
        if (m_tick == rackFailsAt) {
            failRack();
        }
        auto before = std::chrono::steady_clock::now();
        if (m_tick == cancelAt) {
            cancelBurst();
        }
        bool withBatch = m_tick % batchEvery == 0;
        if (m_scenario.policy == JobPolicy::Decisions) {
            placeByDecisions(withBatch);
        } else {
            placeByDeclaredSize(withBatch);
        }
        decisionTime += std::chrono::steady_clock::now() - before;
        for (int worker = 0; worker < m_scenario.workers; ++worker) {
            work(worker);
        }
    }
    for (const auto& job : m_jobs) {
        if (job.job.urgent && job.submitted >= 0) {
            m_urgentWaits.push_back((ticks - job.submitted) * tickMillis);
        }
    }
    std::sort(m_urgentWaits.begin(), m_urgentWaits.end());
    m_result.urgentP99Millis = m_urgentWaits[m_urgentWaits.size() * 99 / 100];
    m_result.idleShare = m_idle / m_total;
    m_result.decisionMillis = std::chrono::duration<double, std::milli>(decisionTime).count();
    return m_result;
}

} // namespace

JobResult runJobs(const JobScenario& scenario) { return JobRun(scenario).run(); }

} // namespace celeryline::bench
