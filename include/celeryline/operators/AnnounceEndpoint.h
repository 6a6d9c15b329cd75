/// @file
/// Announcements over HTTP.
#pragma once

#include "celeryline/base/Clock.h"
#include "celeryline/http/HttpEndpoint.h"
#include "celeryline/registry/AnnounceReply.h"
#include "celeryline/registry/UpstreamRegistry.h"

#include <functional>
#include <string>
#include <vector>

namespace celeryline {

/// What an AnnounceEndpoint needs to know about its process.
struct AnnounceOptions {
    std::string name; ///< Of this instance; the response's `managedBy`.
    std::string dataCentre;
    Millis defaultLease;
};

/// Serves `POST /v1/upstreams`, `DELETE /v1/upstreams/NAME[?bootId=NUMBER]` and `GET /v1/upstreams[/NAME]`.
class AnnounceEndpoint final : public HttpEndpoint {
public:
    /// Decides the response to an accepted announcement; called from several threads at once.
    using Decider
        = std::function<AnnounceReply(const Announcement& upstream, const std::vector<ReportedTask>& tasks)>;

    /// @param options this process.
    /// @param registry takes the announcements.
    /// @param clock starts the leases.
    /// @param decider decides the instruction; empty always answers "serve".
    AnnounceEndpoint(
        const AnnounceOptions& options, UpstreamRegistry& registry, const Clock& clock, Decider decider);

    void handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override;

private:
    std::string announce(const std::string& body);
    std::string leave(const std::string& name, const std::string& bootId);
    std::string list(const std::string& name) const;

    const AnnounceOptions m_options;
    UpstreamRegistry& m_registry;
    const Clock& m_clock;
    const Decider m_decider;
};

} // namespace celeryline
