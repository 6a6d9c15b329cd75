#include "celeryline/tracing/SpanExporter.h"

#include "celeryline/base/Error.h"
#include "celeryline/settings/Logging.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>

#include <chrono>
#include <sstream>

namespace celeryline {

namespace {

constexpr std::size_t maxQueuedSpans = 10000;
constexpr std::size_t maxBatchSpans = 512;
constexpr int otlpStatusError = 2;

Poco::JSON::Object attribute(const std::string& key, const std::string& value)
{
    Poco::JSON::Object text;
    text.set("stringValue", value);
    Poco::JSON::Object object;
    object.set("key", key);
    object.set("value", text);
    return object;
}

Poco::JSON::Object spanAsJson(const Span& span)
{
    Poco::JSON::Object object;
    object.set("traceId", span.context.traceId);
    object.set("spanId", span.context.spanId);
    if (!span.parentSpanId.empty()) {
        object.set("parentSpanId", span.parentSpanId);
    }
    object.set("name", span.name);
    object.set("kind", static_cast<int>(span.kind));
    // OTLP JSON encodes 64-bit integers as strings.
    object.set("startTimeUnixNano", std::to_string(span.startNanos));
    object.set("endTimeUnixNano", std::to_string(span.endNanos));
    Poco::JSON::Array attributes;
    for (const auto& [key, value] : span.attributes) {
        attributes.add(attribute(key, value));
    }
    object.set("attributes", attributes);
    if (span.failed) {
        Poco::JSON::Object status;
        status.set("code", otlpStatusError);
        object.set("status", status);
    }
    return object;
}

} // namespace

std::int64_t spanTimeNow()
{
    auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::nanoseconds>(sinceEpoch).count();
}

std::string spansAsOtlpJson(const std::vector<Span>& spans, const std::string& instance)
{
    Poco::JSON::Array spanArray;
    for (const auto& span : spans) {
        spanArray.add(spanAsJson(span));
    }
    Poco::JSON::Object scope;
    scope.set("name", "celeryline");
    scope.set("version", CELERYLINE_VERSION);
    Poco::JSON::Object scopeSpans;
    scopeSpans.set("scope", scope);
    scopeSpans.set("spans", spanArray);
    Poco::JSON::Array resourceAttributes;
    resourceAttributes.add(attribute("service.name", "celeryline"));
    resourceAttributes.add(attribute("service.instance.id", instance));
    Poco::JSON::Object resource;
    resource.set("attributes", resourceAttributes);
    Poco::JSON::Object resourceSpans;
    resourceSpans.set("resource", resource);
    Poco::JSON::Array scopeArray;
    scopeArray.add(scopeSpans);
    resourceSpans.set("scopeSpans", scopeArray);
    Poco::JSON::Array resourceArray;
    resourceArray.add(resourceSpans);
    Poco::JSON::Object root;
    root.set("resourceSpans", resourceArray);
    std::ostringstream text;
    root.stringify(text);
    return text.str();
}

SpanExporter::SpanExporter(const TracingSettings& settings, const std::string& instance)
    : m_settings(settings)
    , m_instance(instance)
    , m_isEnabled(!settings.file.empty() || !settings.collector.empty())
{
    if (!settings.file.empty()) {
        m_file.open(settings.file, std::ios::app);
        if (!m_file) {
            throw Error(ErrorKind::InvalidSettings, "tracing.file \"" + settings.file + "\" can't be opened",
                "create its parent directory or correct the path");
        }
    }
    if (m_isEnabled) {
        m_thread = std::thread([this] { run(); });
    }
}

SpanExporter::~SpanExporter()
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_isStopping = true;
    }
    m_wakeUp.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void SpanExporter::record(Span span)
{
    if (!m_isEnabled || !span.context.sampled) {
        return;
    }
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_queue.size() >= maxQueuedSpans) {
        ++m_dropped;
        return;
    }
    m_queue.push_back(std::move(span));
    if (m_queue.size() == 1) {
        m_wakeUp.notify_one();
    }
}

std::uint64_t SpanExporter::dropped() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_dropped;
}

void SpanExporter::run()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_isStopping || !m_queue.empty()) {
        m_wakeUp.wait(lock, [this] { return m_isStopping || !m_queue.empty(); });
        std::vector<Span> batch;
        while (!m_queue.empty() && batch.size() < maxBatchSpans) {
            batch.push_back(std::move(m_queue.front()));
            m_queue.pop_front();
        }
        lock.unlock();
        if (!batch.empty()) {
            write(batch);
        }
        lock.lock();
    }
}

void SpanExporter::write(const std::vector<Span>& spans)
{
    std::string json = spansAsOtlpJson(spans, m_instance);
    if (m_file.is_open()) {
        m_file << json << '\n' << std::flush;
    }
    if (!m_settings.collector.empty()) {
        sendToCollector(json, spans.size());
    }
}

void SpanExporter::sendToCollector(const std::string& json, std::size_t count)
{
    try {
        Poco::Net::HTTPClientSession session { Poco::Net::SocketAddress(m_settings.collector) };
        session.setTimeout(Poco::Timespan(2, 0));
        Poco::Net::HTTPRequest request("POST", "/v1/traces", Poco::Net::HTTPRequest::HTTP_1_1);
        request.setContentType("application/json");
        request.setContentLength(static_cast<std::streamsize>(json.size()));
        session.sendRequest(request) << json;
        Poco::Net::HTTPResponse response;
        session.receiveResponse(response);
        if (response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK) {
            return;
        }
    } catch (const Poco::Exception& e) {
        LOG4CXX_DEBUG(logger("tracing"),
            "export to collector " << m_settings.collector << " failed: " << e.displayText());
    }
    std::lock_guard<std::mutex> lock(m_mutex);
    m_dropped += count;
}

} // namespace celeryline
