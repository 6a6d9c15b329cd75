/// @file
/// The formation of a new replicated log.
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
/// @return its bytes for Hello::formation.
std::string encodeFormation(const LogEntry& entry);

/// @return the entry that encodeFormation() encoded.
/// @throws Error of kind Corrupt if the bytes are not a whole entry.
LogEntry decodeFormation(const std::string& bytes);

/// @param configuration the founding voters.
/// @return the first entry of a log of theirs, in a random term that tells it from other formations.
LogEntry firstEntry(const VoterConfiguration& configuration);

/// Asks all other voters for their storage ids. Called by the first voter of the settings while it is empty.
/// @param own what this instance tells about itself.
/// @param voters names of all voters.
/// @param transport calls to them; may be null if this instance is the only voter.
/// @param timeout for each call.
/// @return the first entry of the log; nothing unless every voter answered and is empty.
std::optional<LogEntry> foundLog(
    const Hello& own, const std::vector<std::string>& voters, PeerTransport* transport, Millis timeout);

/// Sends the first entry to the voters that it names. Any voter that holds it may do so, because the founder
/// may be lost before it has told all.
/// @param own what this instance tells about itself.
/// @param entry the first entry.
/// @param transport calls to the voters.
/// @param timeout for each call.
void distributeFormation(const Hello& own, const LogEntry& entry, PeerTransport& transport, Millis timeout);

} // namespace celeryline
