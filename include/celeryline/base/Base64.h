/// @file
/// Base64 without line breaks.
#pragma once

#include <string>

namespace celeryline {

/// @param bytes any bytes.
/// @return their Base64 form.
std::string toBase64(const std::string& bytes);

/// @param text Base64.
/// @return the bytes.
/// @throws Error of kind InvalidInput if the text is not Base64.
std::string fromBase64(const std::string& text);

} // namespace celeryline
