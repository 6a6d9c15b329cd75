#include "celeryline/operators/AnnounceEndpoint.h"

#include "celeryline/base/Error.h"
#include "celeryline/http/HttpErrors.h"
#include "celeryline/registry/AnnouncementJson.h"

#include <Poco/JSON/Object.h>
#include <Poco/NumberParser.h>
#include <Poco/URI.h>

#include <sstream>

namespace celeryline {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr std::size_t maxBody = 262144;
const std::string path = "/v1/upstreams";

std::string readBody(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
{
    // One byte more than the limit is read, so that a body of unknown length is recognised as too long.
    std::string body(maxBody + 1, '\0');
    request.stream().read(&body[0], static_cast<std::streamsize>(body.size()));
    body.resize(static_cast<std::size_t>(request.stream().gcount()));
    if (body.size() > maxBody) {
        // The rest of the body would be taken for the next request on this connection.
        response.setKeepAlive(false);
        throw Error(ErrorKind::LimitExceeded,
            "the announcement is longer than " + std::to_string(maxBody) + " bytes",
            "report fewer tasks at once");
    }
    return body;
}

std::string textOf(const Object& object)
{
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

std::uint64_t parseBootId(const std::string& text)
{
    Poco::UInt64 value = 0;
    if (!text.empty() && (!Poco::NumberParser::tryParseUnsigned64(text, value) || value == 0)) {
        throw Error(ErrorKind::InvalidInput, "bootId \"" + text + "\" is not a positive integer",
            "give the number that the upstream announced, or leave bootId out");
    }
    return value;
}

} // namespace

AnnounceEndpoint::AnnounceEndpoint(
    const AnnounceOptions& options, UpstreamRegistry& registry, const Clock& clock, Decider decider)
    : m_options(options)
    , m_registry(registry)
    , m_clock(clock)
    , m_decider(std::move(decider))
{
}

void AnnounceEndpoint::handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
{
    Poco::URI uri(request.getURI());
    std::string rest = uri.getPath().substr(std::min(path.size(), uri.getPath().size()));
    std::string name = rest.empty() ? "" : rest.substr(1);
    const auto& method = request.getMethod();
    if (method == "POST" && name.empty()) {
        sendJson(response, announce(readBody(request, response)));
    } else if (method == "DELETE" && !name.empty()) {
        std::string bootId;
        for (const auto& [key, value] : uri.getQueryParameters()) {
            bootId = key == "bootId" ? value : bootId;
        }
        sendJson(response, leave(name, bootId));
    } else if (method == "GET") {
        sendJson(response, list(name));
    } else {
        throw Error(ErrorKind::InvalidInput, method + " is not possible on " + uri.getPath(),
            "use POST or GET on " + path + ", GET or DELETE on " + path + "/NAME");
    }
}

std::string AnnounceEndpoint::announce(const std::string& body)
{
    auto request = parseAnnouncement(body, m_options.dataCentre, m_options.defaultLease);
    m_registry.announce(request.upstream, m_clock.now());
    auto reply = m_decider ? m_decider(request.upstream, request.tasks) : AnnounceReply {};
    Object object;
    object.set("managedBy", m_options.name);
    object.set("leaseMs", request.upstream.lease.count);
    object.set("instruction", reply.instruction);
    object.set("permit", reply.permit);
    object.set("revision", reply.revision);
    Array tasks;
    for (const auto& task : reply.tasks) {
        Object item;
        item.set("id", task.id);
        item.set("action", task.action);
        item.set("fence", task.fence);
        tasks.add(item);
    }
    object.set("tasks", tasks);
    return textOf(object);
}

std::string AnnounceEndpoint::leave(const std::string& name, const std::string& bootId)
{
    m_registry.leave(name, parseBootId(bootId), m_clock.now());
    Object object;
    object.set("name", name);
    object.set("left", true);
    return textOf(object);
}

std::string AnnounceEndpoint::list(const std::string& name) const
{
    auto snapshot = m_registry.upstreams();
    std::string text;
    for (const auto& upstream : snapshot->upstreams) {
        if (!name.empty() && upstream.name != name) {
            continue;
        }
        if (!name.empty()) {
            return toJson({ upstream, {} });
        }
        text += (text.empty() ? "" : ",") + toJson({ upstream, {} });
    }
    if (!name.empty()) {
        throw Error(ErrorKind::NotFound, "upstream \"" + name + "\" is not live in this data centre",
            "list the live ones with GET " + path);
    }
    Array live;
    for (const auto& instance : snapshot->liveInstances) {
        live.add(instance);
    }
    Object object;
    object.set("liveInstances", live);
    std::string tail = textOf(object);
    return "{\"upstreams\":[" + text + "]," + tail.substr(1);
}

} // namespace celeryline
