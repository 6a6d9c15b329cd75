/// @file
/// Base64 encoding and decoding.
#pragma once

#include <string>

namespace celeryline {

/// @param bytes the bytes to encode.
/// @return the bytes in Base64, without line breaks.
std::string toBase64(const std::string& bytes);

/// @param text Base64 text.
/// @return the decoded bytes.
/// @throws Error of kind InvalidInput if the text is not valid Base64.
std::string fromBase64(const std::string& text);

} // namespace celeryline
