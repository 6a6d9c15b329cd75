#include "celeryline/consensus/RaftLog.h"

#include "celeryline/base/LogInvariant.h"

#include <algorithm>

namespace celeryline {

RaftLog::RaftLog(const Snapshot& snapshot, const std::vector<LogEntry>& entries)
    : m_baseIndex(snapshot.index)
    , m_baseTerm(snapshot.term)
    , m_baseTime(snapshot.time)
{
    m_configurations[m_baseIndex] = snapshot.configuration;
    for (const auto& entry : entries)
        append(entry);
}

std::uint64_t RaftLog::termAt(std::uint64_t index) const
{
    if (index == m_baseIndex)
        return m_baseTerm;
    if (index < m_baseIndex || index > lastIndex())
        return 0;
    return m_entries[index - m_baseIndex - 1].term;
}

const LogEntry& RaftLog::at(std::uint64_t index) const
{
    requireInvariant(index > m_baseIndex && index <= lastIndex(), "the log holds the entry");
    return m_entries[index - m_baseIndex - 1];
}

std::vector<LogEntry> RaftLog::slice(std::uint64_t first, std::uint64_t last, std::size_t maxBytes) const
{
    std::vector<LogEntry> entries;
    std::size_t bytes = 0;
    for (auto index = first; index <= last; ++index) {
        const auto& entry = at(index);
        bytes += entry.payload.size() + 64;
        if (!entries.empty() && bytes > maxBytes)
            break;
        entries.push_back(entry);
    }
    return entries;
}

void RaftLog::append(const LogEntry& entry)
{
    requireInvariant(entry.index == lastIndex() + 1, "log entries are consecutive");
    requireInvariant(entry.term >= lastTerm(), "terms never decrease along the log");
    requireInvariant(entry.time >= lastTime(), "entry times never decrease along the log");
    if (entry.kind == LogEntryKind::Configuration)
        m_configurations[entry.index] = decodeConfiguration(entry.payload);
    m_entries.push_back(entry);
}

void RaftLog::truncateFrom(std::uint64_t index)
{
    requireInvariant(index > m_baseIndex, "entries of a snapshot are never removed");
    m_entries.resize(std::min<std::size_t>(m_entries.size(), index - m_baseIndex - 1));
    m_configurations.erase(m_configurations.lower_bound(index), m_configurations.end());
}

void RaftLog::compactThrough(std::uint64_t index)
{
    if (index <= m_baseIndex)
        return;
    const auto& last = at(index);
    m_baseTerm = last.term;
    m_baseTime = last.time;
    m_entries.erase(m_entries.begin(), m_entries.begin() + static_cast<std::ptrdiff_t>(index - m_baseIndex));
    m_baseIndex = index;
    auto newest = std::prev(m_configurations.upper_bound(index));
    m_configurations.erase(m_configurations.begin(), newest);
}

const VoterConfiguration& RaftLog::configurationAt(std::uint64_t index) const
{
    auto after = m_configurations.upper_bound(index);
    requireInvariant(after != m_configurations.begin(), "the configuration of an entry is known");
    return std::prev(after)->second;
}

std::uint64_t RaftLog::configurationIndex() const { return m_configurations.rbegin()->first; }

} // namespace celeryline
