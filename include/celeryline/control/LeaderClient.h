/// @file
/// Forwards requests to the current leader.
#pragma once

#include "celeryline/control/LeaderResponseTimer.h"
#include "celeryline/rpc/ControlLink.h"
#include "celeryline/rpc/ForwardedRequest.h"

#include <kj/async-io.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace celeryline {

/// The links of a process to all known control processes.
class ControlLinks {
public:
    ControlLinks(kj::Timer& timer, kj::Network& network)
        : m_timer(timer)
        , m_network(network)
    {
    }

    /// @param address "IP:port" of a control process.
    /// @return the link to it, created on first use.
    ControlLink& to(const std::string& address);

    kj::Timer& timer() { return m_timer; }

private:
    kj::Timer& m_timer;
    kj::Network& m_network;
    std::map<std::string, std::unique_ptr<ControlLink>> m_links;
};

/// Forwards requests to the leader. It learns the leader's address from responses and tries the known control
/// processes in turn while the leader is unknown. All requests are idempotent, so a request with an unknown
/// outcome is retried until its deadline. With a RefusalPolicy, a request that wasn't sent yet is refused
/// immediately while no leader has responded for longer than the policy allows. It then needs a LeaderSearch
/// to find the next leader.
class LeaderClient {
public:
    /// @param links links of this process; must outlive this object.
    /// @param addresses the initially known control processes.
    LeaderClient(ControlLinks& links, std::vector<std::string> addresses);

    /// Adds control processes; known and malformed addresses are ignored. The first malformed ones are
    /// logged.
    void addAddresses(const std::vector<std::string>& addresses);

    void setLeader(const std::string& address) { m_leader = address; }
    const std::string& leader() const { return m_leader; }

    const std::vector<std::string>& addresses() const { return m_addresses; }

    void setRefusalPolicy(const RefusalPolicy& policy) { m_refusalPolicy = policy; }

    /// Records that a control process was queried for the leader.
    void onQuerySent() { m_responseTimer = startResponseTimer(m_responseTimer, now()); }

    /// Advances the response timer; must be called every responseTimerInterval while it is running.
    void updateResponseTimer() { m_responseTimer = advanceResponseTimer(m_responseTimer, now()); }

    /// Records a response of the leader.
    /// @param address the leader's address.
    void onLeaderResponse(const std::string& address);

    /// @return the time without a response of a leader.
    const LeaderResponseTimer& responseTimer() const { return m_responseTimer; }

    /// @return whether requests that weren't sent yet are refused immediately.
    bool isRefusing() const { return shouldRefuse(m_refusalPolicy, m_responseTimer, false); }

    /// @return the leader's address, or that of the next known control process while the leader is unknown.
    std::string nextTarget();

    /// Forwards a request to the leader and retries it until the timeout.
    /// @param timeout total time for all attempts, while none may have been executed.
    /// @param timeoutOnceSent total time for all attempts, once one may have been executed: the next leader
    /// can still report its outcome.
    /// @param mayHaveRun whether an attempt of this process itself may have executed the request.
    /// @return the leader's response; without one, an outcome that says whether the request may have been
    /// executed.
    kj::Promise<ForwardedResponse> forward(
        ForwardedRequest request, Millis timeout, Millis timeoutOnceSent, bool mayHaveRun = false);

private:
    struct PendingRequest {
        ForwardedRequest request;
        kj::TimePoint deadline = kj::origin<kj::TimePoint>();
        kj::TimePoint deadlineOnceSent = kj::origin<kj::TimePoint>();
        bool mayHaveRun = false;
    };

    Millis now() const;
    void logMalformedAddress(const std::string& address);
    ForwardedResponse makeUnansweredResponse(const PendingRequest& pending) const;
    kj::Promise<ForwardedResponse> sendToTarget(const std::shared_ptr<PendingRequest>& pending);
    kj::Promise<ForwardedResponse> retryLater(const std::shared_ptr<PendingRequest>& pending);

    ControlLinks& m_links;
    std::vector<std::string> m_addresses;
    std::set<std::string> m_loggedMalformed; ///< Malformed addresses that were logged.
    std::string m_leader;
    std::size_t m_nextAddress = 0;
    RefusalPolicy m_refusalPolicy;
    LeaderResponseTimer m_responseTimer;
};

/// Not inline: where it is, GCC 12 warns wrongly of an uninitialized string.
/// @return a promise that is fulfilled with a response.
kj::Promise<ForwardedResponse> fulfilled(ForwardedResponse response);

} // namespace celeryline
