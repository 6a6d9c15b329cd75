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

constexpr std::size_t maxBodyBytes = 262144;
const std::string basePath = "/v1/upstreams";

std::string readBody(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
{
    // Reads one byte past the limit to detect an oversized body without a Content-Length.
    std::string body(maxBodyBytes + 1, '\0');
    request.stream().read(&body[0], static_cast<std::streamsize>(body.size()));
    body.resize(static_cast<std::size_t>(request.stream().gcount()));
    if (body.size() > maxBodyBytes) {
        // On a reused connection, the unread rest of the body would be parsed as the next request.
        response.setKeepAlive(false);
        throw Error(ErrorKind::LimitExceeded,
            "the announcement exceeds " + std::to_string(maxBodyBytes) + " bytes",
            "report fewer tasks per announcement");
    }
    return body;
}

std::string toJsonText(const Object& object)
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
            "use the number that the upstream announced, or omit bootId");
    }
    return value;
}

} // namespace

AnnounceEndpoint::AnnounceEndpoint(const AnnounceOptions& options, UpstreamRegistry& registry,
    const Clock& clock, ReplyProvider replyProvider)
    : m_options(options)
    , m_registry(registry)
    , m_clock(clock)
    , m_replyProvider(std::move(replyProvider))
{
}

void AnnounceEndpoint::handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
{
    Poco::URI uri(request.getURI());
    std::string suffix = uri.getPath().substr(std::min(basePath.size(), uri.getPath().size()));
    std::string name = suffix.empty() ? "" : suffix.substr(1);
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
        throw Error(ErrorKind::InvalidInput, method + " is not supported on " + uri.getPath(),
            "use POST or GET on " + basePath + ", GET or DELETE on " + basePath + "/NAME");
    }
}

std::string AnnounceEndpoint::announce(const std::string& body)
{
    auto request = parseAnnouncement(body, m_options.dataCentre, m_options.defaultLease);
    m_registry.announce(request.upstream, m_clock.now());
    auto reply = m_replyProvider ? m_replyProvider(request.upstream, request.tasks) : AnnounceReply {};
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
    return toJsonText(object);
}

std::string AnnounceEndpoint::leave(const std::string& name, const std::string& bootId)
{
    m_registry.leave(name, parseBootId(bootId), m_clock.now());
    Object object;
    object.set("name", name);
    object.set("left", true);
    return toJsonText(object);
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
            "list live upstreams with GET " + basePath);
    }
    Array live;
    for (const auto& instance : snapshot->liveInstances) {
        live.add(instance);
    }
    Object object;
    object.set("liveInstances", live);
    std::string tail = toJsonText(object);
    return "{\"upstreams\":[" + text + "]," + tail.substr(1);
}

} // namespace celeryline
