#include "celeryline/jobs/FairShare.h"

#include <algorithm>
#include <limits>

namespace celeryline {
namespace {

double fractionOf(std::int64_t use, std::int64_t capacity)
{
    if (use <= 0)
        return 0;
    return static_cast<double>(use) / static_cast<double>(std::max<std::int64_t>(1, capacity));
}

} // namespace

double dominantFraction(const Resources& use, const Resources& capacity)
{
    return std::max(fractionOf(use.cpuMilli, capacity.cpuMilli), fractionOf(use.memoryMb, capacity.memoryMb));
}

double shareLevel(const Resources& use, const Resources& capacity, double weight)
{
    return weight > 0 ? dominantFraction(use, capacity) / weight : std::numeric_limits<double>::infinity();
}

double fullShareLevel(double totalWeight)
{
    return totalWeight > 0 ? 1 / totalWeight : std::numeric_limits<double>::infinity();
}

} // namespace celeryline
