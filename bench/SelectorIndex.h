/// @file
/// An index of labelled objects for selector queries. Not part of the product: a linear scan meets the
/// targets at 1,500 objects (see SelectorIndexBench.cpp), and the product handles no larger sets.
#pragma once

#include "celeryline/labels/LabelSet.h"
#include "celeryline/labels/Selector.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace celeryline {

/// Finds the objects that a selector matches without a full scan: evaluates the selector only on the
/// candidates of its most selective requirement.
///
/// Example: `index.set(7, labels); for (auto id : index.matching(pool.selector)) ...`
class SelectorIndex {
public:
    /// Adds an object or replaces its labels.
    /// @param id small number assigned by the caller; memory use grows with the largest id.
    /// @param labels labels of the object.
    void set(std::uint32_t id, const LabelSet& labels);

    /// @param selector the query.
    /// @return the ids of the matching objects, sorted.
    std::vector<std::uint32_t> matching(const Selector& selector) const;

private:
    using Ids = std::vector<std::uint32_t>; ///< Sorted.

    struct ByLabel {
        std::unordered_map<std::string, Ids> byValue;
        std::size_t count = 0; ///< Objects with the label.
    };

    std::size_t candidateCount(const SelectorRequirement& requirement) const;
    void addMatching(const Selector& selector, const Ids& candidates, Ids& result) const;

    std::vector<LabelSet> m_labels; ///< By id; empty for unused ids.
    std::unordered_map<std::string, ByLabel> m_byLabel;
};

inline void SelectorIndex::set(std::uint32_t id, const LabelSet& labels)
{
    if (id >= m_labels.size()) {
        m_labels.resize(id + 1);
    }
    auto& previous = m_labels[id];
    for (const auto& [name, value] : previous) {
        auto sameLabel = labels.find(name);
        if (sameLabel == labels.end() || sameLabel->second != value) {
            auto& byLabel = m_byLabel[name];
            auto& ids = byLabel.byValue[value];
            ids.erase(std::lower_bound(ids.begin(), ids.end(), id));
            --byLabel.count;
        }
    }
    for (const auto& [name, value] : labels) {
        auto sameLabel = previous.find(name);
        if (sameLabel == previous.end() || sameLabel->second != value) {
            auto& byLabel = m_byLabel[name];
            auto& ids = byLabel.byValue[value];
            ids.insert(std::lower_bound(ids.begin(), ids.end(), id), id);
            ++byLabel.count;
        }
    }
    previous = labels;
}

inline std::size_t SelectorIndex::candidateCount(const SelectorRequirement& requirement) const
{
    if (requirement.op != SelectorOperator::In && requirement.op != SelectorOperator::Exists) {
        return m_labels.size();
    }
    auto found = m_byLabel.find(requirement.label);
    if (found == m_byLabel.end()) {
        return 0;
    }
    if (requirement.op == SelectorOperator::Exists) {
        return found->second.count;
    }
    std::size_t count = 0;
    for (const auto& value : requirement.values) {
        auto ids = found->second.byValue.find(value);
        count += ids == found->second.byValue.end() ? 0 : ids->second.size();
    }
    return count;
}

inline std::vector<std::uint32_t> SelectorIndex::matching(const Selector& selector) const
{
    Ids result;
    const SelectorRequirement* smallest = nullptr;
    std::size_t smallestCount = m_labels.size();
    for (const auto& requirement : selector.requirements) {
        auto count = candidateCount(requirement);
        if (count < smallestCount) {
            smallest = &requirement;
            smallestCount = count;
        }
    }
    if (!smallest) {
        for (std::uint32_t id = 0; id < m_labels.size(); ++id) {
            if (!m_labels[id].empty() && matches(selector, m_labels[id])) {
                result.push_back(id);
            }
        }
        return result;
    }
    auto byLabel = m_byLabel.find(smallest->label);
    if (byLabel == m_byLabel.end()) {
        return result;
    }
    if (smallest->op == SelectorOperator::Exists) {
        for (const auto& [value, ids] : byLabel->second.byValue) {
            addMatching(selector, ids, result);
        }
    } else {
        for (const auto& value : smallest->values) {
            auto ids = byLabel->second.byValue.find(value);
            if (ids != byLabel->second.byValue.end()) {
                addMatching(selector, ids->second, result);
            }
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

inline void SelectorIndex::addMatching(const Selector& selector, const Ids& candidates, Ids& result) const
{
    for (auto id : candidates) {
        if (matches(selector, m_labels[id])) {
            result.push_back(id);
        }
    }
}

} // namespace celeryline
