/// @file
/// A minimal state machine for tests of the log.
#pragma once

#include "celeryline/base/Error.h"
#include "celeryline/consensus/StateMachine.h"

#include <map>
#include <mutex>
#include <sstream>

namespace celeryline::test {

/// Records the order of commands; the result of a command is its position. A resent command gets its original
/// result.
class CounterState final : public StateMachine {
public:
    CommandResult apply(std::uint64_t, Millis, const Command& command) override
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        auto [entry, isNew] = m_positions.emplace(command.id, m_positions.size() + 1);
        if (isNew)
            m_digest = std::hash<std::string> {}(std::to_string(m_digest) + command.id + command.body);
        return { true, ErrorKind::InvalidInput, std::to_string(entry->second), m_positions.size() };
    }

    std::string takeSnapshot() const override
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        std::ostringstream text;
        text << m_digest;
        for (const auto& [id, position] : m_positions)
            text << ' ' << id << ' ' << position;
        return text.str();
    }

    void restoreSnapshot(const std::string& bytes) override
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        std::istringstream text(bytes);
        m_positions.clear();
        text >> m_digest;
        std::string id;
        std::uint64_t position = 0;
        while (text >> id >> position)
            m_positions[id] = position;
    }

    std::uint64_t revision() const override
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return m_positions.size();
    }

    /// @return a hash of the whole sequence of commands.
    std::size_t digest() const
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return m_digest;
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_positions;
    std::size_t m_digest = 0;
};

} // namespace celeryline::test
