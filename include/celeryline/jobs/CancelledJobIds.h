/// @file
/// Ids of jobs that were cancelled before they were submitted.
#pragma once

#include "celeryline/jobs/JobId.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace celeryline {

/// Ids of jobs that were unknown when they were cancelled. A caller whose submission got no answer may cancel
/// the job before the submission arrives, so an acknowledged cancellation has to outlive the wait.
///
/// Where the configuration has customers, each of them, and the callers without a customer together, may fill
/// only a part of the record, so that none can keep the others from cancelling. An id is cancelled whoever
/// submits it later: the caller's key may have moved to another customer in the meantime.
///
/// The ids are numbered from 1 in the order in which they were added. Equal sequences of calls produce equal
/// states.
class CancelledJobIds {
public:
    /// Limit on the ids, so that cancellations of jobs that nobody submits stay cheap: about 2 MB of memory
    /// and 0.5 MB of a snapshot.
    static constexpr std::size_t maxSize = 32768;

    /// @param customers number of customers of the configuration.
    /// @return the limit on the ids of one customer, and of callers without a customer. The parts are equal:
    /// without customers the only one is the whole record.
    static std::size_t partSize(std::size_t customers)
    {
        return std::max<std::size_t>(maxSize / (customers + 1), 1);
    }

    /// Adds an id, unless it is known or a limit is reached. A repeated cancellation doesn't extend the time:
    /// the submission was sent before the first one.
    /// @param customer name of the customer that cancelled it; empty for none.
    /// @param part the result of partSize().
    void add(const JobId& id, const std::string& customer = "", std::size_t part = maxSize);

    bool contains(const JobId& id) const { return m_index.count(id) != 0; }

    /// @return whether the customer can't add an id, because its part or the whole record is full. The whole
    /// record may be full before all parts are, for up to the time that ids are kept, after the number of
    /// customers has changed.
    bool isFull(const std::string& customer = "", std::size_t part = maxSize) const
    {
        return m_ids.size() >= maxSize || sizeOf(customer) >= part;
    }

    /// @return the number of ids of a customer.
    std::size_t sizeOf(const std::string& customer) const;
    std::size_t size() const { return m_ids.size(); }

    /// @return the number of the newest id; 0 if there never was one.
    std::uint64_t newest() const { return m_forgotten + m_ids.size(); }

    /// @return the number of the newest forgotten id; 0 if none was forgotten.
    std::uint64_t forgotten() const { return m_forgotten; }

    /// Removes the oldest ids.
    /// @param upTo number of the newest id to remove; may be one that is forgotten or doesn't exist.
    void forget(std::uint64_t upTo);

    /// @return the ids, oldest first.
    std::vector<JobId> ids() const;

    /// @return the ids that have a customer, with its name, oldest first.
    std::vector<std::pair<JobId, std::string>> customers() const;

    /// @param ids the result of ids().
    /// @param forgotten the result of forgotten().
    /// @param customers the result of customers().
    /// @return the object with this state.
    static CancelledJobIds restore(const std::vector<JobId>& ids, std::uint64_t forgotten,
        const std::vector<std::pair<JobId, std::string>>& customers = {});

private:
    struct Entry {
        JobId id;
        std::string customer;
    };

    std::deque<Entry> m_ids; ///< Oldest first.
    std::unordered_set<JobId> m_index; ///< The same ids.
    std::map<std::string, std::size_t> m_sizes; ///< Number of ids by customer, without zeros.
    std::uint64_t m_forgotten = 0;
};

} // namespace celeryline
