/// @file
/// Selectors that match labels.
#pragma once

#include "celeryline/labels/LabelSet.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace celeryline {

/// How a requirement compares a label.
enum class SelectorOperator : std::uint8_t { In, NotIn, Exists, NotExists };

/// One condition of a selector.
struct SelectorRequirement {
    std::string label;
    SelectorOperator op = SelectorOperator::In;
    std::vector<std::string> values; ///< Sorted; empty for Exists and NotExists.
};

inline bool operator==(const SelectorRequirement& a, const SelectorRequirement& b)
{
    return std::tie(a.label, a.op, a.values) == std::tie(b.label, b.op, b.values);
}

/// Conditions that all must hold. A selector without conditions matches nothing, so that an empty text
/// never selects the whole fleet by accident.
struct Selector {
    std::vector<SelectorRequirement> requirements;
};

inline bool operator==(const Selector& a, const Selector& b) { return a.requirements == b.requirements; }

/// @param text a label's name or value.
/// @return whether it may be used as such: 1 to 128 characters out of `A-Z a-z 0-9 . _ - / :`.
bool isLabelText(const std::string& text);

/// Parses the text form: conditions joined by commas, each one of `label=value`, `label!=value`,
/// `label in (a,b)`, `label notin (a,b)`, `label`, `!label`. Blanks between the parts are allowed. An empty
/// text gives the selector that matches nothing.
/// @param text the text form.
/// @return the selector.
/// @throws Error of kind InvalidInput that shows the position and an example.
///
/// Example: `parseSelector("service=intake,rack in (r1,r2),!quarantined")`
Selector parseSelector(const std::string& text);

/// @param selector a selector.
/// @return its text form; parsing it gives the selector again.
std::string toText(const Selector& selector);

/// @param selector conditions.
/// @param labels labels of an object.
/// @return whether all conditions hold for the labels. As usual for label selectors, NotIn holds for a label
/// that is absent.
bool matches(const Selector& selector, const LabelSet& labels);

} // namespace celeryline
