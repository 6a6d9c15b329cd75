/// @file
/// Label selectors.
#pragma once

#include "celeryline/labels/LabelSet.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace celeryline {

/// Operator of a selector requirement.
enum class SelectorOperator : std::uint8_t { In, NotIn, Exists, NotExists };

/// A single condition of a selector.
struct SelectorRequirement {
    std::string label;
    SelectorOperator op = SelectorOperator::In;
    std::vector<std::string> values; ///< Sorted; empty for Exists and NotExists.
};

inline bool operator==(const SelectorRequirement& a, const SelectorRequirement& b)
{
    return std::tie(a.label, a.op, a.values) == std::tie(b.label, b.op, b.values);
}

/// A conjunction of conditions. A selector without conditions matches nothing, so that an empty string can't
/// select the entire fleet by accident.
struct Selector {
    std::vector<SelectorRequirement> requirements;
};

inline bool operator==(const Selector& a, const Selector& b) { return a.requirements == b.requirements; }

/// @return whether the text is a valid label name or value: 1 to 128 characters of `A-Z a-z 0-9 . _ - / :`.
bool isLabelText(const std::string& text);

/// Parses the text form of a selector: a comma-separated list of `label=value`, `label!=value`,
/// `label in (a,b)`, `label notin (a,b)`, `label` and `!label`. Spaces and tabs between tokens are allowed.
/// An empty text yields a selector that matches nothing.
/// @throws Error of kind InvalidInput with the position of the error and an example.
///
/// Example: `parseSelector("service=intake,rack in (r1,r2),!quarantined")`
Selector parseSelector(const std::string& text);

/// @return the text form of the selector; parseSelector() restores the selector from it.
std::string toText(const Selector& selector);

/// @return whether the labels satisfy all conditions. As is usual for label selectors, NotIn holds for a
/// label that is absent.
bool matches(const Selector& selector, const LabelSet& labels);

} // namespace celeryline
