/// @file
/// The settings of one process, read from JSON with comments.
#pragma once

#include "celeryline/base/Millis.h"

#include <cstdint>
#include <string>
#include <vector>

namespace celeryline {

/// Another entry instance of the system (not an upstream).
struct PeerSettings {
    std::string name;
    std::string dataCentre;
    std::string http; ///< "IP:port" of its HTTP listener.
    std::string peer; ///< "IP:port" of its RPC listener.
};

/// Timing and size of the replicated log.
struct ConsensusSettings {
    Millis heartbeat;
    Millis electionTimeout; ///< Minimum; each timeout is drawn from one to two times this.
    std::int64_t snapshotEntries = 0; ///< A snapshot is taken after this many applied entries.
    std::int64_t maxBatchBytes = 0;
};

/// Limits against overlong, slow or too many requests.
struct LimitSettings {
    std::int64_t maxConnections = 0;
    std::int64_t maxHeaderBytes = 0;
    std::int64_t maxBodyBytes = 0;
    std::int64_t maxAnswerBytes = 0; ///< Larger answers are streamed.
    Millis receiveTimeout; ///< Whole header and body must arrive in this time.
    Millis keepAliveTimeout;
};

/// How requests are routed to runners.
struct RoutingSettings {
    Millis defaultDeadline;
    Millis maxDeadline;
    Millis
        tryTimeout; ///< Without a byte of the answer in this time, a repeatable request is tried elsewhere.
    Millis connectTimeout;
    Millis idleConnectionLife;
    std::int64_t retryBudgetPercent = 0;
    std::int64_t maxQueued = 0; ///< Waiting requests per service.
};

/// The once-only ledger.
struct LedgerSettings {
    Millis retention;
    std::int64_t maxEntries = 0;
    std::int64_t maxBytes = 0;
    std::int64_t maxAnswerBytes = 0; ///< Larger answers are kept as their status only.
};

/// Leases of upstreams and of entry instances.
struct LeaseSettings {
    Millis upstream; ///< Used when an announcement names none.
    Millis peerHeartbeat;
    Millis peerTimeout; ///< An entry instance that is silent for so long is taken as lost.
};

/// Weights of the objective and timing of maintenance.
struct MaintenanceSettings {
    double bufferCostWeight = 0;
    double rollOutTimeWeight = 0;
    double movesWeight = 0;
    Millis interval; ///< Between two looks at the waves.
    Millis drainTimeout;
    Millis rebootTimeout; ///< An instance that isn't back after it is reported and no longer waited for.
    Millis permitLease;
};

/// Files that hold the token of each role; empty leaves the role open, which only a loopback listener may do.
struct SecuritySettings {
    std::string callerTokenFile;
    std::string upstreamTokenFile;
    std::string operatorTokenFile;
    std::string peerTokenFile;
};

/// Where and how logs are written.
struct LoggingSettings {
    std::string level;
    std::string layout; ///< "text" or "json".
    std::string file; ///< Empty writes to standard error.
};

/// Where spans go.
struct TracingSettings {
    std::string file; ///< One OTLP JSON object a line; empty writes none.
    std::string collector; ///< "IP:port" of an OTLP/HTTP collector; empty sends none.
};

/// The settings of one process.
struct Settings {
    std::string name;
    std::string dataCentre;
    std::string dataDir; ///< Empty on instances without a disk.
    std::string httpListen; ///< "IP:port".
    std::string peerListen; ///< "IP:port".
    std::vector<PeerSettings> peers; ///< Every entry instance but this one.
    std::vector<std::string> voters;
    ConsensusSettings consensus;
    LimitSettings limits;
    RoutingSettings routing;
    LedgerSettings ledger;
    LeaseSettings leases;
    MaintenanceSettings maintenance;
    SecuritySettings security;
    LoggingSettings logging;
    TracingSettings tracing;
};

/// Reads and checks settings.
/// @param json JSON text; comments are allowed.
/// @param source name of the file, for messages.
/// @return the settings, with defaults for what isn't given.
/// @throws Error of kind InvalidSettings that names the key's path, its unit and the remedy.
///
/// Example: `Settings s = parseSettings("{\"name\":\"a\",\"dataCentre\":\"dc1\"}", "a.json");`
Settings parseSettings(const std::string& json, const std::string& source);

/// Reads and checks a settings file.
/// @param path the file.
/// @return the settings.
/// @throws Error of kind InvalidSettings if the file can't be read or a setting is wrong.
Settings loadSettings(const std::string& path);

/// @return the settings table as Markdown, one row a key: path, unit, default, range, meaning.
std::string settingsTableAsMarkdown();

} // namespace celeryline
