/// @file
/// The message that processes exchange to discover each other.
#pragma once

#include <string>
#include <vector>

namespace celeryline {

/// Information of a process about itself and its known peers. An address is the "IP:port" of a process's RPC
/// listener and also the name of its replica of the log.
struct Introduction {
    std::string address; ///< Empty for a process without a replica.
    std::string storageId;
    bool hasLog = false; ///< Whether its storage contains any log entry or snapshot.
    std::string formation; ///< Encoded first log entry if the log contains nothing else; otherwise empty.
    std::string leader; ///< Address of the leader; empty if unknown.
    std::string dataCentre; ///< Empty if unknown.
    bool isLeaving = false; ///< Whether the process is shutting down.
    std::vector<std::string> members; ///< Addresses of all known replicas.
};

} // namespace celeryline
