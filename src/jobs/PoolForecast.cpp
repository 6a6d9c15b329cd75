#include "celeryline/jobs/PoolForecast.h"

#include <cmath>

namespace celeryline {
namespace {

/// Tasks of mixed sizes leave gaps on the runners.
constexpr double usableFraction = 0.9;

std::optional<double> timeFor(double work, const PoolForecast& forecast, std::int64_t Resources::*amount)
{
    double time = 0;
    double rate = 0;
    for (const auto& step : forecast) {
        auto until = std::max(time, static_cast<double>(step.after.count));
        if (rate * (until - time) >= work)
            break;
        work -= rate * (until - time);
        time = until;
        rate += usableFraction * static_cast<double>(step.added.*amount);
    }
    if (work <= 0)
        return 0;
    return rate <= 0 ? std::nullopt : std::optional<double>(time + work / rate);
}

} // namespace

Resources finalCapacity(const PoolForecast& forecast)
{
    Resources total;
    for (const auto& step : forecast)
        total += step.added;
    return total;
}

std::optional<Millis> timeToComplete(const ResourceWork& work, const PoolForecast& forecast)
{
    auto cpu = timeFor(work.cpu, forecast, &Resources::cpuMilli);
    auto memory = timeFor(work.memory, forecast, &Resources::memoryMb);
    auto accelerators = timeFor(work.accelerators, forecast, &Resources::accelerators);
    if (!cpu || !memory || !accelerators)
        return std::nullopt;
    return Millis { static_cast<std::int64_t>(std::ceil(std::max({ *cpu, *memory, *accelerators }))) };
}

} // namespace celeryline
