/// @file
/// HTTP response of a runner or of another data centre.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace celeryline {

/// Header fields in the order they were received.
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/// An HTTP response. The body is empty if it was streamed.
struct RunnerResponse {
    int status = 0;
    std::string reason;
    HeaderFields fields;
    std::string body;
};

/// @param fields header fields.
/// @param name a field name, case-insensitive.
/// @return the first value with that name, or nullptr.
const std::string* findField(const HeaderFields& fields, const std::string& name);

} // namespace celeryline
