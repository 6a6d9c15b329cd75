/// @file
/// Free capacity of the runners, ordered for placement.
#pragma once

#include "celeryline/jobs/JobSpec.h"
#include "celeryline/jobs/RunnerLife.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace celeryline {

/// What a runner has left for further tasks.
struct RunnerRoom {
    RunnerLife life;
    std::string service;
    std::vector<std::string> labels;
    Resources free;
    std::uint32_t lasting = 0; ///< Long-running tasks that it holds.
    std::string rack {}; ///< Empty if unknown.
    std::uint32_t failuresInARow = 0; ///< Tasks that failed there since one ended well.
    bool takesOneTask = false; ///< It is being tried out after it failed many tasks.
};

namespace detail {

/// Orders rooms by free processor time.
struct LessFree {
    using is_transparent = void;

    bool operator()(const RunnerRoom* a, const RunnerRoom* b) const
    {
        return a->free.cpuMilli != b->free.cpuMilli ? a->free.cpuMilli < b->free.cpuMilli : a->life < b->life;
    }
    bool operator()(const RunnerRoom* a, std::int64_t cpuMilli) const { return a->free.cpuMilli < cpuMilli; }
    bool operator()(std::int64_t cpuMilli, const RunnerRoom* b) const { return cpuMilli < b->free.cpuMilli; }
};

} // namespace detail

/// Rooms of one pool; the runner with the least free processor time comes first.
using RoomPool = std::set<const RunnerRoom*, detail::LessFree>;

/// The room on all runners that take tasks, by pool. A change costs a logarithm of the number of runners, so
/// that a plan after one event doesn't pay for the size of the fleet.
///
/// Example: `index.set(room); for (auto* room : index.pool("intake")) { ... }`
class RoomIndex {
public:
    RoomIndex() = default;
    RoomIndex(const RoomIndex&) = delete;
    RoomIndex& operator=(const RoomIndex&) = delete;

    /// Adds a runner, or replaces what was known of it.
    void set(RunnerRoom room);

    /// Drops a runner; one that isn't known changes nothing.
    /// @param runner its id.
    void remove(const std::string& runner);

    void clear();

    /// @param runner id of a runner.
    /// @return its room; null if it takes no tasks.
    const RunnerRoom* find(const std::string& runner) const;

    /// @param service a pool.
    /// @return its rooms; empty for a pool without runners.
    const RoomPool& pool(const std::string& service) const;

    /// Takes room for one task.
    /// @param room a room of this index.
    /// @param step the task's step.
    void reserve(const RunnerRoom& room, const StepSpec& step);

    /// Replaces the room of a runner that reserve() changed.
    /// @param before what it was.
    void restore(const RunnerRoom& before) { set(before); }

private:
    std::unordered_map<std::string, RunnerRoom> m_rooms; ///< By runner.
    std::map<std::string, RoomPool> m_pools;
};

} // namespace celeryline
