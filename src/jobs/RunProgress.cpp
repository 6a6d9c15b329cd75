#include "celeryline/jobs/RunProgress.h"

#include <algorithm>
#include <map>
#include <utility>

namespace celeryline {
namespace {

constexpr std::int64_t fullProgress = 100;
/// Progress is reported in whole percents; over a shorter time the speed is too inexact.
constexpr Millis minObservation { 200 };
/// A run is stalled when it takes this many times as long for a percent as it should.
constexpr std::int64_t stallFactor = 10;
/// Minimum number of different steps that must be slow on a runner.
constexpr std::size_t minSteps = 2;

double median(std::vector<double> values)
{
    auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/// @return the step of a run, as a TaskName without an index.
TaskName stepOf(const RunName& run)
{
    auto step = run.task;
    step.index = 0;
    return step;
}

/// @return the time for one percent, by the estimate or by the progress so far, whichever is longer.
Millis timePerPercent(const ObservedRun& run)
{
    Millis expected { run.estimate.count / fullProgress };
    auto gained = run.progress.percent - run.progress.firstPercent;
    if (gained <= 0)
        return expected;
    Millis observed { (run.progress.lastProgressAt - run.progress.firstSeenAt).count / gained };
    return std::max(expected, observed);
}

bool isStalled(const ObservedRun& run, const OverdueLimits& limits)
{
    Millis slowPercent { stallFactor * timePerPercent(run).count };
    auto timeout = std::max(limits.stallTimeout, slowPercent);
    return run.progress.lastReportAt >= run.progress.lastProgressAt + timeout;
}

/// Speed of a runner relative to the callers' estimates.
struct RunnerSpeed {
    std::string pool;
    double factor = 1; ///< Median over the steps of duration divided by estimate.
    std::size_t steps = 0; ///< Number of different steps observed.
};

using RunnerSpeeds = std::map<RunnerIncarnation, RunnerSpeed>;

RunnerSpeeds measureSpeeds(const std::vector<ObservedRun>& runs)
{
    RunnerSpeeds speeds;
    std::map<RunnerIncarnation, std::map<TaskName, std::vector<double>>> factors;
    for (const auto& run : runs) {
        auto duration = projectedDuration(run.progress);
        if (!duration || run.estimate <= Millis {})
            continue;
        auto factor = static_cast<double>(duration->count) / static_cast<double>(run.estimate.count);
        factors[run.incarnation][stepOf(run.run)].push_back(factor);
        speeds[run.incarnation].pool = run.pool;
    }
    for (const auto& [incarnation, steps] : factors) {
        std::vector<double> stepFactors;
        for (const auto& [step, values] : steps)
            stepFactors.push_back(median(values));
        speeds[incarnation].steps = stepFactors.size();
        speeds[incarnation].factor = median(stepFactors);
    }
    return speeds;
}

/// Speed factors per pool, for a comparison of each runner with the others in logarithmic time.
class PoolSpeeds {
public:
    explicit PoolSpeeds(const RunnerSpeeds& speeds)
    {
        for (const auto& [incarnation, speed] : speeds)
            m_factors[speed.pool].push_back(speed.factor);
        for (auto& [pool, factors] : m_factors)
            std::sort(factors.begin(), factors.end());
    }

    /// @param pool a pool.
    /// @param own speed of the runner to compare; null if unknown.
    /// @return the median factor of the pool's other runners; 1 if there is none.
    double medianOfOthers(const std::string& pool, const RunnerSpeed* own) const
    {
        auto found = m_factors.find(pool);
        if (found == m_factors.end())
            return 1;
        const auto& factors = found->second;
        if (own == nullptr)
            return factors[(factors.size() - 1) / 2];
        if (factors.size() == 1)
            return 1;
        auto middle = (factors.size() - 2) / 2;
        auto position = static_cast<std::size_t>(
            std::lower_bound(factors.begin(), factors.end(), own->factor) - factors.begin());
        return factors[middle < position ? middle : middle + 1];
    }

private:
    std::map<std::string, std::vector<double>> m_factors; ///< Sorted.
};

const RunnerSpeed* findSpeed(const RunnerSpeeds& speeds, const RunnerIncarnation& incarnation)
{
    auto found = speeds.find(incarnation);
    return found == speeds.end() ? nullptr : &found->second;
}

bool isSlow(const RunnerSpeed* speed, const PoolSpeeds& pools, const OverdueLimits& limits)
{
    return speed != nullptr && speed->steps >= minSteps
        && speed->factor >= limits.slowFactor * pools.medianOfOthers(speed->pool, speed);
}

} // namespace

RunProgress updateProgress(const std::optional<RunProgress>& before, std::int64_t percent, Millis now)
{
    if (!before)
        return { now, percent, now, percent, now };
    auto progress = *before;
    progress.lastReportAt = now;
    if (percent > progress.percent) {
        progress.percent = percent;
        progress.lastProgressAt = now;
    }
    return progress;
}

std::optional<Millis> projectedDuration(const RunProgress& progress)
{
    auto gained = progress.percent - progress.firstPercent;
    auto elapsed = progress.lastReportAt - progress.firstSeenAt;
    if (gained <= 0 || elapsed < minObservation)
        return std::nullopt;
    return Millis { elapsed.count * fullProgress / gained };
}

std::vector<OverdueRun> findOverdueRuns(const std::vector<ObservedRun>& runs, const OverdueLimits& limits)
{
    auto speeds = measureSpeeds(runs);
    PoolSpeeds pools(speeds);
    std::vector<OverdueRun> overdue;
    for (const auto& run : runs) {
        if (isStalled(run, limits)) {
            overdue.push_back({ run.run, run.incarnation, OverdueCause::Stalled });
            continue;
        }
        auto duration = projectedDuration(run.progress);
        const auto* speed = findSpeed(speeds, run.incarnation);
        if (!duration || !isSlow(speed, pools, limits))
            continue;
        Millis remaining { duration->count * (fullProgress - run.progress.percent) / fullProgress };
        auto expected = pools.medianOfOthers(run.pool, speed) * static_cast<double>(run.estimate.count);
        if (static_cast<double>(remaining.count) > expected)
            overdue.push_back({ run.run, run.incarnation, OverdueCause::SlowRunner });
    }
    return overdue;
}

} // namespace celeryline
