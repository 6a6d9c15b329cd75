#include "celeryline/jobs/FillerPace.h"

#include <algorithm>

namespace celeryline {
namespace {

constexpr std::int64_t fullPace = 100;
/// Above this part of the limit the next rise would miss it.
constexpr double warningShare = 0.85;
/// Below this part of the limit there is room for more.
constexpr double calmShare = 0.7;
constexpr std::int64_t stepUp = 5;

} // namespace

std::int64_t nextFillerPace(std::int64_t percent, const ServingTail& tail)
{
    if (!tail.isKnown)
        return fullPace;
    if (tail.worstShare >= 1)
        return 0;
    if (tail.worstShare >= warningShare)
        return percent / 2;
    if (tail.worstShare < calmShare)
        return std::min(fullPace, percent + stepUp);
    return percent;
}

} // namespace celeryline
