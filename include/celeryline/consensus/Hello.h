/// @file
/// The exchange of storage identities that precedes the formation of the log.
#pragma once

#include <cstdint>
#include <string>

namespace celeryline {

/// An instance's description of its own storage.
struct Hello {
    std::string name;
    std::string storageId; ///< Empty on an instance without a data directory.
    bool hasLog = false; ///< Whether it holds any entry or snapshot.
    std::string formation; ///< Encoded first log entry if the sender distributes one; otherwise empty.
};

} // namespace celeryline
