#include "celeryline/base/SocketAddress.h"

#include <Poco/Net/IPAddress.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdint>

namespace celeryline {
namespace {

constexpr std::size_t maxPortDigits = 5;

/// @return the port; nothing if the text isn't a number from 1 to 65535.
std::optional<std::uint16_t> parsePort(const std::string& text)
{
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    auto parsed = std::from_chars(text.data(), end, port);
    if (text.size() > maxPortDigits || parsed.ec != std::errc() || parsed.ptr != end || port == 0)
        return std::nullopt;
    return port;
}

/// @return the address; nothing if it is neither IPv4 nor IPv6 in brackets. Without brackets, it is
/// ambiguous which colon separates the port.
std::optional<Poco::Net::IPAddress> parseHost(std::string text)
{
    if (text.size() > 2 && text.front() == '[' && text.back() == ']') {
        text = text.substr(1, text.size() - 2);
    } else if (text.find(':') != std::string::npos) {
        return std::nullopt;
    }
    // The C library accepts anything after white space that follows an IPv4 address.
    auto isAllowed = [](unsigned char c) { return std::isxdigit(c) != 0 || c == '.' || c == ':'; };
    Poco::Net::IPAddress ip;
    if (!std::all_of(text.begin(), text.end(), isAllowed))
        return std::nullopt;
    if (!Poco::Net::IPAddress::tryParse(text, ip))
        return std::nullopt;
    return ip;
}

} // namespace

std::optional<Poco::Net::SocketAddress> parseSocketAddress(const std::string& text)
{
    auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    auto host = parseHost(text.substr(0, colon));
    auto port = parsePort(text.substr(colon + 1));
    if (!host || !port)
        return std::nullopt;
    return Poco::Net::SocketAddress(*host, *port);
}

} // namespace celeryline
