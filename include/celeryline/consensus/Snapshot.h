/// @file
/// The state of the replicated log up to one entry.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/consensus/VoterConfiguration.h"

#include <cstdint>
#include <string>

namespace celeryline {

/// The state of the replicated log up to one entry; replaces all entries up to it.
struct Snapshot {
    std::uint64_t index = 0; ///< Last entry that the state contains; 0 if there is no snapshot.
    std::uint64_t term = 0; ///< Term of this entry.
    Millis time; ///< Time of this entry.
    VoterConfiguration configuration;
    std::string state; ///< What StateMachine::takeSnapshot() gave.
};

/// @return the bytes of a snapshot with a checksum, as they are stored and sent to other instances.
std::string encodeSnapshot(const Snapshot& snapshot);

/// @param bytes what encodeSnapshot() gave.
/// @param source name of the source for messages.
/// @return the snapshot.
/// @throws Error of kind Corrupt if the bytes are damaged.
Snapshot decodeSnapshot(const std::string& bytes, const std::string& source);

} // namespace celeryline
