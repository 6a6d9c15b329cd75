/// @file
/// Conversions between standard library types and Cap'n Proto types.
#pragma once

#include "celeryline/base/Error.h"

#include <capnp/blob.h>

#include <cstdint>
#include <string>

namespace celeryline::detail {

inline std::string text(capnp::Text::Reader from) { return { from.begin(), from.size() }; }

inline std::string bytes(capnp::Data::Reader from)
{
    return { reinterpret_cast<const char*>(from.begin()), from.size() };
}

/// @return a view for Cap'n Proto setters; valid as long as the string.
inline kj::StringPtr kjText(const std::string& from) { return { from.c_str(), from.size() }; }

/// @return a view for Cap'n Proto setters; valid as long as the string.
inline capnp::Data::Reader kjBytes(const std::string& from)
{
    return { reinterpret_cast<const kj::byte*>(from.data()), from.size() };
}

/// Converts a number to an enum value.
/// @throws Error of kind InvalidInput if the number is greater than the enum's last value.
template <typename Enum> Enum checkedEnum(std::uint8_t value, Enum last)
{
    if (value > static_cast<std::uint8_t>(last)) {
        throw Error(ErrorKind::InvalidInput, "a peer sent the unknown enum value " + std::to_string(value),
            "run the same version of celeryline on all instances");
    }
    return static_cast<Enum>(value);
}

} // namespace celeryline::detail
