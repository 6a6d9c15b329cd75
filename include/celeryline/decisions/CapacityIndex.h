/// @file
/// Index of the free capacity of all workers, for placement.
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

/// Capacity and location of one worker.
struct WorkerCapacity {
    std::string name;
    std::string dataCentre;
    std::string rack;
    std::string pool;
    LabelSet labels;
    Resources capacity;
    bool accepting = true; ///< It is serving, its lease is live, and it isn't quarantined.
};

/// A job that is placed on a worker.
struct HeldJob {
    std::string id;
    std::uint64_t fence = 0;
    Resources size; ///< Estimate at the time of placement.
    bool urgent = false;
    bool repeatable = true;
    bool borrowed = false; ///< It exceeds its team's quota.
    std::string spreadKey; ///< Jobs with the same key are spread over data centres.
};

/// Index of the free capacity of all workers. Workers are grouped by pool, accelerators and data centre, and
/// the racks of a group are ordered by free CPU, so that placement searches few racks instead of all workers.
/// A value type: changes to a copy don't affect the original.
class CapacityIndex {
public:
    /// Adds a worker or replaces its description; its jobs stay.
    /// @param worker the worker.
    void setWorker(const WorkerCapacity& worker);

    /// Removes a worker's capacity and jobs.
    /// @param worker a known worker that gets no more jobs.
    void removeWorker(const std::string& worker);

    /// Reserves capacity for a job from its placement on, before a report includes it.
    /// @throws Error if the worker is unknown, already holds the job, or has reported this fence or a newer
    /// one.
    void place(const std::string& worker, const HeldJob& job);

    /// Releases the capacity of a job that has ended or was stopped.
    void end(const std::string& worker, const std::string& job);

    /// Applies a usage report. Reports lag behind placements.
    /// @param worker the reporting worker.
    /// @param usage its current usage.
    /// @param throughFence highest fence that it had started; later placements are added to the usage.
    void report(const std::string& worker, const Resources& usage, std::uint64_t throughFence);

    /// Finds a worker that fits a job: the data centre with the fewest jobs of the same key, then the rack
    /// and the worker with the most free CPU. Workers with accelerators take jobs without accelerators only
    /// if no other worker fits.
    /// @return the name of the worker.
    std::optional<std::string> find(const std::string& pool, const Selector& selector, const Resources& size,
        const std::string& spreadKey) const;

    /// @return a worker that fits the size if the CPU of all its batch jobs is throttled.
    std::optional<std::string> findWithThrottling(
        const std::string& pool, const Selector& selector, const Resources& size) const;

    /// @return whether some worker of the pool would fit the size if it were idle.
    bool couldEverFit(const std::string& pool, const Selector& selector, const Resources& size) const;

    /// @return free capacity of a worker, never negative.
    Resources freeOn(const std::string& worker) const;

    /// @return jobs that are placed on a worker.
    const std::vector<HeldJob>& jobsOn(const std::string& worker) const;

    /// @return whether the pool has or has had any worker.
    bool hasPool(const std::string& pool) const { return m_pools.count(pool) > 0; }

private:
    using GroupKey = std::tuple<std::string, bool, std::string>; // pool, accelerators, data centre
    using RackKey = std::pair<std::int64_t, std::size_t>; // free CPU, rack

    struct WorkerEntry {
        std::shared_ptr<const WorkerCapacity> worker;
        Resources reported;
        std::uint64_t throughFence = 0;
        std::vector<HeldJob> jobs;
        std::size_t rack = 0;
        Resources free;
        std::int64_t batchCpu = 0;
        bool isPresent = false;
    };

    struct Rack {
        GroupKey group;
        std::vector<std::size_t> workers;
        std::int64_t freeCpu = 0;
    };

    std::size_t entryOf(const std::string& worker) const;
    std::size_t rackOf(const WorkerCapacity& worker);
    void removeFromRack(std::size_t index);
    void updateFree(std::size_t index);
    std::optional<std::size_t> findInGroup(
        const std::set<RackKey>& racks, const Selector& selector, const Resources& size) const;

    std::vector<WorkerEntry> m_entries;
    std::unordered_map<std::string, std::size_t> m_entryByName;
    std::vector<Rack> m_racks;
    std::map<std::pair<GroupKey, std::string>, std::size_t> m_rackByName;
    std::map<GroupKey, std::set<RackKey>> m_groups;
    std::map<std::string, std::vector<std::size_t>> m_pools;
    std::unordered_map<std::string, std::map<std::string, int>> m_jobCounts; // By spread key and data centre.
};

namespace detail {

/// @return whether a size fits in the free resources.
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
