/// @file
/// In-process store and upstream view for tests.
#pragma once

#include "celeryline/base/Error.h"
#include "celeryline/consensus/Store.h"
#include "celeryline/fleet/ReplicatedState.h"
#include "celeryline/registry/UpstreamView.h"

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace celeryline::test {

/// A store that applies commands immediately, like a cluster with a single voter.
class LocalStore final : public Store {
public:
    explicit LocalStore(ReplicatedState& state)
        : m_state(state)
    {
    }

    CommandResult submit(const Command& command, Millis) override
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        --commandsUntilFailure;
        if (!isAvailable || (commandsUntilFailure == 0 && !appliesFailedCommand)) {
            throw Error(ErrorKind::Unavailable, "no leader can be reached", "try again later");
        }
        auto result = m_state.apply(++m_index, now, command);
        ids.push_back(command.id);
        if (losesNextResult || commandsUntilFailure == 0) {
            losesNextResult = false;
            throw Error(ErrorKind::TimedOut, "the result is not known", "send the same command id again");
        }
        return result;
    }

    StoreStatus status() const override
    {
        StoreStatus status;
        status.role = role;
        status.leader = "entry-1";
        status.hasQuorum = isAvailable;
        status.revision = m_state.revision();
        return status;
    }

    ConsensusRole role = ConsensusRole::Leader;
    bool isAvailable = true;
    bool losesNextResult = false; ///< Applies the next command but throws instead of returning its result.
    int commandsUntilFailure = -1; ///< The command that decrements this to 0 throws.
    bool appliesFailedCommand = true; ///< Whether the command that throws is applied first.
    Millis now;
    std::vector<std::string> ids;

private:
    ReplicatedState& m_state;
    std::mutex m_mutex;
    std::uint64_t m_index = 1000000;
};

/// Returns the snapshot set by the test.
class FakeUpstreamView final : public UpstreamView {
public:
    std::shared_ptr<const UpstreamSnapshot> upstreams() const override { return snapshot; }

    std::shared_ptr<const UpstreamSnapshot> snapshot = std::make_shared<const UpstreamSnapshot>();
};

} // namespace celeryline::test
