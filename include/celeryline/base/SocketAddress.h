/// @file
/// Addresses of the form "IP:port".
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <optional>
#include <string>

namespace celeryline {

/// Parses an address without a lookup of names, which would block the caller.
/// @param text such as "10.1.2.3:8080" or "[fd00::1]:8080".
/// @return the address; nothing if the text isn't an IP address and a port from 1.
std::optional<Poco::Net::SocketAddress> parseSocketAddress(const std::string& text);

} // namespace celeryline
