/// @file
/// Parsing and validation of callers' requests.
#pragma once

#include "celeryline/base/Clock.h"
#include "celeryline/calls/CallRequest.h"
#include "celeryline/settings/Settings.h"

#include <Poco/Net/HTTPServerRequest.h>

#include <string>

namespace celeryline {

/// Parses and validates callers' requests. Thread-safe.
class CallReader {
public:
    /// @param limits size and time limits.
    /// @param routing default and maximum deadline.
    /// @param peerToken token that entry instances send with forwarded requests; if empty, it is not checked.
    /// @param clock clock of the deadlines.
    CallReader(const LimitSettings& limits, const RoutingSettings& routing, std::string peerToken,
        const Clock& clock);

    /// Reads one request including its body.
    /// @param request a request below `/call/`.
    /// @return the validated request.
    /// @throws CallRefused with the response status; the body may be unread.
    CallRequest read(Poco::Net::HTTPServerRequest& request) const;

private:
    void readHeader(Poco::Net::HTTPServerRequest& request, CallRequest& call) const;
    std::string readBody(Poco::Net::HTTPServerRequest& request, Millis until) const;

    LimitSettings m_limits;
    RoutingSettings m_routing;
    std::string m_peerToken;
    const Clock& m_clock;
};

} // namespace celeryline
