/// @file
/// Ids of jobs that were cancelled before they were submitted.
#pragma once

#include "celeryline/jobs/JobId.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_set>
#include <vector>

namespace celeryline {

/// Ids of jobs that were unknown when they were cancelled. A caller whose submission got no answer may cancel
/// the job before the submission arrives, so an acknowledged cancellation has to outlive the wait.
///
/// The ids are numbered from 1 in the order in which they were added. Equal sequences of calls produce equal
/// states.
class CancelledJobIds {
public:
    /// Limit on the ids, so that cancellations of jobs that nobody submits stay cheap: about 2 MB of memory
    /// and 0.5 MB of a snapshot.
    static constexpr std::size_t maxSize = 32768;

    /// Adds an id, unless it is known or the limit is reached. A repeated cancellation doesn't extend the
    /// time: the submission was sent before the first one.
    void add(const JobId& id);

    bool contains(const JobId& id) const { return m_index.count(id) != 0; }
    bool isFull() const { return m_ids.size() >= maxSize; }
    std::size_t size() const { return m_ids.size(); }

    /// @return the number of the newest id; 0 if there never was one.
    std::uint64_t newest() const { return m_forgotten + m_ids.size(); }

    /// @return the number of the newest forgotten id; 0 if none was forgotten.
    std::uint64_t forgotten() const { return m_forgotten; }

    /// Removes the oldest ids.
    /// @param upTo number of the newest id to remove; may be one that is forgotten or doesn't exist.
    void forget(std::uint64_t upTo);

    /// @return the ids, oldest first.
    std::vector<JobId> ids() const { return { m_ids.begin(), m_ids.end() }; }

    /// @param ids the result of ids().
    /// @param forgotten the result of forgotten().
    /// @return the object with this state.
    static CancelledJobIds restore(const std::vector<JobId>& ids, std::uint64_t forgotten);

private:
    std::deque<JobId> m_ids; ///< Oldest first.
    std::unordered_set<JobId> m_index; ///< The same ids.
    std::uint64_t m_forgotten = 0;
};

} // namespace celeryline
