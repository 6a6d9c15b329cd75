#include "celeryline/jobs/RunnerTable.h"

#include <algorithm>
#include <utility>

namespace celeryline {
namespace {

/// Assumed limit on how much slower a runner's clock runs than the local one.
constexpr std::int64_t clockDriftPercent = 2;
/// Allowance for rounding to milliseconds and for the time between two clock readings.
constexpr Millis leaseSafetyMargin { 100 };
/// A runner waits for the answer to a report before it sends the next one.
constexpr std::uint64_t maxReportsInFlight = 1;
/// Reports that a runner sent before it lost its lease arrive within this time.
constexpr Millis maxReportDelay { 5000 };
/// Time without a report after which a runner is removed; ids are rarely reused.
constexpr Millis silentRunnerRetention { 60000 };

/// @return the time after which a lease has certainly expired, whatever the runner's clock.
Millis worstCaseDuration(Millis lease)
{
    return Millis { lease.count * (100 + clockDriftPercent) / 100 } + leaseSafetyMargin;
}

std::map<RunName, RunProgress> progressAfter(
    const std::map<RunName, RunProgress>& before, const RunnerReport& report, Millis now)
{
    std::map<RunName, RunProgress> after;
    for (const auto& reported : report.running) {
        auto known = before.find(reported.run);
        std::optional<RunProgress> earlier;
        if (known != before.end())
            earlier = known->second;
        after[reported.run] = updateProgress(earlier, reported.percent, now);
    }
    return after;
}

} // namespace

void RunnerTable::reset(Millis now)
{
    m_runners.clear();
    m_newestOnMachine.clear();
    m_resetAt = now;
}

RunnerState* RunnerTable::accept(RunnerReport report, Millis lease, Millis now)
{
    auto& state = m_runners[report.incarnation.runner];
    bool isKnown = !state.report.incarnation.runner.empty();
    // Start times are wall times, and a clock may have been set back before the runner restarted.
    bool mayBeAlive = now < state.leaseExpiry + maxReportDelay;
    if (isKnown && mayBeAlive && report.incarnation.startTime < state.report.incarnation.startTime)
        return nullptr;
    if (isKnown && report.incarnation == state.report.incarnation && report.sequence <= state.report.sequence)
        return nullptr;
    if (isKnown && report.incarnation != state.report.incarnation)
        state = RunnerState {};
    state.progress = progressAfter(state.progress, report, now);
    noteMachine(report);
    state.report = std::move(report);
    ++state.reports;
    state.lastReportAt = now;
    state.lease = lease;
    // A shorter lease doesn't revoke a longer one granted before.
    state.leaseExpiry = std::max(state.leaseExpiry, now + worstCaseDuration(lease));
    if (state.reports > state.reportsWhenLeft + maxReportsInFlight)
        state.hasLeft = false;
    return &state;
}

void RunnerTable::noteMachine(const RunnerReport& report)
{
    if (report.machine.empty())
        return;
    auto& newest = m_newestOnMachine[report.machine];
    if (newest.runner.empty() || newest.startTime <= report.incarnation.startTime)
        newest = report.incarnation;
}

const RunnerState* RunnerTable::findOnMachine(const std::string& machine) const
{
    auto newest = m_newestOnMachine.find(machine);
    return newest == m_newestOnMachine.end() ? nullptr : find(newest->second);
}

void RunnerTable::markLeft(const std::string& runner, Millis now)
{
    auto found = m_runners.find(runner);
    if (found == m_runners.end())
        return;
    auto& state = found->second;
    state.hasLeft = true;
    state.leftAt = now;
    state.reportsWhenLeft = state.reports;
}

Millis RunnerTable::leaseExpiry(const RunnerIncarnation& incarnation) const
{
    auto found = m_runners.find(incarnation.runner);
    if (found != m_runners.end() && found->second.report.incarnation == incarnation)
        return found->second.leaseExpiry;
    // A newer incarnation ends an older one.
    if (found != m_runners.end() && incarnation.startTime < found->second.report.incarnation.startTime)
        return found->second.lastReportAt;
    return m_resetAt + worstCaseDuration(m_maxLease);
}

const RunnerState* RunnerTable::find(const RunnerIncarnation& incarnation) const
{
    auto found = m_runners.find(incarnation.runner);
    return found == m_runners.end() || found->second.report.incarnation != incarnation ? nullptr
                                                                                       : &found->second;
}

RunnerState* RunnerTable::find(const RunnerIncarnation& incarnation)
{
    return const_cast<RunnerState*>(static_cast<const RunnerTable*>(this)->find(incarnation));
}

void RunnerTable::removeSilent(Millis now)
{
    for (auto it = m_runners.begin(); it != m_runners.end();) {
        bool isSilent = now >= it->second.lastReportAt + silentRunnerRetention;
        it = isSilent ? m_runners.erase(it) : std::next(it);
    }
}

} // namespace celeryline
