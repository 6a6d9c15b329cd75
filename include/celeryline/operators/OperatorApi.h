/// @file
/// The operators' HTTP API.
#pragma once

#include "celeryline/base/Clock.h"
#include "celeryline/consensus/Store.h"
#include "celeryline/fleet/FleetReader.h"
#include "celeryline/fleet/FleetViews.h"
#include "celeryline/http/HttpEndpoint.h"
#include "celeryline/operators/OperatorCommands.h"
#include "celeryline/registry/UpstreamView.h"

#include <functional>
#include <string>
#include <vector>

namespace celeryline {

/// What the operators' API needs to know about its process.
struct OperatorApiOptions {
    std::string name; ///< Of this entry instance.
    std::string dataCentre;
    Millis submitTimeout { 5000 };
    Millis maxWatch { 60000 }; ///< Longest wait of a watch; each one occupies a connection's thread.
    std::size_t maxBodyBytes = 8 * 1024 * 1024;
};

/// Lists all entry instances with the revision that each has applied, this one included.
using InForceSource = std::function<std::vector<InForceEntry>()>;

/// Serves the paths below "/v1" that read and change the fleet state.
///
/// Example: `OperatorApi api(options, store, state, registry, clock, inForce); server.route("/v1", api);`
class OperatorApi final : public HttpEndpoint {
public:
    /// @param options this process.
    /// @param store takes the changes.
    /// @param fleet gives the state.
    /// @param upstreams gives the live upstreams.
    /// @param clock gives the wall time for explanations and dry runs.
    /// @param inForce lists the entry instances. All must outlive this object.
    OperatorApi(const OperatorApiOptions& options, Store& store, const FleetReader& fleet,
        const UpstreamView& upstreams, const Clock& clock, InForceSource inForce);

    void handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override;

private:
    using Path = std::vector<std::string>;
    using Query = std::map<std::string, std::string>;

    void change(const OperatorChange& change, Poco::Net::HTTPServerResponse& response);
    std::string read(const Path& path, const Query& query) const;
    std::string watch(const Query& query) const;
    std::string explain(const Path& path) const;
    std::string status() const;

    const OperatorApiOptions m_options;
    Store& m_store;
    const FleetReader& m_fleet;
    const UpstreamView& m_upstreams;
    const Clock& m_clock;
    const InForceSource m_inForce;
};

} // namespace celeryline
