#include "celeryline/calls/CallReader.h"

#include "celeryline/calls/BodyReader.h"
#include "celeryline/calls/CallRefused.h"
#include "celeryline/http/RoleGuard.h"

#include <Poco/Exception.h>
#include <Poco/String.h>
#include <Poco/URI.h>

#include <algorithm>
#include <array>
#include <optional>
#include <vector>

namespace celeryline {

namespace {

constexpr std::size_t maxNameBytes = 128;

bool isVisibleAscii(const std::string& text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

std::int64_t parseNumber(
    const std::string& text, const std::string& field, std::int64_t low, std::int64_t high)
{
    const bool isNumber = !text.empty() && text.size() <= 18
        && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
    const std::int64_t value = isNumber ? std::stoll(text) : -1;
    if (value < low || value > high) {
        throw CallRefused(400,
            field + " must be a whole number from " + std::to_string(low) + " to " + std::to_string(high)
                + ", not \"" + text.substr(0, 64) + "\"");
    }
    return value;
}

/// @return the value of a field that may be given at most once; nullopt if it is absent.
std::optional<std::string> singleValue(const Poco::Net::HTTPServerRequest& request, const std::string& field)
{
    auto i = request.find(field);
    if (i == request.end()) {
        return std::nullopt;
    }
    auto value = i->second;
    if (++i != request.end() && Poco::icompare(i->first, field) == 0) {
        throw CallRefused(400, field + " is given more than once; send it once");
    }
    return value;
}

std::string readName(const Poco::Net::HTTPServerRequest& request, const std::string& field)
{
    auto value = singleValue(request, field).value_or("");
    if (value.size() > maxNameBytes || !isVisibleAscii(value)) {
        throw CallRefused(400, field + " must be 1 to 128 visible ASCII characters");
    }
    return value;
}

void parsePath(const std::string& uri, CallRequest& call)
{
    const std::string prefix = "/call/";
    const auto pathEnd = std::min(uri.find('?'), uri.size());
    const auto nameEnd = std::min(uri.find('/', prefix.size()), pathEnd);
    if (uri.compare(0, prefix.size(), prefix) != 0 || nameEnd <= prefix.size()) {
        throw CallRefused(400, "the path must be /call/SERVICE/PATH");
    }
    try {
        Poco::URI::decode(uri.substr(prefix.size(), nameEnd - prefix.size()), call.service);
    } catch (const Poco::Exception&) {
        throw CallRefused(400, "the service's name in the path is not percent-encoded correctly");
    }
    call.target = uri.substr(nameEnd);
    if (call.target.empty() || call.target[0] != '/') {
        call.target.insert(0, 1, '/');
    }
}

/// @return whether a field is forwarded: hop-by-hop fields and those that this instance sets are not.
bool isForwarded(const std::string& name, const std::vector<std::string>& connectionFields)
{
    static const std::array<const char*, 15> excluded { "Connection", "Keep-Alive", "Proxy-Connection",
        "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Host", "Content-Length",
        "Expect", "Celeryline-Hops", "Celeryline-Deadline-Ms", "Celeryline-Request",
        "Celeryline-Peer-Token" };
    const auto isName = [&](const std::string& other) { return Poco::icompare(name, other) == 0; };
    return std::none_of(excluded.begin(), excluded.end(), isName)
        && std::none_of(connectionFields.begin(), connectionFields.end(), isName);
}

std::vector<std::string> connectionFieldsOf(const Poco::Net::HTTPServerRequest& request)
{
    std::vector<std::string> names;
    if (request.has("Connection")) {
        request.splitElements(request.get("Connection"), names);
    }
    return names;
}

} // namespace

CallReader::CallReader(
    const LimitSettings& limits, const RoutingSettings& routing, std::string peerToken, const Clock& clock)
    : m_limits(limits)
    , m_routing(routing)
    , m_peerToken(std::move(peerToken))
    , m_clock(clock)
{
}

CallRequest CallReader::read(Poco::Net::HTTPServerRequest& request) const
{
    CallRequest call;
    readHeader(request, call);
    const auto receiveBy = m_clock.now() + m_limits.receiveTimeout;
    call.body = readBody(request, std::min(receiveBy, call.deadline));
    // The body was read without the stream, which the server would otherwise search for unread bytes.
    request.stream().setstate(std::ios::eofbit);
    return call;
}

void CallReader::readHeader(Poco::Net::HTTPServerRequest& request, CallRequest& call) const
{
    parsePath(request.getURI(), call);
    call.method = request.getMethod();
    Millis allowed = m_routing.defaultDeadline;
    if (const auto text = singleValue(request, "Celeryline-Deadline-Ms")) {
        allowed.count = parseNumber(*text, "Celeryline-Deadline-Ms", 1, m_routing.maxDeadline.count);
    }
    call.deadline = m_clock.now() + allowed;
    if (request.has("Idempotency-Key")) {
        call.key = readName(request, "Idempotency-Key");
        if (call.key.empty()) {
            throw CallRefused(400, "Idempotency-Key must be 1 to 128 visible ASCII characters");
        }
    }
    call.organisation = readName(request, "Celeryline-Organisation");
    call.caller = readName(request, "Celeryline-Caller");
    if (call.caller.empty()) {
        call.caller = request.clientAddress().host().toString();
    }
    if (const auto text = singleValue(request, "Celeryline-Hops")) {
        call.hops = static_cast<int>(parseNumber(*text, "Celeryline-Hops", 0, 1));
        // Forwarded requests are not claimed again, so only entry instances may mark a request as forwarded.
        if (call.hops > 0 && !m_peerToken.empty()
            && !tokensAreEqual(m_peerToken, singleValue(request, "Celeryline-Peer-Token").value_or(""))) {
            throw CallRefused(403, "Celeryline-Hops is set by entry instances only; leave it out");
        }
    }
    const auto repeatable = singleValue(request, "Celeryline-Repeatable").value_or("false");
    if (repeatable != "true" && repeatable != "false") {
        throw CallRefused(400, "Celeryline-Repeatable must be true or false");
    }
    call.isMarkedRepeatable = repeatable == "true";
    if (call.isMarkedRepeatable && !call.key.empty()) {
        throw CallRefused(400, "Celeryline-Repeatable and Idempotency-Key exclude each other; send one");
    }
    const auto connectionFields = connectionFieldsOf(request);
    for (const auto& field : request) {
        if (isForwarded(field.first, connectionFields)) {
            call.fields.emplace_back(field.first, field.second);
        }
    }
}

std::string CallReader::readBody(Poco::Net::HTTPServerRequest& request, Millis until) const
{
    const auto lengthText = singleValue(request, "Content-Length");
    const auto coding = singleValue(request, "Transfer-Encoding");
    if (coding && (lengthText || Poco::icompare(*coding, "chunked") != 0)) {
        throw CallRefused(400, "the body must have either Content-Length or chunked coding");
    }
    if (!coding && !lengthText) {
        return "";
    }
    const auto limit = static_cast<std::size_t>(m_limits.maxBodyBytes);
    std::size_t length = 0;
    if (lengthText) {
        constexpr std::int64_t maxLength = 1000000000000000;
        length = static_cast<std::size_t>(parseNumber(*lengthText, "Content-Length", 0, maxLength));
    }
    if (length > limit) {
        throw CallRefused(413, bodyTooLarge(limit));
    }
    if (lengthText && length == 0) {
        return "";
    }
    BodyReader reader(dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request), limit, until, m_clock);
    return coding ? reader.readChunked() : reader.readFixed(length);
}

} // namespace celeryline
