/// @file
/// Implementation of ProgressSimulation: instances with their log, machine provider and runners.
#pragma once

#include "ProgressSimulation.h"

#include <algorithm>
#include <utility>

namespace celeryline::test {

/// A control process. All instances share one JobStore, since they apply the same entries.
class ProgressSimulation::Instance final : public CommandLog {
public:
    Instance(ProgressSimulation& simulation, int number)
        : m_simulation(simulation)
        , m_number(number)
        , master({}, simulation.m_store, *this, [&simulation] { return simulation.moment(); })
        , machines(options(simulation, number), master, simulation.m_store, *this, providerOf(simulation),
              [&simulation] { return simulation.moment(); })
    {
    }

    bool isLeading() const override { return m_simulation.m_leading == m_number; }
    std::uint64_t term() const override { return m_simulation.m_term; }

    void propose(const std::vector<JobCommand>& commands, std::function<void(bool)> done) override
    {
        if (!isLeading()) {
            done(false);
            return;
        }
        m_proposals.push_back({ m_simulation.m_now + 3 + static_cast<std::int64_t>(m_simulation.below(8)),
            commands, std::move(done) });
    }

    void commitDue()
    {
        while (!m_proposals.empty() && m_proposals.front().at <= m_simulation.m_now) {
            auto proposal = std::move(m_proposals.front());
            m_proposals.erase(m_proposals.begin());
            apply(proposal.commands);
            proposal.done(true);
        }
    }

    /// Loses leadership. Some pending proposals are committed although they are reported as failed.
    void loseLeadership()
    {
        auto proposals = std::move(m_proposals);
        m_proposals.clear();
        auto committed = m_simulation.below(proposals.size() + 1);
        for (std::size_t i = 0; i < proposals.size(); ++i) {
            if (i < committed)
                apply(proposals[i].commands);
            proposals[i].done(false);
        }
    }

private:
    struct Proposal {
        std::int64_t at = 0;
        std::vector<JobCommand> commands;
        std::function<void(bool)> done;
    };

    static MachineMasterOptions options(const ProgressSimulation& simulation, int number)
    {
        MachineMasterOptions made;
        made.standbyPlan.isEnabled = simulation.sendsToStandby;
        made.holder = "c" + std::to_string(number);
        return made;
    }

    static MachineProvider& providerOf(ProgressSimulation& simulation);

    void apply(const std::vector<JobCommand>& commands)
    {
        for (const auto& command : commands) {
            for (auto& instance : m_simulation.m_instances)
                instance->master.onCommitted(command);
            m_simulation.m_store.apply(command, m_simulation.moment().wall);
            for (auto& instance : m_simulation.m_instances)
                instance->machines.onCommitted(command);
        }
    }

    ProgressSimulation& m_simulation;
    int m_number;
    std::vector<Proposal> m_proposals;

public:
    JobMaster master;
    MachineMaster machines;
};

/// A simulated machine provider.
class ProgressSimulation::Provider final : public MachineProvider {
public:
    explicit Provider(ProgressSimulation& simulation)
        : m_simulation(simulation)
    {
    }

    void list(ListCallback done) override
    {
        std::vector<MachineInfo> infos;
        for (const auto& machine : m_simulation.m_machines) {
            infos.push_back(
                { machine.name, machine.pool, machine.state, "dc", {}, machine.capacity, machine.runner });
        }
        m_simulation.after(2, [done = std::move(done), infos = std::move(infos)] { done(infos); });
    }

    void move(const std::string& machine, const std::string& pool, const MachineLease& lease,
        OrderCallback done) override
    {
        order(machine, lease, std::move(done), [this, pool](Machine& ordered) {
            if (ordered.pool == pool)
                return;
            m_simulation.takeDown(ordered, MachineState::Moving, moveMs);
            ordered.pool = pool;
        });
    }

    void beginUpkeep(const std::string& machine, std::uint64_t wave, const MachineLease& lease,
        OrderCallback done) override
    {
        order(machine, lease, std::move(done), [this, machine, wave](Machine& ordered) {
            if (m_upkeeps.insert({ machine, wave }).second)
                m_simulation.takeDown(ordered, MachineState::Upkeep, upkeepMs);
        });
    }

private:
    static constexpr std::int64_t moveMs = 1500;
    static constexpr std::int64_t upkeepMs = 2000;

    void order(const std::string& name, const MachineLease& lease, OrderCallback done,
        std::function<void(Machine&)> execute)
    {
        auto isAnswerLost = m_simulation.below(50) == 0;
        m_simulation.after(
            2, [this, name, lease, done = std::move(done), execute = std::move(execute), isAnswerLost] {
                auto& machine = m_simulation.machine(name);
                auto outcome = MachineOutcome::Done;
                if (lease.fence < machine.fence) {
                    outcome = MachineOutcome::Refused;
                } else if (machine.state != MachineState::Up) {
                    outcome = MachineOutcome::Busy;
                } else {
                    machine.fence = lease.fence;
                    execute(machine);
                }
                if (isAnswerLost) {
                    m_simulation.after(500, [done] { done(MachineOutcome::Unknown); });
                } else {
                    done(outcome);
                }
            });
    }

    ProgressSimulation& m_simulation;
    std::set<std::pair<std::string, std::uint64_t>> m_upkeeps;
};

inline MachineProvider& ProgressSimulation::Instance::providerOf(ProgressSimulation& simulation)
{
    return *simulation.m_provider;
}

/// A run on a runner.
struct ProgressSimulation::Work {
    RunName run;
    std::int64_t since = 0;
    double neededMs = 0;
    double doneMs = 0;
    double rate = 1; ///< Rate ordered for a best-effort task; 1 is full speed.
    std::int64_t stopsAt = 0; ///< 0 unless it was ordered to stop.
    bool hangs = false;
    bool fails = false;
    bool isLongRunning = false;
    bool isGang = false;
    bool isGangComplete = false; ///< Whether all members of its gang have run at the same time.
    std::uint32_t members = 1;
    Resources reserved;
};

/// A simulated runner.
struct ProgressSimulation::Runner {
    std::string id;
    std::string machine;
    std::string pool;
    std::string rack;
    Resources capacity;
    std::int64_t born = 0;
    std::int64_t upAt = 0;
    std::uint64_t sequence = 0;
    std::uint64_t fence = 0;
    std::uint64_t lastEnd = 0;
    std::vector<Work> work;
    std::vector<ReportedEnd> ended;
    std::map<TaskName, std::uint32_t>
        highestEndedRun; ///< By task; highest run that ended or was stopped here.
    double leaseUntil = 0;
    std::int64_t nextReport = 0;
    std::int64_t reportSentAt = 0;
    bool isReportPending = false;
    std::map<Fault, std::int64_t> faults; ///< End time of each fault.

    bool has(Fault fault, std::int64_t now) const
    {
        auto found = faults.find(fault);
        return found != faults.end() && now < found->second;
    }
};

} // namespace celeryline::test
