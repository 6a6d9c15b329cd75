#include "celeryline/jobs/BestEffortRate.h"

#include <algorithm>

namespace celeryline {
namespace {

constexpr std::int64_t fullRate = 100;
/// Above this ratio, a further increase would exceed the latency limit.
constexpr double reduceAbove = 0.85;
/// Below this ratio, the rate can increase.
constexpr double raiseBelow = 0.7;
constexpr std::int64_t rateIncrease = 5;

} // namespace

std::int64_t nextBestEffortRate(std::int64_t percent, const ServingLatency& tail)
{
    if (!tail.isKnown)
        return fullRate;
    if (tail.worstRatio >= 1)
        return 0;
    if (tail.worstRatio >= reduceAbove)
        return percent / 2;
    if (tail.worstRatio < raiseBelow)
        return std::min(fullRate, percent + rateIncrease);
    return percent;
}

} // namespace celeryline
