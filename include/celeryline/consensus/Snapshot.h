/// @file
/// Snapshots of the replicated state.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/consensus/VoterConfiguration.h"

#include <cstdint>
#include <string>

namespace celeryline {

/// The replicated state after an entry; replaces all entries up to and including it.
struct Snapshot {
    std::uint64_t index = 0; ///< Last entry that the state includes; 0 if there is no snapshot.
    std::uint64_t term = 0; ///< Term of the last entry.
    Millis time; ///< Time of the last entry.
    VoterConfiguration configuration;
    std::string state; ///< Serialised state of the state machine.
};

/// @return the encoding of a snapshot with a checksum, as stored on disk and sent to other instances.
std::string encodeSnapshot(const Snapshot& snapshot);

/// @param bytes the output of encodeSnapshot().
/// @param source name of the source for error messages.
/// @return the snapshot.
/// @throws Error of kind Corrupt if the bytes are corrupt.
Snapshot decodeSnapshot(const std::string& bytes, const std::string& source);

} // namespace celeryline
