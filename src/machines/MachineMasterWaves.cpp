// Which machines have their upkeep next, and those that vanish meanwhile.
#include "celeryline/machines/MachineMaster.h"
#include "celeryline/settings/EventLog.h"

#include <utility>

namespace celeryline {
namespace {

/// A machine that is not listed for a while can come back; after so long it can't have its upkeep any more.
constexpr Millis goneAfter { 15000 };

} // namespace

void MachineMaster::planWaves(
    const std::vector<PoolDemand>& demands, const std::vector<PoolMachine>& machines)
{
    std::map<std::string, std::int64_t> spare;
    std::map<std::string, std::int64_t> beyondFewest;
    for (const auto& demand : demands)
        beyondFewest[demand.pool] = -static_cast<std::int64_t>(demand.fewestMachines);
    for (const auto& machine : machines) {
        if (m_tasks.count(machine.machine) != 0)
            continue;
        spare[machine.pool] += machine.cores;
        // Machines above the number that tasks need to be kept apart.
        beyondFewest[machine.pool] += 1;
    }
    for (const auto& demand : demands) {
        spare[demand.pool] -= wantedCores(demand, m_options.pools);
        if (beyondFewest[demand.pool] <= 0)
            spare[demand.pool] = 0;
    }
    for (const auto& [number, wave] : m_store.waves()) {
        if (wave.done.size() < wave.order.machines.size())
            planWave(wave, spare);
    }
}

void MachineMaster::planWave(const WaveState& wave, const std::map<std::string, std::int64_t>& spare)
{
    UpkeepSituation situation;
    situation.maxAtOnce = wave.order.maxAtOnce;
    situation.timeLeft = wave.order.startedAt + wave.order.deadline - m_clock().wall;
    situation.spareCores = spare;
    std::vector<DueMachine> due;
    for (const auto& name : wave.order.machines) {
        auto task = m_tasks.find(name);
        if (task != m_tasks.end()) {
            situation.away += task->second.wave == wave.order.wave ? 1 : 0;
            continue;
        }
        if (wave.done.count(name) != 0) {
            // An earlier leader took it down a moment ago; it may not be back.
            situation.away += mayBeAway(name) ? 1 : 0;
            continue;
        }
        auto known = m_machines.find(name);
        if (known == m_machines.end())
            noteAbsent(wave.order.wave, name);
        if (known == m_machines.end() || !isAvailable(known->second.info) || isQuiet(name) || isPaused(name))
            continue;
        const auto& info = known->second.info;
        auto use = m_jobs.useOf(info.runner);
        due.push_back({ name, info.pool, info.capacity.cpuMilli, use.reserved.cpuMilli,
            isStandbyPool(info.pool), !use.longRunning.empty() });
    }
    for (const auto& name : planUpkeep(std::move(due), situation))
        m_tasks[name] = { wave.order.wave, "", Stage::Emptying, m_clock().steady };
}

bool MachineMaster::noteAbsent(std::uint64_t wave, const std::string& machine)
{
    auto now = m_clock().steady;
    auto since = m_absentSince.emplace(machine, now).first->second;
    if (now < since + goneAfter)
        return false;
    m_absentSince[machine] = now;
    Event("machine-gone")
        .with("machine", machine)
        .with("wave", wave)
        .with("absentMs", goneAfter)
        .writeAlways();
    if (wave != 0)
        m_log.propose({ NoteUpkeep { wave, machine, true, {} } }, [](bool) {});
    return true;
}

} // namespace celeryline
