#include "celeryline/tracing/TraceContext.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace celeryline {

namespace {

constexpr std::size_t traceIdDigits = 32;
constexpr std::size_t spanIdDigits = 16;

std::string randomHexDigits(std::size_t count)
{
    static constexpr char digits[] = "0123456789abcdef";
    thread_local std::mt19937_64 generator { std::random_device {}() };
    std::string text;
    while (text.size() < count) {
        std::uint64_t bits = generator();
        for (int i = 0; i < 16 && text.size() < count; ++i, bits >>= 4) {
            text += digits[bits & 15];
        }
    }
    return text;
}

bool isHexadecimal(const std::string& text)
{
    return text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

bool isValidId(const std::string& id)
{
    return isHexadecimal(id) && id.find_first_not_of('0') != std::string::npos;
}

} // namespace

std::optional<TraceContext> parseTraceparent(const std::string& header)
{
    constexpr std::size_t version00Length = 55;
    bool hasValidLayout
        = header.size() >= version00Length && header[2] == '-' && header[35] == '-' && header[52] == '-';
    if (!hasValidLayout) {
        return std::nullopt;
    }
    std::string version = header.substr(0, 2);
    bool isKnownVersion = version == "00" && header.size() == version00Length;
    bool isLaterVersion = version != "00" && version != "ff" && isHexadecimal(version)
        && (header.size() == version00Length || header[version00Length] == '-');
    std::string flags = header.substr(53, 2);
    TraceContext context { header.substr(3, traceIdDigits), header.substr(36, spanIdDigits), false };
    bool isValid = (isKnownVersion || isLaterVersion) && isValidId(context.traceId)
        && isValidId(context.spanId) && isHexadecimal(flags);
    if (!isValid) {
        return std::nullopt;
    }
    context.sampled = std::stoi(flags, nullptr, 16) % 2 == 1;
    return context;
}

std::string formatTraceparent(const TraceContext& context)
{
    return "00-" + context.traceId + "-" + context.spanId + (context.sampled ? "-01" : "-00");
}

TraceContext newTraceContext()
{
    return { randomHexDigits(traceIdDigits), randomHexDigits(spanIdDigits), true };
}

TraceContext childContext(const TraceContext& parent)
{
    return { parent.traceId, randomHexDigits(spanIdDigits), parent.sampled };
}

} // namespace celeryline
