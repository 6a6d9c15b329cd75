/// @file
/// Support for comments in JSON.
#pragma once

#include <string>

namespace celeryline {

/// Replaces comments outside of strings with spaces, so that positions in parser errors remain correct.
/// Needed because Poco's parser accepts only `/* */` comments.
/// @param json JSON text with `//` and `/* */` comments.
/// @return the text without comments.
std::string stripJsonComments(std::string json);

} // namespace celeryline
