/// @file
/// Asks control processes for the leader in the background.
#pragma once

#include "celeryline/control/LeaderClient.h"

#include <kj/async-io.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace celeryline {

/// How a LeaderSearch asks.
struct LeaderSearchOptions {
    Millis interval { 500 }; ///< Between questions to a leader that answers.
    Millis pause { 100 }; ///< From a failed question to the next one to the same process.
    Millis refuseAfter; ///< Silence of all leaders from which on requests are refused.
};

/// Asks control processes for the leader in the background, so that a LeaderClient finds it without requests.
/// A leader that answers is asked now and then; while none does, all known control processes are asked at the
/// same time, so that one that is silent doesn't delay the others.
///
/// Example: `LeaderSearch search(client, links, { { 500 }, { 100 }, longestElection(controlElectionTimeout)
/// });`
class LeaderSearch final : private kj::TaskSet::ErrorHandler {
public:
    /// Begins to ask, and makes the client refuse requests after the silence in the options.
    /// @param client is told who leads; must outlive this object.
    /// @param links links of this process; must outlive this object.
    LeaderSearch(LeaderClient& client, ControlLinks& links, const LeaderSearchOptions& options);

    /// @return whether the process that answered last as leader has answered the last question.
    bool hasLeader() const { return !m_found.empty(); }

private:
    struct Question {
        bool isOpen = false;
        kj::TimePoint dueAt = kj::origin<kj::TimePoint>();
    };

    void tick();
    void ask();
    void askIfDue(const std::string& address);
    void onAnswer(const std::string& address, const CallResult<Introduction>& call);
    void noteFound(const std::string& address);
    void noteNotLeading(const std::string& address, const std::string& named);
    void noteRefusing();
    void taskFailed(kj::Exception&& exception) override;

    LeaderClient& m_client;
    ControlLinks& m_links;
    LeaderSearchOptions m_options;
    std::map<std::string, Question> m_questions; ///< By address.
    std::string m_found; ///< The process that answered last as leader; empty once it doesn't.
    bool m_isRefusing = false; ///< It is in the log that requests are refused.
    kj::TaskSet m_tasks;
};

} // namespace celeryline
