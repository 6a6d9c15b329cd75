/// @file
/// HTTP endpoint for upstream announcements.
#pragma once

#include "celeryline/base/Clock.h"
#include "celeryline/http/HttpEndpoint.h"
#include "celeryline/registry/AnnounceReply.h"
#include "celeryline/registry/UpstreamRegistry.h"

#include <functional>
#include <string>
#include <vector>

namespace celeryline {

/// Identity and defaults of the instance that runs an AnnounceEndpoint.
struct AnnounceOptions {
    std::string name; ///< Name of this instance, returned as `managedBy`.
    std::string dataCentre;
    Millis defaultLease; ///< Applies to announcements without `leaseMs`.
};

/// Serves `POST /v1/upstreams`, `DELETE /v1/upstreams/NAME[?bootId=NUMBER]` and `GET /v1/upstreams[/NAME]`.
class AnnounceEndpoint final : public HttpEndpoint {
public:
    /// Returns the reply to an accepted announcement. Must be thread-safe.
    using ReplyProvider
        = std::function<AnnounceReply(const Announcement& upstream, const std::vector<ReportedTask>& tasks)>;

    /// The objects passed by reference must outlive this object.
    /// @param options identity and defaults of this instance.
    /// @param registry stores the announcements.
    /// @param clock time source for leases.
    /// @param replyProvider returns the reply; if empty, the instruction is always "serve".
    AnnounceEndpoint(const AnnounceOptions& options, UpstreamRegistry& registry, const Clock& clock,
        ReplyProvider replyProvider);

    void handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override;

private:
    std::string announce(const std::string& body);
    std::string leave(const std::string& name, const std::string& bootId);
    std::string list(const std::string& name) const;

    const AnnounceOptions m_options;
    UpstreamRegistry& m_registry;
    const Clock& m_clock;
    const ReplyProvider m_replyProvider;
};

} // namespace celeryline
