/// @file
/// JSON with comments.
#pragma once

#include <string>

namespace celeryline {

/// Replaces comments outside of strings by blanks, so that positions in error messages stay right. Poco's
/// parser accepts only `/* */` comments.
/// @param json JSON text with `//` and `/* */` comments.
/// @return the text without them.
std::string withoutComments(std::string json);

} // namespace celeryline
