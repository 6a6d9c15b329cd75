/// @file
/// File names that carry a log index and sort by it.
#pragma once

#include <cstdint>
#include <string>

namespace celeryline::detail {

/// @return a file name of the prefix and a number of 20 digits, so that names sort like numbers.
inline std::string numberedName(const std::string& prefix, std::uint64_t number)
{
    auto digits = std::to_string(number);
    return prefix + std::string(20 - digits.size(), '0') + digits;
}

/// @return whether a file name was made by numberedName() with this prefix.
inline bool isNumberedName(const std::string& prefix, const std::string& name)
{
    return name.size() == prefix.size() + 20 && name.rfind(prefix, 0) == 0
        && name.find_first_not_of("0123456789", prefix.size()) == std::string::npos;
}

/// @return the number in a file name for which isNumberedName() holds.
inline std::uint64_t numberOfName(const std::string& prefix, const std::string& name)
{
    return std::stoull(name.substr(prefix.size()));
}

} // namespace celeryline::detail
