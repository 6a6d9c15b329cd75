#include "celeryline/calls/CreditShare.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace celeryline {

std::uint32_t shareOf(const std::string& runner, std::uint32_t slots, const std::string& instance,
    const std::vector<std::string>& live)
{
    const XXH64_hash_t seed = XXH64(runner.data(), runner.size(), 0);
    const auto weight = [seed](const std::string& name) {
        return std::make_pair(XXH64(name.data(), name.size(), seed), name);
    };
    if (std::find(live.begin(), live.end(), instance) == live.end()) {
        return 0;
    }
    const auto own = weight(instance);
    const auto rank = static_cast<std::uint32_t>(
        std::count_if(live.begin(), live.end(), [&](const std::string& name) { return weight(name) < own; }));
    const auto count = static_cast<std::uint32_t>(live.size());
    return slots > rank ? (slots - rank + count - 1) / count : 0;
}

CreditShare::CreditShare(std::string instance, Millis settlingTime, Millis longestRequest, Millis now)
    : m_instance(std::move(instance))
    , m_settlingTime(settlingTime)
    , m_longestRequest(longestRequest)
    , m_lastUpdate(now)
    , m_newSince(now)
{
}

bool CreditShare::isSettled(Millis now, Millis changed, Millis reportedFrom, Millis reportedSince) const
{
    const auto settled = changed + m_settlingTime;
    return now >= settled && (reportedSince >= reportedFrom || now >= settled + m_longestRequest);
}

void CreditShare::updateMembers(Millis now, const std::vector<std::string>& live, Millis reportedSince)
{
    if (!isFresh(now)) {
        m_isNew = true;
        m_newSince = now;
    }
    m_lastUpdate = now;
    const bool hasLost = std::any_of(m_live.begin(), m_live.end(),
        [&live](const std::string& name) { return std::find(live.begin(), live.end(), name) == live.end(); });
    if (hasLost) {
        m_unsettled.push_back({ std::move(m_live), now });
    }
    m_live = live;
    while (!m_unsettled.empty()
        && isSettled(now, m_unsettled.front().replacedAt, m_unsettled.front().replacedAt + m_settlingTime,
            reportedSince)) {
        m_unsettled.pop_front();
    }
    // Peers report only after they have detected the new instance, so reports may be requested immediately.
    if (m_isNew && isSettled(now, m_newSince, m_newSince, reportedSince)) {
        m_isNew = false;
    }
}

std::optional<Millis> CreditShare::reportsNeededFrom() const
{
    if (!m_unsettled.empty()) {
        return m_unsettled.back().replacedAt + m_settlingTime;
    }
    return m_isNew ? std::optional<Millis>(m_newSince) : std::nullopt;
}

std::uint32_t CreditShare::allowance(const std::string& runner, std::uint32_t slots) const
{
    if (m_isNew) {
        return 0;
    }
    auto smallest = shareOf(runner, slots, m_instance, m_live);
    for (const auto& members : m_unsettled) {
        smallest = std::min(smallest, shareOf(runner, slots, m_instance, members.live));
    }
    return smallest;
}

} // namespace celeryline
