#include "celeryline/settings/EventLog.h"

#include "celeryline/base/Clock.h"
#include "celeryline/settings/Logging.h"

#include <Poco/JSONString.h>
#include <fcntl.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/patternlayout.h>
#include <unistd.h>

#include <algorithm>

namespace celeryline {
namespace {

// Limits the CPU time spent on logging: writing a line takes about 10 µs.
constexpr std::uint32_t requestLinesPerSecond = 150;
constexpr std::uint32_t taskLinesPerSecond = 60;
constexpr std::uint32_t burstSeconds = 3;

/// @return the rate limiter of a category. Not thread-safe: all events are written by the event loop thread.
EventRateLimiter& rateLimiterFor(EventKind kind)
{
    static EventRateLimiter requests(requestLinesPerSecond, burstSeconds * requestLinesPerSecond);
    static EventRateLimiter tasks(taskLinesPerSecond, burstSeconds * taskLinesPerSecond);
    return kind == EventKind::Request ? requests : tasks;
}

std::string& instanceName()
{
    static std::string instance;
    return instance;
}

} // namespace

bool EventRateLimiter::tryAcquire(Millis now)
{
    constexpr double millisPerSecond = 1000;
    auto elapsed = static_cast<double>((now - m_lastRefill).count);
    m_lastRefill = now;
    m_tokens = std::min(m_burst, m_tokens + std::max(0.0, elapsed) * m_linesPerSecond / millisPerSecond);
    if (m_tokens < 1) {
        ++m_dropped;
        return false;
    }
    m_tokens -= 1;
    return true;
}

std::uint64_t EventRateLimiter::takeDroppedCount()
{
    auto dropped = m_dropped;
    m_dropped = 0;
    return dropped;
}

Event::Event(const char* name)
    : m_text("{\"event\":\"" + std::string(name) + "\"")
{
    m_text += ",\"instance\":" + Poco::toJSON(instanceName());
    with("timeMs", SystemClock().wallTime());
}

Event& Event::with(const char* field, const std::string& value)
{
    m_text += ",\"" + std::string(field) + "\":" + Poco::toJSON(value);
    return *this;
}

Event& Event::with(const char* field, std::int64_t value)
{
    m_text += ",\"" + std::string(field) + "\":" + std::to_string(value);
    return *this;
}

Event& Event::with(const char* field, bool value)
{
    m_text += ",\"" + std::string(field) + "\":" + (value ? "true" : "false");
    return *this;
}

void Event::write(EventKind kind)
{
    auto& rateLimiter = rateLimiterFor(kind);
    if (!rateLimiter.tryAcquire(SystemClock().now()))
        return;
    if (auto dropped = rateLimiter.takeDroppedCount())
        with("droppedBefore", dropped);
    emit();
}

void Event::writeAlways() { emit(); }

void Event::emit()
{
    static const auto events = logger("event");
    LOG4CXX_INFO(events, line());
}

void setUpEventLog(const std::string& instance)
{
    instanceName() = instance;
    auto flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    auto standardOutput = log4cxx::ConsoleAppender::getSystemOut();
    auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(
        std::make_shared<log4cxx::ConsoleAppender>(std::make_shared<log4cxx::JSONLayout>(), standardOutput));
    root->setLevel(log4cxx::Level::getInfo());
    auto events = logger("event");
    events->removeAllAppenders();
    // The message is already a JSON object.
    events->addAppender(std::make_shared<log4cxx::ConsoleAppender>(
        std::make_shared<log4cxx::PatternLayout>("%m%n"), standardOutput));
    events->setAdditivity(false);
}

} // namespace celeryline
