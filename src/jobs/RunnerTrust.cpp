#include "celeryline/jobs/RunnerTrust.h"

#include "celeryline/settings/EventLog.h"

#include <algorithm>

namespace celeryline {
namespace {

constexpr std::size_t keptAttempts = 20;
/// A quiet runner's record says nothing about what it does now.
constexpr Millis recordKept { 60000 };

/// Troubles of a runner are over within seconds on this scale, and a pool may lose many runners to one cause.
HealthSettings settings()
{
    HealthSettings settings;
    settings.quarantine = { 2500 };
    // Tasks that need a runner for themselves, or several at once, can't end a trial.
    settings.longestProbation = { 2500 };
    settings.maxQuarantinedPercent = 40;
    return settings;
}

const char* actionName(HealthAction action)
{
    switch (action) {
    case HealthAction::Keep:
        return "keep";
    case HealthAction::Quarantine:
        return "quarantine";
    case HealthAction::StartProbation:
        return "probation";
    case HealthAction::Release:
        return "release";
    }
    return "";
}

} // namespace

void RunnerTrust::note(
    const RunnerLife& life, const std::string& pool, const TaskName& step, bool hasFailed, Millis now)
{
    auto& judged = m_runners[life];
    judged.pool = pool;
    judged.record.worker = life.runner;
    judged.failuresInARow = hasFailed ? judged.failuresInARow + 1 : 0;
    JobAttempt attempt;
    attempt.job = step.job.text() + "." + std::to_string(step.step);
    attempt.failed = hasFailed;
    attempt.ended = now;
    auto& attempts = judged.record.attempts;
    bool isKnown = std::any_of(attempts.begin(), attempts.end(),
        [&](const JobAttempt& known) { return known.job == attempt.job && known.failed; });
    // A step that can't be done fails with all of its tasks, which often run side by side.
    if (hasFailed && isKnown)
        return;
    attempts.push_back(hasFailed ? compare(attempt, life) : attempt);
    if (attempts.size() > keptAttempts)
        attempts.erase(attempts.begin());
    if (hasFailed || judged.record.trust != WorkerTrust::Trusted)
        judge(life, judged, now);
}

JobAttempt RunnerTrust::compare(JobAttempt attempt, const RunnerLife& life) const
{
    for (const auto& [other, judged] : m_runners) {
        if (other == life)
            continue;
        for (const auto& known : judged.record.attempts) {
            if (known.job == attempt.job)
                ++(known.failed ? attempt.failedElsewhere : attempt.succeededElsewhere);
        }
    }
    return attempt;
}

void RunnerTrust::refresh(Millis now)
{
    for (auto it = m_runners.begin(); it != m_runners.end();) {
        bool isOld = now >= it->second.judgedAt + recordKept;
        if (!isOld && it->second.record.trust != WorkerTrust::Trusted)
            judge(it->first, it->second, now);
        it = isOld ? m_runners.erase(it) : std::next(it);
    }
}

int RunnerTrust::quarantinedIn(const std::string& pool) const
{
    return static_cast<int>(std::count_if(m_runners.begin(), m_runners.end(), [&](const auto& entry) {
        return entry.second.pool == pool && entry.second.record.trust == WorkerTrust::Quarantined;
    }));
}

void RunnerTrust::judge(const RunnerLife& life, Judged& judged, Millis now)
{
    auto& record = judged.record;
    judged.judgedAt = now;
    record.poolQuarantined = quarantinedIn(judged.pool);
    record.poolWorkers = static_cast<int>(std::count_if(m_runners.begin(), m_runners.end(),
        [&](const auto& entry) { return entry.second.pool == judged.pool; }));
    auto decision = judgeWorker(record, now, settings());
    if (decision.action == HealthAction::Keep)
        return;
    record.since = now;
    judged.failuresInARow = 0;
    if (decision.action == HealthAction::Quarantine) {
        // A failed probation makes the next quarantine twice as long.
        record.quarantines += record.trust == WorkerTrust::Probation ? 1 : 0;
        record.trust = WorkerTrust::Quarantined;
    } else {
        bool isReleased = decision.action == HealthAction::Release;
        record.trust = isReleased ? WorkerTrust::Trusted : WorkerTrust::Probation;
    }
    Event("runner-trust")
        .with("runner", life.runner)
        .with("born", life.born)
        .with("pool", judged.pool)
        .with("decision", actionName(decision.action))
        .with("reason", decision.reason)
        .writeAlways();
}

WorkerTrust RunnerTrust::trust(const RunnerLife& life) const
{
    auto found = m_runners.find(life);
    return found == m_runners.end() ? WorkerTrust::Trusted : found->second.record.trust;
}

Millis RunnerTrust::since(const RunnerLife& life) const
{
    auto found = m_runners.find(life);
    return found == m_runners.end() ? Millis {} : found->second.record.since;
}

std::uint32_t RunnerTrust::failuresInARow(const RunnerLife& life) const
{
    auto found = m_runners.find(life);
    return found == m_runners.end() ? 0 : found->second.failuresInARow;
}

} // namespace celeryline
