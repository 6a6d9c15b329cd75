/// @file
/// Settings of a process, parsed from JSON with comments.
#pragma once

#include "celeryline/base/Millis.h"

#include <cstdint>
#include <string>
#include <vector>

namespace celeryline {

/// Another entry instance of the system, as opposed to an upstream.
struct PeerSettings {
    std::string name;
    std::string dataCentre;
    std::string http; ///< "IP:port" of its HTTP listener.
    std::string peer; ///< "IP:port" of its RPC listener.
};

/// Timing and size limits of the replicated log.
struct ConsensusSettings {
    Millis heartbeat;
    Millis electionTimeout; ///< Minimum; each timeout is a random value of one to two times this.
    std::int64_t snapshotEntries = 0; ///< A snapshot is taken after this many applied entries.
    std::int64_t maxBatchBytes = 0;
};

/// Limits that protect against oversized, slow or excessive requests.
struct LimitSettings {
    std::int64_t maxConnections = 0;
    std::int64_t maxHeaderBytes = 0;
    std::int64_t maxBodyBytes = 0;
    std::int64_t maxAnswerBytes = 0; ///< Larger answers are streamed.
    Millis receiveTimeout; ///< Time limit for receiving the whole header and body.
    Millis keepAliveTimeout;
};

/// How requests are routed to runners.
struct RoutingSettings {
    Millis defaultDeadline;
    Millis maxDeadline;
    Millis tryTimeout; ///< A repeatable request is retried on another runner if no byte of the response
                       ///< arrives in this time.
    Millis connectTimeout;
    Millis idleConnectionTimeout;
    std::int64_t retryBudgetPercent = 0;
    std::int64_t maxQueued = 0; ///< Maximum number of queued requests per service.
};

/// The ledger of the outcomes of non-repeatable requests, which ensures that each runs at most once.
struct LedgerSettings {
    Millis retention;
    std::int64_t maxEntries = 0;
    std::int64_t maxBytes = 0;
    std::int64_t maxAnswerBytes = 0; ///< Only the status of larger answers is stored.
};

/// Leases of upstreams and of entry instances.
struct LeaseSettings {
    Millis upstream; ///< Default for announcements that specify none.
    Millis peerHeartbeat;
    Millis peerTimeout; ///< An entry instance without a heartbeat for this time is considered lost.
};

/// Weights of the maintenance objective, and timing of maintenance.
struct MaintenanceSettings {
    double bufferCostWeight = 0;
    double rollOutTimeWeight = 0;
    double movesWeight = 0;
    Millis interval; ///< Interval of the maintenance controller.
    Millis drainTimeout;
    Millis rebootTimeout; ///< After this time, a missing instance is reported and no longer waited for.
    Millis permitLease;
};

/// Token file of each role. An empty path disables authentication of the role, which is only allowed on
/// loopback listeners.
struct SecuritySettings {
    std::string callerTokenFile;
    std::string upstreamTokenFile;
    std::string operatorTokenFile;
    std::string peerTokenFile;
};

/// Level, format and destination of the log.
struct LoggingSettings {
    std::string level;
    std::string layout; ///< "text" or "json".
    std::string file; ///< If empty, the log is written to standard error.
};

/// Destinations of spans.
struct TracingSettings {
    std::string file; ///< File with one OTLP JSON object per line; empty disables it.
    std::string collector; ///< "IP:port" of an OTLP/HTTP collector; empty disables it.
};

/// The settings of a process.
struct Settings {
    std::string name;
    std::string dataCentre;
    std::string dataDir; ///< Empty on instances without a disk.
    std::string httpListen; ///< "IP:port".
    std::string peerListen; ///< "IP:port".
    std::vector<PeerSettings> peers; ///< All other entry instances.
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

/// Parses and validates settings.
/// @param json JSON text, which may contain comments.
/// @param source file name, used in error messages.
/// @return the settings, with defaults for missing keys.
/// @throws Error of kind InvalidSettings with the path of the key, its unit and a remedy.
///
/// Example: `Settings s = parseSettings("{\"name\":\"a\",\"dataCentre\":\"dc1\"}", "a.json");`
Settings parseSettings(const std::string& json, const std::string& source);

/// Reads, parses and validates a settings file.
/// @param path path of the file.
/// @return the settings.
/// @throws Error of kind InvalidSettings if the file can't be read or a setting is invalid.
Settings loadSettings(const std::string& path);

/// @return the settings table in Markdown, with one row per key: path, unit, default, range and meaning.
std::string settingsTableAsMarkdown();

} // namespace celeryline
