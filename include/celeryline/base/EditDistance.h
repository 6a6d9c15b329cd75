/// @file
/// Suggestions for misspelt names.
#pragma once

#include <string>
#include <vector>

namespace celeryline {

/// @param a a text.
/// @param b another text.
/// @return the number of inserted, removed or replaced characters that turn one into the other.
std::size_t editDistance(const std::string& a, const std::string& b);

/// @param name a misspelt name.
/// @param candidates the known names.
/// @return the candidate with the smallest edit distance; empty if there is none.
///
/// Example: `nearestOf("nmae", { "name", "peers" })` gives "name".
std::string nearestOf(const std::string& name, const std::vector<std::string>& candidates);

} // namespace celeryline
