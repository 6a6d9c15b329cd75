/// @file
/// File names that contain a log index and sort in index order.
#pragma once

#include <cstdint>
#include <string>

namespace celeryline::detail {

/// @return the prefix followed by the number, zero-padded to 20 digits so that names sort in numeric order.
inline std::string numberedName(const std::string& prefix, std::uint64_t number)
{
    auto digits = std::to_string(number);
    return prefix + std::string(20 - digits.size(), '0') + digits;
}

/// @return whether a file name has the format of numberedName() with this prefix.
inline bool isNumberedName(const std::string& prefix, const std::string& name)
{
    return name.size() == prefix.size() + 20 && name.rfind(prefix, 0) == 0
        && name.find_first_not_of("0123456789", prefix.size()) == std::string::npos;
}

/// @return the number in a file name, for which isNumberedName() must hold.
inline std::uint64_t parseNumber(const std::string& prefix, const std::string& name)
{
    return std::stoull(name.substr(prefix.size()));
}

} // namespace celeryline::detail
