/// @file
/// A queue with two levels of round robin: organisations, then their callers.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace celeryline {

/// Serves organisations in round-robin order, and likewise the callers within an organisation. Not
/// thread-safe.
///
/// Example: `queue.push("coop", "anna", item); auto next = queue.pop();`
template <typename T> class FairQueue {
public:
    /// Appends an item to its caller's queue.
    void push(const std::string& organisation, const std::string& caller, T item)
    {
        auto& group = m_groups[organisation];
        if (group.size == 0) {
            m_organisationOrder.push_back(organisation);
        }
        auto& queue = group.queues[caller];
        if (queue.empty()) {
            group.callerOrder.push_back(caller);
        }
        queue.push_back(std::move(item));
        ++group.size;
        ++m_size;
    }

    /// @return the next item, or nullopt if the queue is empty.
    std::optional<T> pop()
    {
        if (m_organisationOrder.empty()) {
            return std::nullopt;
        }
        const auto organisation = m_organisationOrder.front();
        m_organisationOrder.pop_front();
        const auto found = m_groups.find(organisation);
        auto& group = found->second;
        const auto caller = group.callerOrder.front();
        group.callerOrder.pop_front();
        const auto queue = group.queues.find(caller);
        std::optional<T> item = std::move(queue->second.front());
        queue->second.pop_front();
        if (queue->second.empty()) {
            group.queues.erase(queue);
        } else {
            group.callerOrder.push_back(caller);
        }
        --m_size;
        if (--group.size == 0) {
            m_groups.erase(found);
        } else {
            m_organisationOrder.push_back(organisation);
        }
        return item;
    }

    /// Removes an item.
    /// @return whether it was in the queue.
    bool remove(const std::string& organisation, const std::string& caller, const T& item)
    {
        const auto found = m_groups.find(organisation);
        if (found == m_groups.end()) {
            return false;
        }
        auto& group = found->second;
        const auto queue = group.queues.find(caller);
        if (queue == group.queues.end()) {
            return false;
        }
        const auto position = std::find(queue->second.begin(), queue->second.end(), item);
        if (position == queue->second.end()) {
            return false;
        }
        queue->second.erase(position);
        if (queue->second.empty()) {
            group.queues.erase(queue);
            group.callerOrder.erase(std::find(group.callerOrder.begin(), group.callerOrder.end(), caller));
        }
        --m_size;
        if (--group.size == 0) {
            m_groups.erase(found);
            m_organisationOrder.erase(
                std::find(m_organisationOrder.begin(), m_organisationOrder.end(), organisation));
        }
        return true;
    }

    /// Removes the newest item of the caller with the most items, within the organisation with the most
    /// items, to make room for another organisation.
    /// @param requester the organisation that needs room.
    /// @return the item, or nullopt if no organisation has at least two items more than the requester.
    std::optional<T> evictFor(const std::string& requester)
    {
        const auto largest = std::max_element(m_groups.begin(), m_groups.end(),
            [](const auto& a, const auto& b) { return a.second.size < b.second.size; });
        const auto own = m_groups.find(requester);
        const std::size_t ownSize = own == m_groups.end() ? 0 : own->second.size;
        if (largest == m_groups.end() || largest->second.size < ownSize + 2) {
            return std::nullopt;
        }
        auto& queues = largest->second.queues;
        const auto longest = std::max_element(queues.begin(), queues.end(),
            [](const auto& a, const auto& b) { return a.second.size() < b.second.size(); });
        T item = longest->second.back();
        const auto organisation = largest->first;
        const auto caller = longest->first;
        remove(organisation, caller, item);
        return item;
    }

    /// @param organisation an organisation.
    /// @return the number of items served before a new item of the organisation.
    std::size_t itemsAhead(const std::string& organisation) const
    {
        const auto own = m_groups.find(organisation);
        const std::size_t ownSize = own == m_groups.end() ? 0 : own->second.size;
        std::size_t count = 0;
        for (const auto& group : m_groups) {
            count += std::min(group.second.size, ownSize + 1);
        }
        return own == m_groups.end() ? count : count - 1;
    }

    /// @return the number of items.
    std::size_t size() const { return m_size; }

private:
    struct Group {
        std::map<std::string, std::deque<T>> queues; ///< By caller; none is empty.
        std::deque<std::string> callerOrder; ///< Callers in round-robin order.
        std::size_t size = 0;
    };

    std::map<std::string, Group> m_groups;
    std::deque<std::string> m_organisationOrder;
    std::size_t m_size = 0;
};

} // namespace celeryline
