#include "celeryline/operators/OperatorApi.h"

#include "celeryline/base/Error.h"
#include "celeryline/fleet/FleetApply.h"
#include "celeryline/fleet/FleetDifference.h"
#include "celeryline/http/HttpErrors.h"
#include "celeryline/labels/JsonFields.h"
#include "celeryline/operators/Explain.h"
#include "celeryline/settings/Logging.h"

#include <Poco/NumberParser.h>
#include <Poco/URI.h>

#include <algorithm>

namespace celeryline {

using Poco::JSON::Object;

namespace {

std::uint64_t queryNumber(
    const std::map<std::string, std::string>& query, const std::string& key, std::uint64_t defaultValue)
{
    auto it = query.find(key);
    Poco::UInt64 value = 0;
    if (it == query.end()) {
        return defaultValue;
    }
    if (!Poco::NumberParser::tryParseUnsigned64(it->second, value)) {
        throw Error(ErrorKind::InvalidInput, "\"" + key + "\" is \"" + it->second + "\"",
            "use a non-negative integer");
    }
    return value;
}

std::string readBody(
    Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response, std::size_t limit)
{
    std::string body;
    std::string chunk(16384, '\0');
    while (body.size() <= limit && request.stream().good()) {
        request.stream().read(&chunk[0], static_cast<std::streamsize>(chunk.size()));
        body.append(chunk, 0, static_cast<std::size_t>(request.stream().gcount()));
    }
    if (body.size() > limit) {
        // On a reused connection, the unread rest of the body would be parsed as the next request.
        response.setKeepAlive(false);
        throw Error(ErrorKind::LimitExceeded, "the body exceeds " + std::to_string(limit) + " bytes",
            "send fewer objects per request");
    }
    return body;
}

void sendCommandError(Poco::Net::HTTPServerResponse& response, const std::string& commandId, ErrorKind kind,
    const std::string& message)
{
    Object::Ptr json = new Object;
    json->set("error", std::string(errorKindName(kind)));
    json->set("message", message);
    json->set("commandId", commandId);
    sendJson(response, toText(json), httpStatusOf(kind));
}

} // namespace

OperatorApi::OperatorApi(const OperatorApiOptions& options, Store& store, const FleetReader& fleet,
    const UpstreamView& upstreams, const Clock& clock, InForceSource inForce)
    : m_options(options)
    , m_store(store)
    , m_fleet(fleet)
    , m_upstreams(upstreams)
    , m_clock(clock)
    , m_inForceSource(std::move(inForce))
{
}

void OperatorApi::handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
{
    Poco::URI uri(request.getURI());
    Path path;
    uri.getPathSegments(path);
    if (!path.empty() && path.front() == "v1") {
        path.erase(path.begin());
    }
    Query query;
    for (const auto& [key, value] : uri.getQueryParameters()) {
        query[key] = value;
    }
    const auto& method = request.getMethod();
    if (method == "GET") {
        sendJson(response, read(path, query));
        return;
    }
    auto body = method == "POST" ? readBody(request, response, m_options.maxBodyBytes) : "";
    auto requestedChange = readOperatorChange(method, path, body);
    if (!requestedChange) {
        throw Error(ErrorKind::NotFound, "unsupported request: " + method + " " + uri.getPath(),
            "supported changes: POST /v1/apply, /v1/delete, /v1/instances/NAME/{label,drain,undrain,move}, "
            "/v1/waves, "
            "/v1/waves/NAME/{pause,resume}, /v1/jobs, and DELETE /v1/{jobs,instances}/NAME");
    }
    if (requestedChange->commandId.empty()) {
        requestedChange->commandId = query.count("commandId") != 0 ? query["commandId"] : newCommandId();
    }
    submitChange(*requestedChange, response);
}

void OperatorApi::submitChange(const OperatorChange& change, Poco::Net::HTTPServerResponse& response)
{
    auto command = encodeFleetCommand(change.commandId, change.command);
    auto before = m_fleet.fleet();
    auto [after, preview] = applyFleetCommand(*before, m_clock.wallTime(), command);
    auto result = preview;
    if (!change.dryRun) {
        try {
            result = m_store.submit(command, m_options.submitTimeout);
        } catch (const Error& e) {
            sendCommandError(response, change.commandId, e.kind(), e.what());
            return;
        }
        LOG4CXX_INFO(logger("operators"),
            nameOf(change.command.operation)
                << " " << change.command.name << " command " << change.commandId << ": "
                << (result.accepted ? "revision " + std::to_string(result.revision) : result.body));
    }
    if (!result.accepted) {
        sendCommandError(response, change.commandId, result.errorKind, result.body);
        return;
    }
    Object::Ptr json = new Object;
    json->set("commandId", change.commandId);
    json->set("dryRun", change.dryRun);
    json->set("revision", change.dryRun ? before->revision : result.revision);
    json->set("result", parseJsonObject(result.body, "the result"));
    json->set("difference", differenceOf(*before, after));
    sendJson(response, toText(json));
}

std::string OperatorApi::read(const Path& path, const Query& query) const
{
    if (path.size() == 1 && path[0] == "watch") {
        return watch(query);
    }
    if (path.size() == 1 && path[0] == "status") {
        return status();
    }
    if (path.size() == 1 && path[0] == "inforce") {
        auto revision = queryNumber(query, "revision", m_fleet.fleet()->revision);
        return toText(inForceView(m_inForceSource(), revision));
    }
    if (path.size() == 3 && path[0] == "explain") {
        return explain(path);
    }
    auto fleet = m_fleet.fleet();
    auto upstreams = m_upstreams.upstreams();
    if (path.size() == 1) {
        return toText(listView(*fleet, *upstreams, path[0]));
    }
    if (path.size() == 2) {
        return toText(objectView(*fleet, *upstreams, path[0], path[1]));
    }
    throw Error(ErrorKind::NotFound, "unknown path",
        "use /v1/{pools,services,instances,workers,jobs,waves,quotas,permits}[/NAME], /v1/status, "
        "/v1/watch, "
        "/v1/inforce or /v1/explain/{instance,job,wave}/NAME");
}

std::string OperatorApi::watch(const Query& query) const
{
    auto since = queryNumber(query, "since", 0);
    auto timeout = static_cast<std::int64_t>(std::min<std::uint64_t>(
        queryNumber(query, "timeoutMs", 30000), static_cast<std::uint64_t>(m_options.maxWatchTimeout.count)));
    m_fleet.waitForRevision(since + 1, Millis { timeout });
    return toText(changesView(*m_fleet.fleet(), since));
}

std::string OperatorApi::explain(const Path& path) const
{
    auto fleet = m_fleet.fleet();
    auto now = m_clock.wallTime();
    std::string text;
    if (path[1] == "instance") {
        text = explainInstance(*fleet, path[2], now);
    } else if (path[1] == "job") {
        text = explainJob(*fleet, path[2], now);
    } else if (path[1] == "wave") {
        text = explainWave(*fleet, path[2], now);
    } else {
        throw Error(ErrorKind::NotFound, "cannot explain objects of kind \"" + path[1] + "\"",
            "use instance, job or wave");
    }
    Object::Ptr json = new Object;
    json->set("kind", path[1]);
    json->set("name", path[2]);
    json->set("explanation", text);
    return toText(json);
}

std::string OperatorApi::status() const
{
    auto json = statusView(*m_fleet.fleet(), m_store.status(), *m_upstreams.upstreams());
    json->set("name", m_options.name);
    json->set("dataCentre", m_options.dataCentre);
    return toText(json);
}

} // namespace celeryline
