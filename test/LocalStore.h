/// @file
/// Stand-ins for the store and the upstreams in tests.
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

/// A store that applies at once, as a single voter would.
class LocalStore final : public Store {
public:
    explicit LocalStore(ReplicatedState& state)
        : m_state(state)
    {
    }

    CommandResult submit(const Command& command, Millis) override
    {
        std::lock_guard<std::mutex> guard(m_lock);
        --countdown;
        if (!isAvailable || (countdown == 0 && !appliesLast)) {
            throw Error(ErrorKind::Unavailable, "no leader can be reached", "try again later");
        }
        auto result = m_state.apply(++m_index, now, command);
        ids.push_back(command.id);
        if (losesAnswer || countdown == 0) {
            losesAnswer = false;
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
    bool losesAnswer = false; ///< The next command is applied but its result is lost.
    int countdown = -1; ///< The command at which this reaches 0 has no result.
    bool appliesLast = true; ///< Whether that command is applied.
    Millis now;
    std::vector<std::string> ids;

private:
    ReplicatedState& m_state;
    std::mutex m_lock;
    std::uint64_t m_index = 1000000;
};

/// A fixed list of upstreams.
class FixedUpstreams final : public UpstreamView {
public:
    std::shared_ptr<const UpstreamSnapshot> upstreams() const override { return snapshot; }

    std::shared_ptr<const UpstreamSnapshot> snapshot = std::make_shared<const UpstreamSnapshot>();
};

} // namespace celeryline::test
