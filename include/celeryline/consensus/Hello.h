/// @file
/// The exchange of storage identities that precedes the formation of the log.
#pragma once

#include <cstdint>
#include <string>

namespace celeryline {

/// What an instance tells about its own storage.
struct Hello {
    std::string name;
    std::string storageId; ///< Empty on an instance without a data folder.
    bool hasLog = false; ///< Whether it holds any entry or snapshot.
    std::string formation; ///< Encoded first configuration, if the sender founds the log; otherwise empty.
};

} // namespace celeryline
