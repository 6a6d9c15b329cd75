/// @file
/// Log lines about the voter set.
#pragma once

#include "celeryline/consensus/RaftCore.h"
#include "celeryline/settings/EventLog.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace celeryline {

/// Observes a replica and states as log lines when the voter set changes and why; on the leader, which voter
/// is out of reach since when, and why no learner takes its place.
///
/// Example: `for (auto& event : voterLog.observe(core, clock.now())) event.writeAlways();`
class VoterLog {
public:
    /// @param electionTimeout a voter that has been silent for this long is out of reach.
    explicit VoterLog(Millis electionTimeout)
        : m_electionTimeout(electionTimeout)
    {
    }

    /// Compares the replica with its state at the last call. To be called at each tick.
    /// @param core the replica.
    /// @param now monotonic time.
    /// @return the lines to write.
    std::vector<Event> observe(const RaftCore& core, Millis now);

    /// @return the number of changes of the voter set that this process has seen.
    std::uint64_t changeCount() const { return m_changeCount; }

private:
    /// Whether a voter is in reach or a learner ready, as last logged.
    struct LoggedState {
        bool isGood = false;
        Millis loggedAt;
    };

    void observeConfiguration(const RaftCore& core);
    void logChange(const RaftCore& core, const VoterConfiguration& from, bool isCommitted);
    void observeOwnVote(const RaftCore& core, Millis now);
    void observeLeadership(const RaftCore& core, Millis now);
    void logLeadershipEnd(const RaftCore& core, Millis now);
    void observeVoter(const VoterContact& contact, std::uint64_t term, Millis now);
    void observeLearner(const LearnerProgress& learner, std::uint64_t term, Millis now);
    void observeReplacement(const VoterSetStatus& status, Millis now);

    Millis m_electionTimeout;
    std::vector<Event> m_events;

    VoterConfiguration m_appended;
    VoterConfiguration m_committed;
    std::uint64_t m_changeCount = 0;

    std::optional<bool> m_isVoter; ///< Empty before the first observation.
    bool m_isCaughtUp = false;
    Millis m_nextCaughtUpLine;

    std::optional<VoterSetStatus> m_status; ///< The last one of this replica's leadership.
    Millis m_statusTime;
    std::map<std::string, LoggedState> m_voters; ///< By name; of the current term.
    std::map<std::string, LoggedState> m_learners; ///< By name; of the current term.
    Millis m_nextReplacementLine;
};

} // namespace celeryline
