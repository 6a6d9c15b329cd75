#include "celeryline/membership/Formation.h"

#include "celeryline/consensus/LogFormation.h"

#include <algorithm>

namespace celeryline {

Formation::Formation(std::string self, std::vector<std::string> seeds, bool isFirstStart, std::size_t voters)
    : m_self(std::move(self))
    , m_founders(std::move(seeds))
{
    if (m_founders.size() > voters)
        m_founders.resize(voters);
    m_isFounder = isFirstStart && !m_founders.empty() && m_founders.front() == m_self;
}

void Formation::recordPeer(const Introduction& other)
{
    if (!m_isFounder)
        return;
    if (other.hasLog) {
        m_isFounder = false; // The log already exists.
        return;
    }
    if (!other.storageId.empty())
        m_emptyFounders[other.address] = other.storageId;
}

std::optional<LogEntry> Formation::formIfReady(const Introduction& own)
{
    if (!m_isFounder || own.hasLog)
        return std::nullopt;
    VoterConfiguration configuration;
    for (const auto& address : m_founders) {
        if (address == m_self) {
            configuration.voters.push_back({ m_self, own.storageId });
            continue;
        }
        auto found = m_emptyFounders.find(address);
        if (found == m_emptyFounders.end())
            return std::nullopt;
        configuration.voters.push_back({ address, found->second });
    }
    m_isFounder = false;
    return makeFirstEntry(configuration);
}

} // namespace celeryline
