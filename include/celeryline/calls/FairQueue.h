/// @file
/// A queue that is fair between organisations and then between their callers.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace celeryline {

/// Serves organisations by turns, and the callers of an organisation by turns. Not thread-safe.
///
/// Example: `queue.push("coop", "anna", item); auto next = queue.pop();`
template <typename T> class FairQueue {
public:
    /// Adds an item behind the other items of its caller.
    void push(const std::string& organisation, const std::string& caller, T item)
    {
        auto& group = m_groups[organisation];
        if (group.size == 0) {
            m_turns.push_back(organisation);
        }
        auto& line = group.lines[caller];
        if (line.empty()) {
            group.turns.push_back(caller);
        }
        line.push_back(std::move(item));
        ++group.size;
        ++m_size;
    }

    /// @return the next item; nothing if the queue is empty.
    std::optional<T> pop()
    {
        if (m_turns.empty()) {
            return std::nullopt;
        }
        const auto organisation = m_turns.front();
        m_turns.pop_front();
        const auto found = m_groups.find(organisation);
        auto& group = found->second;
        const auto caller = group.turns.front();
        group.turns.pop_front();
        const auto line = group.lines.find(caller);
        std::optional<T> item = std::move(line->second.front());
        line->second.pop_front();
        if (line->second.empty()) {
            group.lines.erase(line);
        } else {
            group.turns.push_back(caller);
        }
        --m_size;
        if (--group.size == 0) {
            m_groups.erase(found);
        } else {
            m_turns.push_back(organisation);
        }
        return item;
    }

    /// Removes an item that no longer waits.
    /// @return whether it was in the queue.
    bool remove(const std::string& organisation, const std::string& caller, const T& item)
    {
        const auto found = m_groups.find(organisation);
        if (found == m_groups.end()) {
            return false;
        }
        auto& group = found->second;
        const auto line = group.lines.find(caller);
        if (line == group.lines.end()) {
            return false;
        }
        const auto place = std::find(line->second.begin(), line->second.end(), item);
        if (place == line->second.end()) {
            return false;
        }
        line->second.erase(place);
        if (line->second.empty()) {
            group.lines.erase(line);
            group.turns.erase(std::find(group.turns.begin(), group.turns.end(), caller));
        }
        --m_size;
        if (--group.size == 0) {
            m_groups.erase(found);
            m_turns.erase(std::find(m_turns.begin(), m_turns.end(), organisation));
        }
        return true;
    }

    /// Takes the newest item of the organisation with the most items out of the queue, to make room for
    /// another organisation.
    /// @param newcomer the organisation that needs room.
    /// @return the item; nothing if no organisation has at least two items more than the newcomer.
    std::optional<T> evictFor(const std::string& newcomer)
    {
        const auto largest = std::max_element(m_groups.begin(), m_groups.end(),
            [](const auto& a, const auto& b) { return a.second.size < b.second.size; });
        const auto own = m_groups.find(newcomer);
        const std::size_t ownSize = own == m_groups.end() ? 0 : own->second.size;
        if (largest == m_groups.end() || largest->second.size < ownSize + 2) {
            return std::nullopt;
        }
        auto& lines = largest->second.lines;
        const auto longest = std::max_element(lines.begin(), lines.end(),
            [](const auto& a, const auto& b) { return a.second.size() < b.second.size(); });
        T item = longest->second.back();
        const auto organisation = largest->first;
        const auto caller = longest->first;
        remove(organisation, caller, item);
        return item;
    }

    /// @param organisation an organisation.
    /// @return how many items are served before a new item of the organisation.
    std::size_t ahead(const std::string& organisation) const
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
        std::map<std::string, std::deque<T>> lines; ///< By caller; none is empty.
        std::deque<std::string> turns; ///< Callers; the next one is first.
        std::size_t size = 0;
    };

    std::map<std::string, Group> m_groups;
    std::deque<std::string> m_turns;
    std::size_t m_size = 0;
};

} // namespace celeryline
