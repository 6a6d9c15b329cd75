// Time, leaders, machines and client requests of ProgressSimulation.
#include "ProgressSimulationParts.h"

namespace celeryline::test {
namespace {

constexpr std::int64_t retryMs = 100;
constexpr std::int64_t shortestTermMs
    = 1000; ///< Leaders that last less are not expected to get anything done.
constexpr int instances = 2;

} // namespace

ProgressSimulation::ProgressSimulation(std::uint64_t seed)
    : m_random(seed)
    , m_provider(std::make_unique<Provider>(*this))
{
    m_configuration.version = 1;
}

ProgressSimulation::~ProgressSimulation() = default;

void ProgressSimulation::addPool(const std::string& name, bool isStandby)
{
    m_configuration.pools.push_back({ name, true, isStandby });
    if (isStandby)
        return;
    for (std::uint32_t priority = 0; priority < 2; ++priority) {
        QueueSettings queue;
        queue.key = name + (priority == 0 ? "/work/" : "/late/");
        queue.service = name;
        queue.priority = priority;
        queue.attempts = 5;
        queue.objective = { 3000 };
        m_configuration.queues.push_back(queue);
    }
}

void ProgressSimulation::addMachine(const std::string& pool, const Resources& capacity)
{
    Machine machine;
    machine.name = "m" + std::to_string(m_machines.size());
    machine.pool = pool;
    machine.capacity = capacity;
    machine.rack = "rack" + std::to_string(m_machines.size() % 3);
    m_machines.push_back(machine);
    bringUp(m_machines.back());
}

void ProgressSimulation::start()
{
    m_store.apply(AcceptConfiguration { m_configuration }, moment().wall);
    for (int i = 0; i < instances; ++i)
        m_instances.push_back(std::make_unique<Instance>(*this, i));
    m_electionAt = m_now;
}

ProgressSimulation::Instance* ProgressSimulation::leading()
{
    return m_leading < 0 ? nullptr : m_instances[static_cast<std::size_t>(m_leading)].get();
}

void ProgressSimulation::after(std::int64_t delay, std::function<void()> action)
{
    m_events.emplace(m_now + delay, std::move(action));
}

void ProgressSimulation::step()
{
    m_now += stepMs;
    if (m_leading < 0 && m_now >= m_electionAt) {
        ++m_term;
        m_termStart = m_now;
        m_leading = static_cast<int>(below(instances));
        leading()->master.startTerm();
        leading()->machines.startTerm();
    }
    while (!m_events.empty() && m_events.begin()->first <= m_now) {
        auto action = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        action();
    }
    stepMachines();
    for (auto& [id, runner] : m_runners)
        stepRunner(*runner);
    for (auto& instance : m_instances) {
        instance->commitDue();
        instance->master.tick();
        instance->machines.tick();
    }
    if (m_now % 100 == 0)
        check();
}

void ProgressSimulation::submit(const JobSpec& job)
{
    auto* leader = leading();
    auto again = [this, job] { after(retryMs, [this, job] { submit(job); }); };
    if (leader == nullptr) {
        again();
        return;
    }
    leader->master.request(SubmitJob { job, moment().wall }, [this, job, again](RequestOutcome outcome) {
        if (outcome == RequestOutcome::Done) {
            m_accepted.push_back(job.id);
        } else {
            again();
        }
    });
}

void ProgressSimulation::offer(const JobSpec& job, int attempts)
{
    auto* leader = leading();
    if (leader == nullptr) {
        after(retryMs, [this, job, attempts] { offer(job, attempts); });
        return;
    }
    auto decision = leader->master.admit(job);
    if (!decision.refusal) {
        submit(job);
        return;
    }
    m_refusals.push_back({ m_now, job, decision });
    auto wireDelay = (decision.retryAfter.count + 999) / 1000 * 1000;
    if (attempts > 1)
        after(wireDelay, [this, job, attempts] { offer(job, attempts - 1); });
}

void ProgressSimulation::startWave(const StartWave& wave)
{
    auto order = wave;
    order.startedAt = moment().wall;
    auto* leader = leading();
    auto again = [this, wave] { after(retryMs, [this, wave] { startWave(wave); }); };
    if (leader == nullptr) {
        again();
        return;
    }
    leader->master.request(order, [again](RequestOutcome outcome) {
        if (outcome != RequestOutcome::Done)
            again();
    });
}

void ProgressSimulation::recordFault(std::int64_t until) { m_lastFault = std::max(m_lastFault, until); }

void ProgressSimulation::changeLeader(std::int64_t forMs)
{
    auto* leader = leading();
    if (leader == nullptr)
        return;
    // A leader that is gone at once can't note that a runner is silent.
    if (m_now < m_termStart + shortestTermMs)
        m_lostSince.clear();
    m_leading = -1;
    leader->loseLeadership();
    m_electionAt = m_now + forMs;
    recordFault(m_electionAt);
}

void ProgressSimulation::restartRunner(std::size_t machine, std::int64_t forMs)
{
    auto* runner = runnerOf(m_machines[machine]);
    if (runner == nullptr)
        return;
    auto restarted = std::make_unique<Runner>();
    restarted->id = runner->id;
    restarted->machine = runner->machine;
    restarted->pool = runner->pool;
    restarted->rack = runner->rack;
    restarted->capacity = runner->capacity;
    restarted->faults = runner->faults;
    restarted->born = m_now + forMs;
    restarted->upAt = m_now + forMs;
    restarted->nextReport = restarted->upAt;
    recordFault(restarted->upAt);
    m_runners[restarted->id] = std::move(restarted);
}

void ProgressSimulation::injectFault(std::size_t machine, Fault fault, std::int64_t forMs)
{
    auto* runner = runnerOf(m_machines[machine]);
    if (runner == nullptr)
        return;
    runner->faults[fault] = m_now + forMs;
    recordFault(m_now + forMs);
}

void ProgressSimulation::clearFaults()
{
    for (auto& [id, runner] : m_runners) {
        runner->faults.clear();
        if (runner->upAt > m_now)
            runner->upAt = m_now;
    }
    m_lastFault = m_now;
}

ProgressSimulation::Machine& ProgressSimulation::machine(const std::string& name)
{
    return *std::find_if(
        m_machines.begin(), m_machines.end(), [&](const Machine& machine) { return machine.name == name; });
}

void ProgressSimulation::stepMachines()
{
    for (auto& machine : m_machines) {
        if (machine.state != MachineState::Up && m_now >= machine.upAt)
            bringUp(machine);
    }
}

void ProgressSimulation::takeDown(Machine& machine, MachineState state, std::int64_t forMs)
{
    m_runners.erase(machine.runner);
    machine.runner.clear();
    machine.state = state;
    machine.upAt = m_now + forMs;
}

void ProgressSimulation::bringUp(Machine& machine)
{
    machine.state = MachineState::Up;
    bool isStandby = std::any_of(m_configuration.pools.begin(), m_configuration.pools.end(),
        [&](const PoolSettings& pool) { return pool.service == machine.pool && pool.isStandby; });
    if (isStandby)
        return;
    auto runner = std::make_unique<Runner>();
    runner->id = machine.name + "r" + std::to_string(++machine.runnersSoFar);
    runner->machine = machine.name;
    runner->pool = machine.pool;
    runner->rack = machine.rack;
    runner->capacity = machine.capacity;
    runner->born = m_now;
    runner->upAt = m_now;
    runner->nextReport = m_now;
    machine.runner = runner->id;
    m_runners[runner->id] = std::move(runner);
}

} // namespace celeryline::test
