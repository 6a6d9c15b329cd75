/// @file
/// Background discovery of the leader.
#pragma once

#include "celeryline/control/LeaderClient.h"

#include <kj/async-io.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace celeryline {

/// Timing of a LeaderSearch.
struct LeaderSearchOptions {
    Millis interval { 500 }; ///< Between queries to a leader that responds.
    Millis retryDelay { 100 }; ///< Delay before a process is queried again after a failed query.
    Millis refuseAfter; ///< Time without a response of a leader after which requests are refused.
};

/// Queries control processes for the leader in the background, so that a LeaderClient finds it even when
/// there are no requests. A leader that responds is polled periodically. While none does, all known control
/// processes are queried in parallel, so that an unresponsive one doesn't delay the others.
///
/// Example: `LeaderSearch search(client, links, { { 500 }, { 100 }, maxElectionTime(controlElectionTimeout)
/// });`
class LeaderSearch final : private kj::TaskSet::ErrorHandler {
public:
    /// Starts the search and sets the client's refusal policy from the options.
    /// @param client receives the address of the leader; must outlive this object.
    /// @param links links of this process; must outlive this object.
    LeaderSearch(LeaderClient& client, ControlLinks& links, const LeaderSearchOptions& options);

    /// @return whether a leader was found and responded to the last query.
    bool hasLeader() const { return !m_confirmedLeader.empty(); }

private:
    struct Query {
        bool isPending = false;
        kj::TimePoint dueAt = kj::origin<kj::TimePoint>();
    };

    void tick();
    void queryProcesses();
    void queryIfDue(const std::string& address);
    void onResponse(const std::string& address, const CallResult<Introduction>& call);
    void onLeaderFound(const std::string& address);
    void onNotLeader(const std::string& address, const std::string& reportedLeader);
    void logRefusalChange();
    void taskFailed(kj::Exception&& exception) override;

    LeaderClient& m_client;
    ControlLinks& m_links;
    LeaderSearchOptions m_options;
    std::map<std::string, Query> m_queries; ///< By address.
    std::string m_confirmedLeader; ///< Address of the leader that responded to the last query; empty if none.
    bool m_wasRefusing = false; ///< Last logged state.
    kj::TaskSet m_tasks;
};

} // namespace celeryline
