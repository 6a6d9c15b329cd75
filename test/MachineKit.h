/// @file
/// A machine provider and a MachineMaster fixture for tests of machine management.
#pragma once

#include "celeryline/machines/MachineMaster.h"

#include "JobKit.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace celeryline::test {

/// A provider whose answers to orders the test triggers.
class ManualProvider final : public MachineProvider {
public:
    struct Order {
        std::string machine;
        std::string pool; ///< Empty for an upkeep.
        MachineLease lease;
        OrderCallback done;
    };

    void list(ListCallback done) override
    {
        if (holdsLists) {
            heldLists.push_back(std::move(done));
        } else if (isUnavailable) {
            done(std::nullopt);
        } else {
            done(machines);
        }
    }

    void move(const std::string& machine, const std::string& pool, const MachineLease& lease,
        OrderCallback done) override
    {
        orders.push_back({ machine, pool, lease, std::move(done) });
    }

    void beginUpkeep(
        const std::string& machine, std::uint64_t, const MachineLease& lease, OrderCallback done) override
    {
        orders.push_back({ machine, "", lease, std::move(done) });
    }

    void answer(MachineOutcome outcome)
    {
        auto answered = std::move(orders);
        orders.clear();
        for (auto& order : answered)
            order.done(outcome);
    }

    std::vector<MachineInfo> machines;
    std::vector<Order> orders;
    bool isUnavailable = false; ///< List calls fail.
    bool holdsLists = false; ///< List calls don't end.
    std::vector<ListCallback> heldLists;
};

/// A machine master over a job master and a provider that the test controls.
struct MachineFixture : JobMasterFixture {
    explicit MachineFixture(const MachineMasterOptions& options = defaultOptions())
        : machines(options, master, store, log, provider, [this] { return moment; })
    {
        auto configuration = makeConfiguration(2);
        auto queue = configuration.queues.front();
        queue.key = "host/other/";
        queue.service = "other";
        configuration.queues.push_back(queue);
        configuration.pools.push_back({ "other", true, false });
        store.apply(AcceptConfiguration { configuration }, {});
        machines.startTerm();
    }

    static MachineMasterOptions defaultOptions()
    {
        MachineMasterOptions made;
        made.holder = "holder";
        return made;
    }

    void addMachine(const std::string& name, const std::string& pool, const std::string& runner)
    {
        provider.machines.push_back({ name, pool, MachineState::Up, "dc", {}, { 4000, 8000, 0 }, runner });
    }

    void advanceTime(std::int64_t milliseconds)
    {
        for (std::int64_t i = 0; i < milliseconds; i += 50) {
            advance({ 50 });
            machines.tick();
        }
    }

    /// Submits a backlog to the pool "other" that needs many machines.
    void addPeak()
    {
        auto job = makeJob("peak", { makeStep(200) });
        job.queue = "host/other/";
        submit(job);
    }

    /// Commits an order of an earlier leader.
    void applyEarlierMove(const std::string& machine, const MachineOrder& order)
    {
        NoteMove note { machine, "pool", order };
        store.apply(note, {});
        machines.onCommitted(note);
    }

    /// Starts a wave of which an earlier leader has begun a machine.
    void applyBegunUpkeep(const std::vector<std::string>& wave, const std::string& begun)
    {
        store.apply(StartWave { 5, wave, { 60000 }, 1, moment.wall }, {});
        NoteUpkeep note { 5, begun, false, { "earlier", 6, { 500 } } };
        store.apply(note, {});
        machines.onCommitted(note);
    }

    /// Advances the time while an idle runner reports, until it gets a start.
    /// @return the starts.
    std::vector<StartOrder> advanceUntilStart(const std::string& runner, std::int64_t milliseconds)
    {
        std::vector<StartOrder> starts;
        constexpr std::int64_t interval = 250;
        for (std::int64_t i = 0; i < milliseconds && starts.empty(); i += interval) {
            advanceTime(interval);
            if (auto orders = report(makeReport(runner, ++sequence)))
                starts = orders->starts;
        }
        return starts;
    }

    bool isOrdered(const std::string& machine) const
    {
        return std::any_of(provider.orders.begin(), provider.orders.end(),
            [&](const auto& order) { return order.machine == machine; });
    }

    ManualProvider provider;
    MachineMaster machines;
    std::uint64_t sequence = 0; ///< Sequence number of the last report.
};

} // namespace celeryline::test
