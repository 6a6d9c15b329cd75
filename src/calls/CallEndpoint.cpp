#include "celeryline/calls/CallEndpoint.h"

#include "celeryline/calls/CallRefused.h"
#include "celeryline/http/RoleGuard.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/String.h>

#include <algorithm>
#include <array>

namespace celeryline {

namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerRequestImpl;
using Poco::Net::HTTPServerResponse;

bool isReservedField(const std::string& name)
{
    static const std::array<const char*, 9> reserved { "Connection", "Keep-Alive", "Transfer-Encoding",
        "Content-Length", "Celeryline-Outcome", "Celeryline-Instance", "Celeryline-Request", "Retry-After",
        "Upgrade" };
    return std::any_of(reserved.begin(), reserved.end(),
        [&](const char* other) { return Poco::icompare(name, other) == 0; });
}

void setHeader(const CallResponse& callResponse, HTTPServerResponse& response)
{
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(callResponse.status));
    response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
    for (const auto& field : callResponse.fields) {
        const bool isRunnerRetryAfter
            = callResponse.outcome == Outcome::Done && Poco::icompare(field.first, "Retry-After") == 0;
        if (isRunnerRetryAfter || !isReservedField(field.first)) {
            response.add(field.first, field.second);
        }
    }
    response.set("Celeryline-Outcome", outcomeName(callResponse.outcome));
    if (!callResponse.instance.empty()) {
        response.set("Celeryline-Instance", callResponse.instance);
    }
    if (callResponse.outcome != Outcome::Done) {
        response.set("Retry-After", std::to_string(callResponse.retryAfterSeconds));
    }
}

void send(const CallResponse& callResponse, bool isHead, HTTPServerResponse& response)
{
    setHeader(callResponse, response);
    if (isHead || callResponse.status == 204 || callResponse.status == 304) {
        if (const auto* length = findField(callResponse.fields, "Content-Length")) {
            response.set("Content-Length", *length);
        }
        response.send();
        return;
    }
    response.sendBuffer(callResponse.body.data(), callResponse.body.size());
}

/// Streams a large response to the caller.
class StreamingSink final : public CallSink {
public:
    explicit StreamingSink(HTTPServerResponse& response)
        : m_response(response)
    {
    }

    void begin(const CallResponse& head, std::int64_t length) override
    {
        setHeader(head, m_response);
        if (length >= 0) {
            m_response.setContentLength64(length);
        } else {
            m_response.setChunkedTransferEncoding(true);
        }
        m_stream = &m_response.send();
    }

    void write(const char* data, std::size_t size) override
    {
        if (!m_stream->write(data, static_cast<std::streamsize>(size))) {
            throw Poco::IOException("the caller closed the connection");
        }
    }

private:
    HTTPServerResponse& m_response;
    std::ostream* m_stream = nullptr;
};

} // namespace

CallEndpoint::CallEndpoint(
    const Settings& settings, CallHandler& handler, const Clock& clock, Metrics& metrics)
    : m_reader(settings.limits, settings.routing, readToken(settings.security.peerTokenFile), clock)
    , m_handler(handler)
    , m_refused(metrics.counter("celeryline_requests_refused_total",
          "Requests refused before their service was looked up: malformed, too large or too slow."))
{
}

void CallEndpoint::handle(HTTPServerRequest& request, HTTPServerResponse& response)
{
    const bool isHead = request.getMethod() == HTTPServerRequest::HTTP_HEAD;
    auto& connection = dynamic_cast<HTTPServerRequestImpl&>(request);
    CallRequest call;
    try {
        call = m_reader.read(request);
    } catch (const CallRefused& e) {
        m_refused.Increment();
        response.setKeepAlive(false);
        send(refusal(e.status(), Outcome::NotRun, e.what()), isHead, response);
        // Otherwise the server would wait for the unread body, which may never be sent.
        request.stream().setstate(std::ios::eofbit);
        return;
    }
    StreamingSink stream(response);
    CallResponse callResponse;
    try {
        callResponse = m_handler.run(call, stream);
    } catch (...) {
        if (response.sent()) {
            connection.socket().shutdown();
        }
        throw;
    }
    if (!callResponse.wasStreamed) {
        send(callResponse, isHead, response);
    } else if (callResponse.outcome != Outcome::Done) {
        // The response was truncated; closing the connection keeps the caller from treating it as complete.
        response.setKeepAlive(false);
        connection.socket().shutdown();
    }
}

} // namespace celeryline
