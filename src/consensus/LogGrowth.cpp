#include "celeryline/consensus/LogGrowth.h"

namespace celeryline::detail {

void recordLastIndex(LogGrowth& growth, const LogLength& current, Millis oldest)
{
    auto& samples = growth.samples;
    samples.push_back(current);
    while (samples.size() > 1 && samples[1].time <= oldest)
        samples.pop_front();
}

std::uint64_t lastIndexAt(const LogGrowth& growth, Millis time)
{
    std::uint64_t lastIndex = 0;
    for (const auto& sample : growth.samples) {
        if (sample.time > time)
            break;
        lastIndex = sample.lastIndex;
    }
    return lastIndex;
}

} // namespace celeryline::detail
