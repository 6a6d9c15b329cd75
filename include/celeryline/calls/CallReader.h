/// @file
/// Reading and checking of callers' requests.
#pragma once

#include "celeryline/base/Clock.h"
#include "celeryline/calls/CallRequest.h"
#include "celeryline/settings/Settings.h"

#include <Poco/Net/HTTPServerRequest.h>

#include <string>

namespace celeryline {

/// Reads and checks callers' requests. Thread-safe.
class CallReader {
public:
    /// @param limits size and time limits.
    /// @param routing default and longest deadline.
    /// @param peerToken proves that a request was forwarded by an entry instance; empty takes all hops.
    /// @param clock measures deadlines.
    CallReader(const LimitSettings& limits, const RoutingSettings& routing, std::string peerToken,
        const Clock& clock);

    /// Reads one request with its whole body.
    /// @param request a request below `/call/`.
    /// @return the request.
    /// @throws CallRefused with the status for the caller; the body may not have been read.
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
