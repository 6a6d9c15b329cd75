/// @file
/// Index of the runners that accept tasks, ordered by free capacity.
#pragma once

#include "celeryline/jobs/JobSpec.h"
#include "celeryline/jobs/RunnerIncarnation.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace celeryline {

/// A runner as a candidate for placement, with its free capacity.
struct PlacementCandidate {
    RunnerIncarnation incarnation;
    std::string service;
    std::vector<std::string> labels;
    Resources free;
    std::uint32_t longRunning = 0; ///< Number of long-running tasks allocated to it.
    std::string rack {}; ///< Empty if unknown.
    std::uint32_t failuresInARow = 0; ///< Tasks that failed there since the last success.
    bool takesOneTask = false; ///< It is on probation after many failed tasks.
    std::string dataCentre {}; ///< Empty if unknown.
};

namespace detail {

/// Orders candidates by free CPU.
struct LessFree {
    using is_transparent = void;

    bool operator()(const PlacementCandidate* a, const PlacementCandidate* b) const
    {
        return a->free.cpuMilli != b->free.cpuMilli ? a->free.cpuMilli < b->free.cpuMilli
                                                    : a->incarnation < b->incarnation;
    }
    bool operator()(const PlacementCandidate* a, std::int64_t cpuMilli) const
    {
        return a->free.cpuMilli < cpuMilli;
    }
    bool operator()(std::int64_t cpuMilli, const PlacementCandidate* b) const
    {
        return cpuMilli < b->free.cpuMilli;
    }
};

} // namespace detail

/// Candidates of one pool, in ascending order of free CPU.
using CandidatePool = std::set<const PlacementCandidate*, detail::LessFree>;

/// All runners that accept tasks, by pool. An update takes logarithmic time in the number of runners, so that
/// the cost of a plan after a single event doesn't depend on the size of the fleet.
///
/// Example: `index.set(candidate); for (auto* candidate : index.pool("intake")) { ... }`
class CandidateIndex {
public:
    CandidateIndex() = default;
    CandidateIndex(const CandidateIndex&) = delete;
    CandidateIndex& operator=(const CandidateIndex&) = delete;

    /// Adds or replaces a runner.
    void set(PlacementCandidate candidate);

    /// Removes a runner. Does nothing if the runner isn't indexed.
    /// @param runner its id.
    void remove(const std::string& runner);

    void clear();

    /// @param runner id of a runner.
    /// @return the candidate; null if the runner accepts no tasks.
    const PlacementCandidate* find(const std::string& runner) const;

    /// @param service a pool.
    /// @return its candidates; empty for a pool without runners.
    const CandidatePool& pool(const std::string& service) const;

    /// @param service a pool.
    /// @return the free capacity of its candidates in total.
    Resources freeIn(const std::string& service) const;

    /// Subtracts the reservation of one task from a candidate's free capacity.
    /// @param candidate a candidate of this index.
    /// @param step the task's step.
    void reserve(const PlacementCandidate& candidate, const StepSpec& step);

    /// Undoes reserve().
    /// @param before the candidate as it was before.
    void restore(const PlacementCandidate& before) { set(before); }

private:
    struct Pool {
        CandidatePool candidates;
        Resources free; ///< Total free capacity of the candidates.
    };

    std::unordered_map<std::string, PlacementCandidate> m_candidates; ///< By runner.
    std::map<std::string, Pool> m_pools;
};

} // namespace celeryline
