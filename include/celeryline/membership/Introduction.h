/// @file
/// What processes tell each other when they meet.
#pragma once

#include <string>
#include <vector>

namespace celeryline {

/// What a process tells about itself and about the others that it knows. An address is "IP:port" of the
/// process's RPC listener; it is also the name of a replica of the log.
struct Introduction {
    std::string address; ///< Empty for a process that keeps no replica.
    std::string storageId;
    bool hasLog = false; ///< Whether it holds any entry or snapshot.
    std::string formation; ///< Encoded first entry of the log while that is all it holds; otherwise empty.
    std::string leader; ///< Address of the leader; empty if unknown.
    std::vector<std::string> members; ///< Addresses of all replicas that it knows.
};

} // namespace celeryline
