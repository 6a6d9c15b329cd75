/// @file
/// Bootstrapping of a new replicated log.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/consensus/Hello.h"
#include "celeryline/consensus/PeerTransport.h"
#include "celeryline/consensus/VoterConfiguration.h"
#include "celeryline/storage/LogEntry.h"

#include <optional>
#include <string>
#include <vector>

namespace celeryline {

/// @param entry the first entry of a log.
/// @return its encoding for Hello::formation.
std::string encodeFormation(const LogEntry& entry);

/// Decodes the output of encodeFormation().
/// @throws Error of kind Corrupt if the bytes are not a complete entry.
LogEntry decodeFormation(const std::string& bytes);

/// @param configuration the initial voters.
/// @return the first entry of a log. Its term is random, which distinguishes it from those of other
/// formations.
LogEntry makeFirstEntry(const VoterConfiguration& configuration);

/// Requests the storage ids of all other voters. Called by the first configured voter while its log is empty.
/// @param own description of this instance.
/// @param voters names of all voters.
/// @param transport may be null if this instance is the only voter.
/// @param timeout timeout of each call.
/// @return the first entry of the log; nothing unless every voter responded and has an empty log.
std::optional<LogEntry> collectFormation(
    const Hello& own, const std::vector<std::string>& voters, PeerTransport* transport, Millis timeout);

/// Sends the first entry to the voters in its configuration. Any voter that holds the entry may do this,
/// because the founder may fail before it has reached all of them.
/// @param own description of this instance.
/// @param entry the first entry.
/// @param timeout timeout of each call.
void distributeFormation(const Hello& own, const LogEntry& entry, PeerTransport& transport, Millis timeout);

} // namespace celeryline
