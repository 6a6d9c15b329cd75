// Selection of machines for upkeep, and detection of machines that disappear.
#include "celeryline/machines/MachineMaster.h"
#include "celeryline/settings/EventLog.h"

#include <set>
#include <string>
#include <utility>

namespace celeryline {
namespace {

/// A machine that is missing from the list may reappear; after this time it counts as removed.
constexpr Millis absenceTimeout { 15000 };
/// Time that a machine may be drained for a move, see maxMoveDrainTime.
constexpr Millis maxMoveTime { 3000 };

} // namespace

void MachineMaster::planWaves(
    const std::vector<PoolDemand>& demands, const std::vector<PoolMachine>& machines)
{
    std::map<std::string, std::int64_t> surplus;
    std::map<std::string, std::int64_t> machinesAboveMinimum;
    for (const auto& demand : demands)
        machinesAboveMinimum[demand.pool] = -static_cast<std::int64_t>(demand.minMachines);
    for (const auto& machine : machines) {
        if (m_operations.count(machine.machine) != 0)
            continue;
        surplus[machine.pool] += machine.milliCores;
        // Machines beyond the minimum number of the pool.
        machinesAboveMinimum[machine.pool] += 1;
    }
    for (const auto& demand : demands) {
        surplus[demand.pool] -= wantedMilliCores(demand, m_options.poolPlan);
        if (machinesAboveMinimum[demand.pool] <= 0)
            surplus[demand.pool] = 0;
    }
    for (const auto& [number, wave] : m_store.waves()) {
        if (wave.done.size() < wave.order.machines.size())
            planWave(wave, surplus, demands);
    }
    updateDueRunners();
}

void MachineMaster::updateDueRunners()
{
    std::set<std::string> runners;
    for (const auto& [number, wave] : m_store.waves()) {
        if (wave.done.size() >= wave.order.machines.size())
            continue;
        for (const auto& name : wave.order.machines) {
            if (wave.done.count(name) != 0 || m_machines.count(name) == 0)
                continue;
            for (auto& runner : runnersOn(name))
                runners.insert(std::move(runner));
        }
    }
    m_jobs.setDueForUpkeep(std::move(runners));
}

void MachineMaster::planWave(const WaveState& wave, const std::map<std::string, std::int64_t>& surplus,
    const std::vector<PoolDemand>& demands)
{
    UpkeepPlanInput input;
    input.maxAtOnce = wave.order.maxAtOnce;
    input.timeLeft = wave.order.startedAt + wave.order.deadline - m_clock().wall;
    input.spareMilliCores = surplus;
    for (const auto& demand : demands)
        input.recallsAtOnce[demand.pool] = demand.recallsAtOnce;
    std::vector<DueMachine> due;
    for (const auto& name : wave.order.machines) {
        auto operation = m_operations.find(name);
        if (operation != m_operations.end()) {
            input.down += operation->second.wave == wave.order.wave ? 1 : 0;
            bool isDraining = operation->second.wave != 0 && operation->second.stage == Stage::Draining;
            if (isDraining && m_machines.count(name) != 0 && !useOf(name).longRunning.empty())
                ++input.drainingLongRunning[m_machines.at(name).info.pool];
            continue;
        }
        if (wave.done.count(name) != 0) {
            // An earlier leader may have taken it down only recently.
            input.down += mayBeDown(name) ? 1 : 0;
            continue;
        }
        auto known = m_machines.find(name);
        if (known == m_machines.end())
            checkAbsence(wave.order.wave, name);
        if (known == m_machines.end() || !isAvailable(known->second.info) || isOrderBlocked(name)
            || isPaused(name))
            continue;
        const auto& info = known->second.info;
        auto use = useOf(name);
        due.push_back({ name, info.pool, info.capacity.cpuMilli, use.reserved.cpuMilli,
            isStandbyPool(info.pool), !use.longRunning.empty() });
    }
    for (const auto& name : planUpkeep(std::move(due), input))
        m_operations[name] = { wave.order.wave, "", Stage::Draining, m_clock().steady };
}

std::set<std::string> MachineMaster::machinesNearDeadline() const
{
    // The machine is drained, moved and listed again before its upkeep can begin, for which it is drained
    // again.
    auto needed = maxMoveTime + m_options.moveDuration + m_options.firstReportMargin + m_options.listInterval
        + UpkeepPlanInput().timePerRound;
    std::set<std::string> machines;
    for (const auto& [number, wave] : m_store.waves()) {
        auto left = wave.order.startedAt + wave.order.deadline - m_clock().wall;
        // A machine that is late for longer may have a lasting cause, which must not keep it in its pool.
        if (left > needed || left + needed < Millis {})
            continue;
        for (const auto& name : wave.order.machines) {
            if (wave.done.count(name) == 0)
                machines.insert(name);
        }
    }
    return machines;
}

bool MachineMaster::checkAbsence(std::uint64_t wave, const std::string& machine)
{
    // Only a list shows that a machine is missing.
    if (!m_listedAt)
        return false;
    auto& since = m_absentSince.emplace(machine, *m_listedAt).first->second;
    if (*m_listedAt < since + absenceTimeout)
        return false;
    since = *m_listedAt;
    Event("machine-gone")
        .with("machine", machine)
        .with("wave", wave)
        .with("absentMs", absenceTimeout)
        .writeAlways();
    if (wave != 0)
        m_log.propose({ NoteUpkeep { wave, machine, true, {} } }, [](bool) {});
    return true;
}

} // namespace celeryline
