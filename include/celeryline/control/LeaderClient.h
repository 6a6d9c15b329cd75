/// @file
/// Passes requests on to the leader, whoever it is.
#pragma once

#include "celeryline/control/LeaderSilence.h"
#include "celeryline/rpc/ControlLink.h"
#include "celeryline/rpc/ForwardedRequest.h"

#include <kj/async-io.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace celeryline {

/// The links of a process to all control processes that it knows.
class ControlLinks {
public:
    ControlLinks(kj::Timer& timer, kj::Network& network)
        : m_timer(timer)
        , m_network(network)
    {
    }

    /// @param address "IP:port" of a control process.
    /// @return the link to it.
    ControlLink& to(const std::string& address);

    kj::Timer& timer() { return m_timer; }

private:
    kj::Timer& m_timer;
    kj::Network& m_network;
    std::map<std::string, std::unique_ptr<ControlLink>> m_links;
};

/// Finds the leader and passes requests on to it. It learns the leader from answers, and asks the known
/// control processes in turn while it knows none. All requests are idempotent, so one whose fate is unknown
/// is sent again until its time is up. With a RefusalRule, a request that was sent to nobody is refused at
/// once while no leader has answered for long; somebody else must then ask for one (LeaderSearch).
class LeaderClient {
public:
    /// @param links links of this process; must outlive this object.
    /// @param addresses control processes to begin with.
    LeaderClient(ControlLinks& links, std::vector<std::string> addresses);

    /// Adds control processes that became known.
    void addAddresses(const std::vector<std::string>& addresses);

    /// Notes who leads.
    void setLeader(const std::string& address) { m_leader = address; }
    const std::string& leader() const { return m_leader; }

    const std::vector<std::string>& addresses() const { return m_addresses; }

    /// Refuses requests by a rule from now on.
    void setRefusalRule(const RefusalRule& rule) { m_refusalRule = rule; }

    /// Notes that a control process is asked for the leader.
    void noteQuestion() { m_silence = afterQuestion(m_silence, now()); }

    /// Notes that time passes; needed every silenceStep while an answer is waited for.
    void noteTime() { m_silence = afterTime(m_silence, now()); }

    /// Notes that a leader has answered.
    /// @param address its address.
    void noteLeader(const std::string& address);

    /// @return how long no leader has answered.
    const LeaderSilence& silence() const { return m_silence; }

    /// @return whether requests that were sent to nobody are refused at once.
    bool isRefusing() const { return mustRefuse(m_refusalRule, m_silence, false); }

    /// @return the leader, or the next known control process while none is known.
    std::string nextTarget();

    /// @param request the request.
    /// @param timeout time for all tries together, while no try has reached a leader.
    /// @param timeoutOnceSent time for all tries together, once a try may have been carried out: the next
    /// leader can still tell what became of it.
    /// @return the leader's answer; without one, an outcome that tells whether it may have been carried out.
    kj::Promise<ForwardedResponse> forward(ForwardedRequest request, Millis timeout, Millis timeoutOnceSent);

private:
    struct Attempt {
        ForwardedRequest request;
        kj::TimePoint deadline = kj::origin<kj::TimePoint>();
        kj::TimePoint deadlineOnceSent = kj::origin<kj::TimePoint>();
        bool mayHaveRun = false;
    };

    Millis now() const;
    ForwardedResponse withoutAnswer(const Attempt& attempt) const;
    kj::Promise<ForwardedResponse> tryOnce(const std::shared_ptr<Attempt>& attempt);
    kj::Promise<ForwardedResponse> tryAgain(const std::shared_ptr<Attempt>& attempt);

    ControlLinks& m_links;
    std::vector<std::string> m_addresses;
    std::string m_leader;
    std::size_t m_next = 0;
    RefusalRule m_refusalRule;
    LeaderSilence m_silence;
};

} // namespace celeryline
