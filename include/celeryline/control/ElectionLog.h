/// @file
/// Log lines about elections.
#pragma once

#include "celeryline/consensus/RaftCore.h"
#include "celeryline/settings/EventLog.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace celeryline {

/// Observes a replica and states as log lines whose votes an election lacks, that this replica waits for a
/// leader without a vote of its own, and why it refuses its vote to others.
///
/// Example: `for (auto& event : electionLog.observe(core, clock.now())) event.writeAlways();`
class ElectionLog {
public:
    /// Compares the replica with its state at the last call. To be called at each tick.
    /// @param core the replica.
    /// @param now monotonic time.
    /// @return the lines to write.
    std::vector<Event> observe(const RaftCore& core, Millis now);

    /// @return the number of rounds of pre-votes and votes that this process has begun. Unlike the one of the
    /// replica, it goes on when the replica is opened again after a storage error.
    std::uint64_t roundCount() const { return m_roundCount; }

private:
    void countRounds(const RaftCore& core);
    void observeElection(const RaftCore& core, Millis now);
    void observeLearner(const RaftCore& core, Millis now);
    void observeRefusals(const RaftCore& core, Millis now);

    std::vector<Event> m_events;
    std::uint64_t m_roundCount = 0;
    std::uint64_t m_seenRounds = 0; ///< Of the current replica.
    Millis m_nextStalledLine;
    std::optional<Millis> m_nextWaitingLine; ///< Set while this replica has neither a leader nor a vote.
    std::uint64_t m_loggedRefusals = 0; ///< Of the current replica.
    Millis m_nextRefusalLine;
};

} // namespace celeryline
