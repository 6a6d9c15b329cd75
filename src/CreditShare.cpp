#include "celeryline/CreditShare.h"

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

CreditShare::CreditShare(std::string instance, Millis settle, Millis now)
    : m_instance(std::move(instance))
    , m_settle(settle)
    , m_lastView(now)
{
}

void CreditShare::onView(Millis now, const std::vector<std::string>& live)
{
    if (!isFresh(now)) {
        m_older.push_back({ {}, now });
    }
    m_lastView = now;
    while (!m_older.empty() && m_older.front().replaced + m_settle <= now) {
        m_older.pop_front();
    }
    if (live != m_live) {
        m_older.push_back({ std::move(m_live), now });
        m_live = live;
    }
}

std::uint32_t CreditShare::allowance(const std::string& runner, std::uint32_t slots) const
{
    auto least = shareOf(runner, slots, m_instance, m_live);
    for (const auto& view : m_older) {
        least = std::min(least, shareOf(runner, slots, m_instance, view.live));
    }
    return least;
}

} // namespace celeryline
