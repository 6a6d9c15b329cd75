/// @file
/// The in-memory part of the log.
#pragma once

#include "celeryline/consensus/Snapshot.h"
#include "celeryline/storage/LogEntry.h"

#include <deque>
#include <map>
#include <vector>

namespace celeryline {

/// The entries after a base entry. The base entry itself is contained in a snapshot.
class RaftLog {
public:
    /// @param snapshot the newest snapshot; index 0 if there is none.
    /// @param entries the entries that follow it.
    RaftLog(const Snapshot& snapshot, const std::vector<LogEntry>& entries);

    std::uint64_t baseIndex() const { return m_baseIndex; }
    std::uint64_t lastIndex() const { return m_baseIndex + m_entries.size(); }
    std::uint64_t lastTerm() const { return m_entries.empty() ? m_baseTerm : m_entries.back().term; }
    Millis lastTime() const { return m_entries.empty() ? m_baseTime : m_entries.back().time; }

    /// @return the term of an entry; 0 if the index is before the base or after the end.
    std::uint64_t termAt(std::uint64_t index) const;

    /// @param index an index above baseIndex() and up to lastIndex().
    /// @return the entry at the index.
    const LogEntry& at(std::uint64_t index) const;

    /// @param first index of the first entry.
    /// @param last index of the last entry, at most lastIndex().
    /// @param maxBytes size limit; the first entry is returned even if it exceeds the limit.
    /// @return a prefix of the range that respects the limit.
    std::vector<LogEntry> slice(std::uint64_t first, std::uint64_t last, std::size_t maxBytes) const;

    /// Appends the entry that follows lastIndex().
    void append(const LogEntry& entry);

    /// Removes the entries at and after an index.
    void truncateFrom(std::uint64_t index);

    /// Removes the entries up to and including an index, which becomes the base.
    void compactThrough(std::uint64_t index);

    /// @return the configuration in effect after an entry.
    const VoterConfiguration& configurationAt(std::uint64_t index) const;

    /// @return the newest configuration, committed or not.
    const VoterConfiguration& configuration() const { return configurationAt(lastIndex()); }

    /// @return index of the newest configuration.
    std::uint64_t configurationIndex() const;

private:
    std::uint64_t m_baseIndex = 0;
    std::uint64_t m_baseTerm = 0;
    Millis m_baseTime;
    std::deque<LogEntry> m_entries;
    std::map<std::uint64_t, VoterConfiguration> m_configurations; ///< By index; one at or before the base.
};

} // namespace celeryline
