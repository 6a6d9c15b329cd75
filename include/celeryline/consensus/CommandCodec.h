/// @file
/// Binary encoding of commands.
#pragma once

#include "celeryline/base/ByteCodec.h"
#include "celeryline/consensus/Command.h"

#include <string>

namespace celeryline {

/// @return the payload of a log entry of kind Command.
inline std::string encodeCommand(const Command& command)
{
    std::string bytes;
    bytes.reserve(command.id.size() + command.body.size() + 17);
    detail::appendInteger(bytes, static_cast<std::uint8_t>(command.kind));
    detail::appendString(bytes, command.id);
    detail::appendString(bytes, command.body);
    return bytes;
}

/// Decodes the output of encodeCommand().
/// @throws Error of kind Corrupt if the bytes are not a complete command.
inline Command decodeCommand(const std::string& bytes)
{
    detail::ByteReader reader(bytes, "command in the log");
    Command command;
    command.kind = static_cast<CommandKind>(reader.integer<std::uint8_t>());
    command.id = reader.text();
    command.body = reader.text();
    return command;
}

} // namespace celeryline
