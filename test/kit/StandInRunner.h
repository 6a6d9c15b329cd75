/// @file
/// A stand-in runner: serves requests and writes a journal of those that ran.
#pragma once

#include "Journal.h"

#include "celeryline/http/HttpEndpoint.h"

#include <atomic>
#include <cstdint>

namespace celeryline::kit {

/// Settings of a stand-in runner.
struct RunnerBehaviour {
    int slots = 8;
    int workMs = 0; ///< Duration of each request; the header `Test-Work-Ms` overrides it.
};

/// Answers requests for any path with the body received. Counts requests that exceed its slots.
class StandInRunner final : public HttpEndpoint {
public:
    /// @param behaviour slots and work time.
    /// @param journal receives a line `ran REQUEST-ID KEY RUNNER` for each request that ran.
    /// @param name the runner's name.
    StandInRunner(const RunnerBehaviour& behaviour, Journal& journal, std::string name);

    void handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override;

    /// @return number of requests in progress.
    int inProgress() const { return m_inProgress; }

    /// @return number of requests that arrived while all slots were in use.
    std::uint64_t overfills() const { return m_overfills; }

    /// @return number of requests that ran.
    std::uint64_t served() const { return m_served; }

private:
    RunnerBehaviour m_behaviour;
    Journal& m_journal;
    std::string m_name;
    std::atomic<int> m_inProgress { 0 };
    std::atomic<std::uint64_t> m_overfills { 0 };
    std::atomic<std::uint64_t> m_served { 0 };
};

} // namespace celeryline::kit
