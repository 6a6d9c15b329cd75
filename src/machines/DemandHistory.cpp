#include "celeryline/machines/DemandHistory.h"

#include <algorithm>

namespace celeryline {
namespace {

constexpr Millis sampleLength { 1000 };
/// Demand that shows no rotation in this time counts as steady. It is also the limit of the history.
constexpr Millis maxObservation { 600000 };
/// Without a factor, two pools of similar demand would take the lead from each other with every job.
constexpr double leadFactor = 1.5;
constexpr std::int64_t rotationsKept = 3;
/// A machine can't be sent to standby and return in less, so a shorter rotation is of no use. Light loads
/// show rotations of parts of a second by chance.
constexpr Millis minRotation { 8000 };

} // namespace

void DemandHistory::add(const DemandByPool& demand, Millis now)
{
    bool hasDemand
        = std::any_of(demand.begin(), demand.end(), [](const auto& entry) { return entry.second > 0; });
    if (m_samples.empty() && !hasDemand)
        return;
    if (m_samples.empty())
        m_startedAt = now;
    addSample(demand, now);
    noteLeader(now);
    auto kept = m_rotation.count == 0 ? maxObservation : Millis { rotationsKept * m_rotation.count };
    while (m_samples.size() > 1 && m_samples.front().from + kept < now)
        m_samples.pop_front();
}

void DemandHistory::addSample(const DemandByPool& demand, Millis now)
{
    if (m_samples.empty() || now >= m_samples.back().from + sampleLength)
        m_samples.push_back({ now, {} });
    for (const auto& [pool, milliCores] : demand) {
        auto& highest = m_samples.back().highest[pool];
        highest = std::max(highest, milliCores);
        if (milliCores > 0)
            m_highest[pool] = std::max(m_highest[pool], milliCores);
    }
}

void DemandHistory::noteLeader(Millis now)
{
    const auto& demand = m_samples.back().highest;
    auto largest = std::max_element(
        demand.begin(), demand.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    if (largest == demand.end() || largest->second <= 0 || largest->first == m_leader)
        return;
    auto leading = demand.find(m_leader);
    if (leading != demand.end()
        && static_cast<double>(largest->second) < leadFactor * static_cast<double>(leading->second))
        return;
    m_leader = largest->first;
    m_ledAt[m_leader] = now;
    if (m_first.empty()) {
        m_first = m_leader;
        m_firstLedAt = now;
    } else if (m_leader == m_first && haveAllLed() && now >= m_firstLedAt + minRotation) {
        m_rotation = now - m_firstLedAt;
        m_firstLedAt = now;
        m_ledInRotation.clear();
    }
    m_ledInRotation[m_leader] = now;
}

bool DemandHistory::haveAllLed() const
{
    return m_highest.size() > 1 && std::all_of(m_highest.begin(), m_highest.end(), [this](const auto& entry) {
        return m_ledInRotation.count(entry.first) != 0;
    });
}

bool DemandHistory::isComplete(Millis now) const
{
    return m_rotation.count > 0 || (!m_samples.empty() && now >= m_startedAt + maxObservation);
}

bool DemandHistory::isPeakDue(const std::string& pool, Millis before) const
{
    auto led = m_ledAt.find(pool);
    if (m_rotation.count == 0 || led == m_ledAt.end() || pool == m_leader)
        return true;
    return led->second + m_rotation < before;
}

} // namespace celeryline
