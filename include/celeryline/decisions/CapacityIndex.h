/// @file
/// Free capacity of all workers, indexed for placement.
#pragma once

#include "celeryline/labels/Selector.h"
#include "celeryline/registry/Announcement.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace celeryline {

/// What placement knows of one worker.
struct WorkerCapacity {
    std::string name;
    std::string dataCentre;
    std::string rack;
    std::string pool;
    LabelSet labels;
    Resources capacity;
    bool accepting = true; ///< Serving, with a live lease and not in quarantine.
};

/// A job that a worker holds.
struct HeldJob {
    std::string id;
    std::uint64_t fence = 0;
    Resources size; ///< Estimated when it was placed.
    bool urgent = false;
    bool repeatable = true;
    bool borrowed = false; ///< Beyond its team's quota.
    std::string spreadKey; ///< Jobs with the same key are spread over data centres.
};

/// Free capacity of all workers. Workers are grouped by pool, accelerators and data centre, and the racks of
/// a group are ordered by free processor, so that placement looks at few racks instead of at all workers. A
/// value: a copy can be changed without an effect on the original.
class CapacityIndex {
public:
    /// Adds a worker, or replaces what is known of it; its jobs stay.
    /// @param worker the worker.
    void setWorker(const WorkerCapacity& worker);

    /// @param worker a worker that places no more jobs; its capacity no longer counts.
    void removeWorker(const std::string& worker);

    /// Counts a job from its placement on, before any report shows it.
    /// @throws Error if the worker is not known or holds a job with this id or a newer fence.
    void place(const std::string& worker, const HeldJob& job);

    /// Forgets a job that has ended or was stopped.
    void end(const std::string& worker, const std::string& job);

    /// Takes a usage report, which lags behind placements.
    /// @param worker the reporting worker.
    /// @param usage what it uses.
    /// @param throughFence highest fence that it had started; later placements are added to the usage.
    void report(const std::string& worker, const Resources& usage, std::uint64_t throughFence);

    /// Finds a worker with room: the data centre with the fewest jobs of the same key, then the rack and the
    /// worker with most free processor. Workers with accelerators serve other jobs only if no other has room.
    /// @return its name.
    std::optional<std::string> find(const std::string& pool, const Selector& selector, const Resources& size,
        const std::string& spreadKey) const;

    /// @return a worker on which the size fits if all processor use by batch jobs is throttled.
    std::optional<std::string> findThrottled(
        const std::string& pool, const Selector& selector, const Resources& size) const;

    /// @return whether an idle worker of the pool could hold the size.
    bool couldEverFit(const std::string& pool, const Selector& selector, const Resources& size) const;

    /// @return what is free on a worker, never below zero.
    Resources freeOn(const std::string& worker) const;

    /// @return jobs that a worker holds.
    const std::vector<HeldJob>& heldOn(const std::string& worker) const;

    /// @return whether any worker is known in the pool.
    bool hasPool(const std::string& pool) const { return m_pools.count(pool) > 0; }

private:
    using GroupKey = std::tuple<std::string, bool, std::string>; // pool, accelerators, data centre
    using RackKey = std::pair<std::int64_t, std::size_t>; // free processor, rack

    struct Slot {
        std::shared_ptr<const WorkerCapacity> worker;
        Resources reported;
        std::uint64_t throughFence = 0;
        std::vector<HeldJob> jobs;
        std::size_t rack = 0;
        Resources free;
        std::int64_t batchCpu = 0;
        bool known = false;
    };

    struct Rack {
        GroupKey group;
        std::vector<std::size_t> slots;
        std::int64_t freeCpu = 0;
    };

    std::size_t slotOf(const std::string& worker) const;
    std::size_t rackOf(const WorkerCapacity& worker);
    void detach(std::size_t slot);
    void refresh(std::size_t slot);
    std::optional<std::size_t> findInGroup(
        const std::set<RackKey>& racks, const Selector& selector, const Resources& size) const;

    std::vector<Slot> m_slots;
    std::unordered_map<std::string, std::size_t> m_slotByName;
    std::vector<Rack> m_racks;
    std::map<std::pair<GroupKey, std::string>, std::size_t> m_rackByName;
    std::map<GroupKey, std::set<RackKey>> m_groups;
    std::map<std::string, std::vector<std::size_t>> m_pools;
    std::unordered_map<std::string, std::map<std::string, int>> m_spread; // by key and data centre
};

namespace detail {

/// @return whether a size fits what is free.
inline bool fits(const Resources& size, const Resources& free)
{
    return size.cpuMilli <= free.cpuMilli && size.memoryMb <= free.memoryMb
        && size.accelerators <= free.accelerators;
}

/// @return the sum of two amounts.
inline Resources add(const Resources& a, const Resources& b)
{
    return { a.cpuMilli + b.cpuMilli, a.memoryMb + b.memoryMb, a.accelerators + b.accelerators };
}

} // namespace detail

} // namespace celeryline
