/// @file
/// Small conversions between the standard library's and Cap'n Proto's types.
#pragma once

#include "celeryline/base/Error.h"

#include <capnp/blob.h>

#include <cstdint>
#include <string>

namespace celeryline::detail {

/// @return the text.
inline std::string text(capnp::Text::Reader from) { return { from.begin(), from.size() }; }

/// @return the bytes.
inline std::string bytes(capnp::Data::Reader from)
{
    return { reinterpret_cast<const char*>(from.begin()), from.size() };
}

/// @return the text for a setter; valid as long as the text.
inline kj::StringPtr kjText(const std::string& from) { return { from.c_str(), from.size() }; }

/// @return the bytes for a setter; valid as long as the text.
inline capnp::Data::Reader kjBytes(const std::string& from)
{
    return { reinterpret_cast<const kj::byte*>(from.data()), from.size() };
}

/// @return the enum value of a number.
/// @throws Error if the value is above the enum's last one.
template <typename Enum> Enum checkedEnum(std::uint8_t value, Enum last)
{
    if (value > static_cast<std::uint8_t>(last)) {
        throw Error(ErrorKind::InvalidInput, "a peer sent the unknown enum value " + std::to_string(value),
            "run the same version of celeryline on all instances");
    }
    return static_cast<Enum>(value);
}

} // namespace celeryline::detail
