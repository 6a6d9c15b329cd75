#include "celeryline/jobs/RunProgress.h"

#include <algorithm>
#include <map>
#include <utility>

namespace celeryline {
namespace {

constexpr std::int64_t wholeRun = 100;
/// Progress comes in whole percents; over a shorter time its speed is too inexact.
constexpr Millis shortestObservation { 200 };
/// So many different steps must have been slow on a runner.
constexpr std::size_t fewestSteps = 2;

double median(std::vector<double> values)
{
    auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/// A step of a job, as TaskName without an index.
TaskName stepOf(const RunName& run)
{
    auto step = run.task;
    step.index = 0;
    return step;
}

bool standsStill(const ObservedRun& run, const OverdueLimits& limits)
{
    return run.progress.heardAt >= run.progress.advancedAt + limits.stillAfter;
}

/// How long runs take on a runner, against the callers' estimates.
struct RunnerSpeed {
    std::string pool;
    double factor = 1; ///< Duration divided by the estimate, in the middle of the steps that run there.
    std::size_t steps = 0; ///< Different steps that were seen.
};

using RunnerSpeeds = std::map<RunnerLife, RunnerSpeed>;

RunnerSpeeds measureSpeeds(const std::vector<ObservedRun>& runs)
{
    RunnerSpeeds speeds;
    std::map<RunnerLife, std::map<TaskName, std::vector<double>>> factors;
    for (const auto& run : runs) {
        auto duration = projectedDuration(run.progress);
        if (!duration || run.estimate <= Millis {})
            continue;
        auto factor = static_cast<double>(duration->count) / static_cast<double>(run.estimate.count);
        factors[run.life][stepOf(run.run)].push_back(factor);
        speeds[run.life].pool = run.pool;
    }
    for (const auto& [life, steps] : factors) {
        std::vector<double> ofSteps;
        for (const auto& [step, values] : steps)
            ofSteps.push_back(median(values));
        speeds[life].steps = ofSteps.size();
        speeds[life].factor = median(ofSteps);
    }
    return speeds;
}

/// @return the factor on the other runners of a pool; 1 if nothing was seen there.
double factorElsewhere(const RunnerSpeeds& speeds, const std::string& pool, const RunnerLife& life)
{
    std::vector<double> factors;
    for (const auto& [other, speed] : speeds) {
        if (speed.pool == pool && other != life)
            factors.push_back(speed.factor);
    }
    return factors.empty() ? 1 : median(factors);
}

bool isSlow(const RunnerSpeeds& speeds, const RunnerLife& life, const OverdueLimits& limits)
{
    auto found = speeds.find(life);
    if (found == speeds.end() || found->second.steps < fewestSteps)
        return false;
    return found->second.factor >= limits.slowFactor * factorElsewhere(speeds, found->second.pool, life);
}

} // namespace

RunProgress noteProgress(const std::optional<RunProgress>& before, std::int64_t percent, Millis now)
{
    if (!before)
        return { now, percent, now, percent, now };
    auto progress = *before;
    progress.heardAt = now;
    if (percent > progress.percent) {
        progress.percent = percent;
        progress.advancedAt = now;
    }
    return progress;
}

std::optional<Millis> projectedDuration(const RunProgress& progress)
{
    auto gained = progress.percent - progress.seenPercent;
    auto took = progress.heardAt - progress.seenAt;
    if (gained <= 0 || took < shortestObservation)
        return std::nullopt;
    return Millis { took.count * wholeRun / gained };
}

std::vector<OverdueRun> findOverdueRuns(const std::vector<ObservedRun>& runs, const OverdueLimits& limits)
{
    auto speeds = measureSpeeds(runs);
    std::vector<OverdueRun> overdue;
    for (const auto& run : runs) {
        if (standsStill(run, limits)) {
            overdue.push_back({ run.run, run.life, OverdueCause::StandsStill });
            continue;
        }
        auto duration = projectedDuration(run.progress);
        if (!duration || !isSlow(speeds, run.life, limits))
            continue;
        Millis left { duration->count * (wholeRun - run.progress.percent) / wholeRun };
        auto expected = factorElsewhere(speeds, run.pool, run.life) * static_cast<double>(run.estimate.count);
        if (static_cast<double>(left.count) > expected)
            overdue.push_back({ run.run, run.life, OverdueCause::SlowRunner });
    }
    return overdue;
}

} // namespace celeryline
