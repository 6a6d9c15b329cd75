/// @file
/// The state that the replicated log replicates: fleet, ledger and recent results.
#pragma once

#include "celeryline/consensus/StateMachine.h"
#include "celeryline/fleet/FleetReader.h"
#include "celeryline/fleet/LedgerApply.h"

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace celeryline {

/// The state that the replicated log replicates. The methods of StateMachine are called from one thread;
/// those of FleetReader from any.
class ReplicatedState final : public StateMachine, public FleetReader {
public:
    /// Results of so many command ids are kept, so that a resent command gets its first result.
    static constexpr std::size_t maxResults = 4096;

    /// @param ledger applies commands of kind Ledger; must outlive this object.
    explicit ReplicatedState(LedgerApply& ledger);

    CommandResult apply(std::uint64_t index, Millis entryTime, const Command& command) override;
    std::string takeSnapshot() const override;
    void restoreSnapshot(const std::string& bytes) override;
    std::uint64_t revision() const override;

    std::shared_ptr<const FleetState> fleet() const override;
    bool waitForRevision(std::uint64_t revision, Millis timeout) const override;

private:
    using Results = std::unordered_map<std::string, CommandResult>;

    CommandResult applyFleet(Millis entryTime, const Command& command);
    void remember(const std::string& id, const CommandResult& result);
    void publish(std::shared_ptr<const FleetState> next);

    LedgerApply& m_ledger;
    Results m_results;
    std::deque<std::string> m_resultOrder; ///< Ids, oldest first.
    mutable std::mutex m_lock; ///< Guards m_fleet.
    mutable std::condition_variable m_published;
    std::shared_ptr<const FleetState> m_fleet = std::make_shared<const FleetState>();
};

} // namespace celeryline
