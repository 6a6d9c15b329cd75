#include "celeryline/decisions/MovePlan.h"

#include "celeryline/base/Invariant.h"

#include <algorithm>
#include <cmath>

namespace celeryline {

namespace {

/// The lasting balance of a pool: positive is surplus, negative is shortage, in whole instances.
struct Balance {
    const PoolLoad* pool;
    int instances;
};

int lastingBalance(const PoolLoad& pool, Millis now, Millis hysteresis)
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
    // Rounded down: a fraction of an instance is no reason to move a whole one.
    return -static_cast<int>(std::floor(std::max(0.0, least - pool.instances)));
}

} // namespace

Millis moveHysteresis(const MaintenanceSettings& settings)
{
    double weights = settings.bufferCostWeight + settings.rollOutTimeWeight + settings.movesWeight;
    double part = weights > 0 ? settings.movesWeight / weights : 0;
    auto twoMoves = 2 * (settings.drainTimeout.count + settings.rebootTimeout.count);
    return { twoMoves + static_cast<std::int64_t>(static_cast<double>(twoMoves) * part) };
}

MoveDecision planMoves(const std::vector<PoolLoad>& pools, Millis now, const MaintenanceSettings& settings)
{
    auto hysteresis = moveHysteresis(settings);
    std::vector<Balance> givers;
    std::vector<Balance> takers;
    for (const auto& pool : pools) {
        int balance = lastingBalance(pool, now, hysteresis);
        if (balance > 0) {
            givers.push_back({ &pool, balance });
        } else if (balance < 0) {
            takers.push_back({ &pool, -balance });
        }
    }
    auto larger = [](const Balance& a, const Balance& b) { return a.instances > b.instances; };
    std::stable_sort(givers.begin(), givers.end(), larger);
    std::stable_sort(takers.begin(), takers.end(), larger);
    MoveDecision decision;
    auto giver = givers.begin();
    for (auto& taker : takers) {
        while (taker.instances > 0 && giver != givers.end()) {
            int count = std::min(taker.instances, giver->instances);
            decision.moves.push_back({ giver->pool->pool, taker.pool->pool, count,
                taker.pool->pool + " was short of " + std::to_string(taker.instances) + " and "
                    + giver->pool->pool + " had " + std::to_string(giver->instances) + " to spare for "
                    + std::to_string(hysteresis.count / 1000) + " s" });
            taker.instances -= count;
            giver->instances -= count;
            invariant(giver->instances >= 0, "a pool gives no more instances than it has to spare");
            if (giver->instances == 0) {
                ++giver;
            }
        }
        if (taker.instances > 0) {
            decision.declined.push_back(taker.pool->pool + " is short of " + std::to_string(taker.instances)
                + ", but no pool had instances to spare for " + std::to_string(hysteresis.count / 1000)
                + " s within its budget");
        }
    }
    return decision;
}

} // namespace celeryline
