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

/// Durations of runs against the callers' estimates, by runner, pool and step.
class Speeds {
public:
    explicit Speeds(const std::vector<ObservedRun>& runs)
    {
        std::map<RunnerLife, std::map<TaskName, std::vector<double>>> byStep;
        for (const auto& run : runs) {
            auto duration = projectedDuration(run.progress);
            if (!duration || run.estimate <= Millis {})
                continue;
            auto factor = static_cast<double>(duration->count) / static_cast<double>(run.estimate.count);
            byStep[run.life][stepOf(run.run)].push_back(factor);
            m_pools[run.pool][run.life] = 0;
        }
        for (auto& [life, steps] : byStep) {
            std::vector<double> factors;
            for (auto& [step, values] : steps)
                factors.push_back(median(values));
            m_stepCounts[life] = factors.size();
            m_runners[life] = median(factors);
        }
        for (auto& [pool, lives] : m_pools) {
            for (auto& [life, factor] : lives)
                factor = m_runners[life];
        }
    }

    /// @return duration against the estimate on the other runners of a pool; 1 if nothing was seen there.
    double elsewhere(const std::string& pool, const RunnerLife& life) const
    {
        std::vector<double> factors;
        auto found = m_pools.find(pool);
        if (found == m_pools.end())
            return 1;
        for (const auto& [other, factor] : found->second) {
            if (other != life)
                factors.push_back(factor);
        }
        return factors.empty() ? 1 : median(factors);
    }

    bool isSlow(const std::string& pool, const RunnerLife& life, const OverdueLimits& limits) const
    {
        auto steps = m_stepCounts.find(life);
        if (steps == m_stepCounts.end() || steps->second < fewestSteps)
            return false;
        return m_runners.at(life) >= limits.slowFactor * elsewhere(pool, life);
    }

private:
    std::map<std::string, std::map<RunnerLife, double>> m_pools;
    std::map<RunnerLife, double> m_runners;
    std::map<RunnerLife, std::size_t> m_stepCounts;
};

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
    Speeds speeds(runs);
    std::vector<OverdueRun> overdue;
    for (const auto& run : runs) {
        if (standsStill(run, limits)) {
            overdue.push_back({ run.run, run.life, OverdueCause::StandsStill });
            continue;
        }
        auto duration = projectedDuration(run.progress);
        if (!duration || !speeds.isSlow(run.pool, run.life, limits))
            continue;
        Millis left { duration->count * (wholeRun - run.progress.percent) / wholeRun };
        auto expected = speeds.elsewhere(run.pool, run.life) * static_cast<double>(run.estimate.count);
        if (static_cast<double>(left.count) > expected)
            overdue.push_back({ run.run, run.life, OverdueCause::SlowRunner });
    }
    return overdue;
}

} // namespace celeryline
