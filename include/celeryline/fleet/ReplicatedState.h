/// @file
/// The replicated state machine: fleet, ledger and recent command results.
#pragma once

#include "celeryline/consensus/StateMachine.h"
#include "celeryline/fleet/FleetReader.h"
#include "celeryline/fleet/LedgerStateMachine.h"

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace celeryline {

/// The state machine of the replicated log: fleet, ledger and recent command results. The methods of
/// StateMachine must be called from one thread; those of FleetReader are thread-safe.
class ReplicatedState final : public StateMachine, public FleetReader {
public:
    /// Number of latest command results that are kept, so that a retried command gets its original result.
    static constexpr std::size_t maxResults = 4096;

    /// @param ledger state machine for commands of kind Ledger; must outlive this object.
    explicit ReplicatedState(LedgerStateMachine& ledger);

    CommandResult apply(std::uint64_t index, Millis entryTime, const Command& command) override;
    std::string takeSnapshot() const override;
    void restoreSnapshot(const std::string& bytes) override;
    std::uint64_t revision() const override;

    std::shared_ptr<const FleetState> fleet() const override;
    bool waitForRevision(std::uint64_t revision, Millis timeout) const override;

private:
    using Results = std::unordered_map<std::string, CommandResult>;

    CommandResult applyFleet(Millis entryTime, const Command& command);
    void storeResult(const std::string& id, const CommandResult& result);
    void publish(std::shared_ptr<const FleetState> next);

    LedgerStateMachine& m_ledger;
    Results m_results;
    std::deque<std::string> m_resultOrder; ///< Command ids, oldest first.
    mutable std::mutex m_lock; ///< Guards m_fleet.
    mutable std::condition_variable m_published;
    std::shared_ptr<const FleetState> m_fleet = std::make_shared<const FleetState>();
};

} // namespace celeryline
