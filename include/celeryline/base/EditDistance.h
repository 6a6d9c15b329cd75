/// @file
/// Edit distance, for suggesting corrections of misspelt names.
#pragma once

#include <string>
#include <vector>

namespace celeryline {

/// @param a a string.
/// @param b another string.
/// @return the Levenshtein distance between them.
std::size_t editDistance(const std::string& a, const std::string& b);

/// @param name a misspelt name.
/// @param candidates the known names.
/// @return the candidate with the smallest edit distance; empty if there are no candidates.
///
/// Example: `closestMatch("nmae", { "name", "peers" })` gives "name".
std::string closestMatch(const std::string& name, const std::vector<std::string>& candidates);

} // namespace celeryline
