/// @file
/// HTTP API for operators.
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

/// Identity and limits of the instance that runs an OperatorApi.
struct OperatorApiOptions {
    std::string name; ///< Name of this entry instance.
    std::string dataCentre;
    Millis submitTimeout { 5000 };
    Millis maxWatchTimeout { 60000 }; ///< Upper limit, because each watch blocks a connection thread.
    std::size_t maxBodyBytes = 8 * 1024 * 1024;
};

/// Lists all entry instances, including this one, with the revision that each has applied.
using InForceSource = std::function<std::vector<InForceEntry>()>;

/// Serves the paths under "/v1" that read and change the fleet state.
///
/// Example: `OperatorApi api(options, store, state, registry, clock, inForce); server.route("/v1", api);`
class OperatorApi final : public HttpEndpoint {
public:
    /// The objects passed by reference must outlive this object.
    /// @param options identity and limits of this instance.
    /// @param store accepts the changes.
    /// @param fleet provides the fleet state.
    /// @param upstreams provides the live upstreams.
    /// @param clock provides the wall-clock time for explanations and dry runs.
    /// @param inForce lists the entry instances. What it refers to must outlive this object.
    OperatorApi(const OperatorApiOptions& options, Store& store, const FleetReader& fleet,
        const UpstreamView& upstreams, const Clock& clock, InForceSource inForce);

    void handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override;

private:
    using Path = std::vector<std::string>;
    using Query = std::map<std::string, std::string>;

    void submitChange(const OperatorChange& change, Poco::Net::HTTPServerResponse& response);
    std::string read(const Path& path, const Query& query) const;
    std::string watch(const Query& query) const;
    std::string explain(const Path& path) const;
    std::string status() const;

    const OperatorApiOptions m_options;
    Store& m_store;
    const FleetReader& m_fleet;
    const UpstreamView& m_upstreams;
    const Clock& m_clock;
    const InForceSource m_inForceSource;
};

} // namespace celeryline
