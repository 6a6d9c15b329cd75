#include "celeryline/settings/SettingsTable.h"

namespace celeryline::detail {

namespace {

constexpr double dayMs = 24.0 * 60 * 60 * 1000;
constexpr double mebibyteBytes = 1024.0 * 1024;

using TextSetter = std::function<void(Settings&, const std::string&)>;
using MillisGetter = std::function<Millis&(Settings&)>;
using IntegerGetter = std::function<std::int64_t&(Settings&)>;
using NumberGetter = std::function<double&(Settings&)>;

std::string formatInteger(double value) { return std::to_string(static_cast<std::int64_t>(value)); }

SettingRow text(const std::string& path, const std::string& defaultText, std::vector<std::string> choices,
    const std::string& meaning, TextSetter set)
{
    return { path, SettingType::Text, "", defaultText, 0, 0, std::move(choices), meaning, std::move(set),
        {} };
}

SettingRow millis(const std::string& path, double defaultValue, double minimum, double maximum,
    const std::string& meaning, const MillisGetter& get)
{
    auto set = [get](Settings& s, double v) { get(s) = Millis { static_cast<std::int64_t>(v) }; };
    return { path, SettingType::Integer, "ms", formatInteger(defaultValue), minimum, maximum, {}, meaning, {},
        set };
}

SettingRow integer(const std::string& path, const std::string& unit, double defaultValue, double minimum,
    double maximum, const std::string& meaning, const IntegerGetter& get)
{
    auto set = [get](Settings& s, double v) { get(s) = static_cast<std::int64_t>(v); };
    return { path, SettingType::Integer, unit, formatInteger(defaultValue), minimum, maximum, {}, meaning, {},
        set };
}

SettingRow weight(const std::string& path, const std::string& meaning, const NumberGetter& get)
{
    auto set = [get](Settings& s, double v) { get(s) = v; };
    return { path, SettingType::Number, "", "1", 0, 1000, {}, meaning, {}, set };
}

void addProcessRows(std::vector<SettingRow>& rows)
{
    rows.push_back(text("name", "", {}, "Name of this instance; unique. Required.",
        [](Settings& s, const std::string& v) { s.name = v; }));
    rows.push_back(text("dataCentre", "", {}, "Data centre of this instance. Required.",
        [](Settings& s, const std::string& v) { s.dataCentre = v; }));
    rows.push_back(text("dataDir", "", {}, "Data folder of a voter; empty on an instance without a disk.",
        [](Settings& s, const std::string& v) { s.dataDir = v; }));
    rows.push_back(text("httpListen", "127.0.0.1:7400", {}, "IP:port for callers, upstreams and operators.",
        [](Settings& s, const std::string& v) { s.httpListen = v; }));
    rows.push_back(text("peerListen", "127.0.0.1:7401", {}, "IP:port for the other entry instances.",
        [](Settings& s, const std::string& v) { s.peerListen = v; }));
}

void addConsensusRows(std::vector<SettingRow>& rows)
{
    rows.push_back(millis("consensus.heartbeatMs", 300, 5, 10000, "Interval of the leader's heartbeats.",
        [](Settings& s) -> Millis& { return s.consensus.heartbeat; }));
    rows.push_back(millis("consensus.electionTimeoutMs", 900, 20, 60000,
        "Shortest silence of the leader before an election; each wait is drawn from one to two times this.",
        [](Settings& s) -> Millis& { return s.consensus.electionTimeout; }));
    rows.push_back(integer("consensus.snapshotEntries", "entries", 2000, 10, 10000000,
        "A snapshot is taken after so many applied entries.",
        [](Settings& s) -> std::int64_t& { return s.consensus.snapshotEntries; }));
    rows.push_back(integer("consensus.maxBatchBytes", "bytes", mebibyteBytes, 1024, 64 * mebibyteBytes,
        "Largest size of the entries in one message.",
        [](Settings& s) -> std::int64_t& { return s.consensus.maxBatchBytes; }));
}

void addLimitRows(std::vector<SettingRow>& rows)
{
    rows.push_back(integer("limits.maxConnections", "connections", 512, 8, 4096,
        "Open connections to the HTTP listener, each served by a thread.",
        [](Settings& s) -> std::int64_t& { return s.limits.maxConnections; }));
    rows.push_back(integer("limits.maxHeaderBytes", "bytes", 16384, 1024, mebibyteBytes,
        "Largest size of a request's header; more is answered with 431.",
        [](Settings& s) -> std::int64_t& { return s.limits.maxHeaderBytes; }));
    rows.push_back(integer("limits.maxBodyBytes", "bytes", 8 * mebibyteBytes, 1024, 256 * mebibyteBytes,
        "Largest size of a request's body; more is answered with 413.",
        [](Settings& s) -> std::int64_t& { return s.limits.maxBodyBytes; }));
    rows.push_back(integer("limits.maxAnswerBytes", "bytes", 8 * mebibyteBytes, 1024, 256 * mebibyteBytes,
        "Answers up to this size are held until they are whole; larger ones are streamed.",
        [](Settings& s) -> std::int64_t& { return s.limits.maxAnswerBytes; }));
    rows.push_back(millis("limits.receiveTimeoutMs", 10000, 50, 600000,
        "A request's header and body must arrive within this time.",
        [](Settings& s) -> Millis& { return s.limits.receiveTimeout; }));
    rows.push_back(millis("limits.keepAliveTimeoutMs", 15000, 50, 600000,
        "Idle time after which a caller's connection is closed.",
        [](Settings& s) -> Millis& { return s.limits.keepAliveTimeout; }));
}

void addRoutingRows(std::vector<SettingRow>& rows)
{
    rows.push_back(
        millis("routing.defaultDeadlineMs", 10000, 10, 600000, "Deadline of a request that names none.",
            [](Settings& s) -> Millis& { return s.routing.defaultDeadline; }));
    rows.push_back(millis("routing.maxDeadlineMs", 60000, 10, 600000, "Longest deadline a request may name.",
        [](Settings& s) -> Millis& { return s.routing.maxDeadline; }));
    rows.push_back(millis("routing.tryTimeoutMs", 2000, 10, 600000,
        "A repeatable request without any byte of its answer for so long is tried on another runner.",
        [](Settings& s) -> Millis& { return s.routing.tryTimeout; }));
    rows.push_back(millis("routing.connectTimeoutMs", 500, 10, 60000, "Longest wait for a new connection.",
        [](Settings& s) -> Millis& { return s.routing.connectTimeout; }));
    rows.push_back(millis("routing.idleConnectionMs", 5000, 10, 600000,
        "Idle connections to runners are closed after this time.",
        [](Settings& s) -> Millis& { return s.routing.idleConnectionTimeout; }));
    rows.push_back(integer("routing.retryBudgetPercent", "percent", 10, 0, 100,
        "Retries allowed per service, as a share of its first tries.",
        [](Settings& s) -> std::int64_t& { return s.routing.retryBudgetPercent; }));
    rows.push_back(integer("routing.maxQueued", "requests", 256, 1, 100000, "Waiting requests per service.",
        [](Settings& s) -> std::int64_t& { return s.routing.maxQueued; }));
}

void addLedgerRows(std::vector<SettingRow>& rows)
{
    rows.push_back(millis("ledger.retentionMs", dayMs, 1000, 30 * dayMs,
        "How long the outcome of a non-repeatable request is kept.",
        [](Settings& s) -> Millis& { return s.ledger.retention; }));
    rows.push_back(integer("ledger.maxEntries", "entries", 200000, 10, 10000000,
        "Largest number of kept outcomes; above it new non-repeatable requests are refused as not run.",
        [](Settings& s) -> std::int64_t& { return s.ledger.maxEntries; }));
    rows.push_back(integer("ledger.maxBytes", "bytes", 48 * mebibyteBytes, mebibyteBytes,
        4096 * mebibyteBytes, "Largest size of kept outcomes.",
        [](Settings& s) -> std::int64_t& { return s.ledger.maxBytes; }));
    rows.push_back(integer("ledger.maxAnswerBytes", "bytes", 65536, 0, mebibyteBytes,
        "Answers up to this size are kept for replay; of larger ones only the status is kept.",
        [](Settings& s) -> std::int64_t& { return s.ledger.maxAnswerBytes; }));
}

void addLeaseRows(std::vector<SettingRow>& rows)
{
    rows.push_back(
        millis("leases.upstreamMs", 3000, 100, 600000, "Lease of an upstream whose announcement names none.",
            [](Settings& s) -> Millis& { return s.leases.upstream; }));
    rows.push_back(
        millis("leases.peerHeartbeatMs", 250, 10, 60000, "Interval of heartbeats between entry instances.",
            [](Settings& s) -> Millis& { return s.leases.peerHeartbeat; }));
    rows.push_back(millis("leases.peerTimeoutMs", 2000, 50, 600000,
        "An entry instance that is silent for so long is taken as lost.",
        [](Settings& s) -> Millis& { return s.leases.peerTimeout; }));
}

void addMaintenanceRows(std::vector<SettingRow>& rows)
{
    rows.push_back(weight("maintenance.weights.bufferCost", "Weight of capacity held in reserve.",
        [](Settings& s) -> double& { return s.maintenance.bufferCostWeight; }));
    rows.push_back(weight("maintenance.weights.rollOutTime", "Weight of the time a roll-out takes.",
        [](Settings& s) -> double& { return s.maintenance.rollOutTimeWeight; }));
    rows.push_back(weight("maintenance.weights.moves", "Weight of instance moves.",
        [](Settings& s) -> double& { return s.maintenance.movesWeight; }));
    rows.push_back(millis("maintenance.intervalMs", 200, 10, 60000, "Interval of the maintenance controller.",
        [](Settings& s) -> Millis& { return s.maintenance.interval; }));
    rows.push_back(
        millis("maintenance.drainTimeoutMs", 60000, 100, dayMs, "A drain that takes longer is reported.",
            [](Settings& s) -> Millis& { return s.maintenance.drainTimeout; }));
    rows.push_back(millis("maintenance.rebootTimeoutMs", 120000, 100, dayMs,
        "An instance that isn't back by then is reported and no longer waited for.",
        [](Settings& s) -> Millis& { return s.maintenance.rebootTimeout; }));
    rows.push_back(millis("maintenance.permitLeaseMs", 30000, 100, dayMs,
        "A permit to stop an instance that isn't used within this time lapses.",
        [](Settings& s) -> Millis& { return s.maintenance.permitLease; }));
}

void addOutputRows(std::vector<SettingRow>& rows)
{
    rows.push_back(text("security.callerTokenFile", "", {}, "File with the token of callers.",
        [](Settings& s, const std::string& v) { s.security.callerTokenFile = v; }));
    rows.push_back(text("security.upstreamTokenFile", "", {}, "File with the token of upstreams.",
        [](Settings& s, const std::string& v) { s.security.upstreamTokenFile = v; }));
    rows.push_back(text("security.operatorTokenFile", "", {}, "File with the token of operators.",
        [](Settings& s, const std::string& v) { s.security.operatorTokenFile = v; }));
    rows.push_back(text("security.peerTokenFile", "", {}, "File with the token of entry instances.",
        [](Settings& s, const std::string& v) { s.security.peerTokenFile = v; }));
    rows.push_back(text("logging.level", "info", { "trace", "debug", "info", "warn", "error" },
        "Least severe level that is logged.",
        [](Settings& s, const std::string& v) { s.logging.level = v; }));
    rows.push_back(text("logging.layout", "text", { "text", "json" }, "Format of log lines.",
        [](Settings& s, const std::string& v) { s.logging.layout = v; }));
    rows.push_back(text("logging.file", "", {}, "Log file; empty logs to standard error.",
        [](Settings& s, const std::string& v) { s.logging.file = v; }));
    rows.push_back(text("tracing.file", "", {}, "Span file, one OTLP JSON object a line; empty writes none.",
        [](Settings& s, const std::string& v) { s.tracing.file = v; }));
    rows.push_back(text("tracing.collector", "", {}, "IP:port of an OTLP/HTTP collector; empty sends none.",
        [](Settings& s, const std::string& v) { s.tracing.collector = v; }));
}

} // namespace

const std::vector<SettingRow>& settingsTable()
{
    static const std::vector<SettingRow> table = [] {
        std::vector<SettingRow> rows;
        addProcessRows(rows);
        addConsensusRows(rows);
        addLimitRows(rows);
        addRoutingRows(rows);
        addLedgerRows(rows);
        addLeaseRows(rows);
        addMaintenanceRows(rows);
        addOutputRows(rows);
        return rows;
    }();
    return table;
}

} // namespace celeryline::detail
