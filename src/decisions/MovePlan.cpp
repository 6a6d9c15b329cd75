#include "celeryline/decisions/MovePlan.h"

#include "celeryline/base/Invariant.h"

#include <algorithm>
#include <cmath>

namespace celeryline {

namespace {

/// A surplus or shortage of a pool in whole instances.
struct Balance {
    const PoolLoad* pool;
    int instances;
};

int sustainedBalance(const PoolLoad& pool, Millis now, Millis hysteresis)
{
    if (!pool.mayMove || pool.needs.empty() || now - pool.needs.front().at < hysteresis
        || (pool.lastMove.count >= 0 && now - pool.lastMove < hysteresis)) {
        return 0;
    }
    double least = pool.needs.back().instances;
    double most = least;
    for (const auto& sample : pool.needs) {
        if (now - sample.at <= hysteresis) {
            least = std::min(least, sample.instances);
            most = std::max(most, sample.instances);
        }
    }
    auto spare = static_cast<int>(std::floor(pool.instances - most));
    if (spare > 0) {
        return std::min(spare, std::max(0, pool.stoppable));
    }
    // Rounded down: a shortage of a fraction of an instance doesn't justify a move.
    return -static_cast<int>(std::floor(std::max(0.0, least - pool.instances)));
}

} // namespace

Millis moveHysteresis(const MaintenanceSettings& settings)
{
    double weights = settings.bufferCostWeight + settings.rollOutTimeWeight + settings.movesWeight;
    double movesFraction = weights > 0 ? settings.movesWeight / weights : 0;
    auto roundTripMs = 2 * (settings.drainTimeout.count + settings.rebootTimeout.count);
    return { roundTripMs + static_cast<std::int64_t>(static_cast<double>(roundTripMs) * movesFraction) };
}

MoveDecision planMoves(const std::vector<PoolLoad>& pools, Millis now, const MaintenanceSettings& settings)
{
    auto hysteresis = moveHysteresis(settings);
    std::vector<Balance> donors;
    std::vector<Balance> recipients;
    for (const auto& pool : pools) {
        int balance = sustainedBalance(pool, now, hysteresis);
        if (balance > 0) {
            donors.push_back({ &pool, balance });
        } else if (balance < 0) {
            recipients.push_back({ &pool, -balance });
        }
    }
    auto larger = [](const Balance& a, const Balance& b) { return a.instances > b.instances; };
    std::stable_sort(donors.begin(), donors.end(), larger);
    std::stable_sort(recipients.begin(), recipients.end(), larger);
    MoveDecision decision;
    auto donor = donors.begin();
    for (auto& recipient : recipients) {
        while (recipient.instances > 0 && donor != donors.end()) {
            int count = std::min(recipient.instances, donor->instances);
            decision.moves.push_back({ donor->pool->pool, recipient.pool->pool, count,
                recipient.pool->pool + " was short of " + std::to_string(recipient.instances) + " and "
                    + donor->pool->pool + " had " + std::to_string(donor->instances) + " to spare for "
                    + std::to_string(hysteresis.count / 1000) + " s" });
            recipient.instances -= count;
            donor->instances -= count;
            invariant(donor->instances >= 0, "a pool gives no more instances than it has to spare");
            if (donor->instances == 0) {
                ++donor;
            }
        }
        if (recipient.instances > 0) {
            decision.declined.push_back(recipient.pool->pool + " is short of "
                + std::to_string(recipient.instances) + ", but no pool had instances to spare for "
                + std::to_string(hysteresis.count / 1000) + " s within its budget");
        }
    }
    return decision;
}

} // namespace celeryline
