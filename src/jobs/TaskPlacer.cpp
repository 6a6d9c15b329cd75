#include "celeryline/jobs/TaskPlacer.h"

#include "celeryline/jobs/TaskFit.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace celeryline {
namespace {

/// Limit on eligible runners that are examined in search of one in the job's data centre.
constexpr int maxDataCentreSearch = 16;

/// @return how many tasks of a step wait.
std::int64_t waitingTasks(const StepState& step)
{
    return static_cast<std::int64_t>(step.tasks.size()) - step.done - step.active;
}

/// @return whether a runner may take another task of a step.
bool isAllowed(const StepSpec& spec, const PlacementCandidate& candidate, std::int64_t tasksHere)
{
    return checkDemand(spec, candidate, tasksHere) == WaitReason::HasRoom;
}

bool isSameStep(const TaskName& a, const TaskName& b)
{
    return a.job == b.job && a.occurrence == b.occurrence && a.step == b.step;
}

/// Chooses a rack for a step whose tasks run slower when spread over several racks.
/// @param step state of the step; a rack where it already runs is kept.
/// @param pool candidates of the pool.
/// @return the rack with the tightest fit for all waiting tasks, or else the one that fits most of them.
std::string chooseRack(const StepSpec& spec, const StepState& step, const CandidatePool& pool)
{
    auto onRunner = tasksByRunner(step);
    auto waiting = waitingTasks(step);
    std::map<std::string, std::int64_t> fitting;
    for (const auto* candidate : pool) {
        if (candidate->rack.empty())
            continue;
        if (onRunner.count(candidate->incarnation.runner) != 0)
            return candidate->rack;
        fitting[candidate->rack] += tasksThatFit(spec, *candidate, 0, waiting);
    }
    std::string best;
    std::int64_t bestCount = 0;
    for (const auto& [rack, count] : fitting) {
        bool isBetter = bestCount >= waiting ? count >= waiting && count < bestCount : count > bestCount;
        if (isBetter) {
            best = rack;
            bestCount = count;
        }
    }
    return best;
}

} // namespace

TaskPlacer::TaskPlacer(
    const JobStore& store, CandidateIndex& candidates, const PlacementHints& hints, const AdviceCheck& advice)
    : m_store(store)
    , m_candidates(candidates)
    , m_hints(hints)
    , m_advice(advice)
    , m_quota(store.customerUses())
{
}

bool TaskPlacer::isExcluded(const std::string& service, const StartableJob& job)
{
    if (isWithoutRoom(service, job.minDemand))
        return true;
    if (m_quota.fits(job.customer, job.minQuotaDemand, 1))
        return false;
    m_quota.waitFor(job.customer, job.minQuotaDemand, 1);
    return true;
}

bool TaskPlacer::isWithoutRoom(const std::string& service, const Resources& minDemand) const
{
    const auto& pool = m_candidates.pool(service);
    return pool.lower_bound(minDemand.cpuMilli) == pool.end() || isKnownUnplaceable(service, "", minDemand);
}

PlaceResult TaskPlacer::placeJob(const JobState& job, const QueueSettings& queue)
{
    if (queue.needsAdvice && !m_advice.isAdvised)
        return PlaceResult::NoRoom;
    m_needsAdvice = queue.needsAdvice;
    m_customer = job.customer;
    m_dataCentre = dataCentreOf(job);
    m_firstStart = m_starts.size();
    bool hasSearched = false;
    for (const auto& [occurrence, steps] : job.occurrences) {
        for (std::size_t i = 0; i < steps.size(); ++i) {
            const auto& spec = job.spec.steps[i];
            bool hasWaiting = steps[i].done + steps[i].active < steps[i].tasks.size();
            if (!hasWaiting || isWithoutRoom(queue.service, reservedBy(spec))
                || isKnownUnplaceable(queue.service, spec.requiredLabel, reservedBy(spec)))
                continue;
            if (isStepReady(job.spec.steps, steps, i)) {
                TaskName first { job.spec.id, occurrence, static_cast<std::uint32_t>(i), 0 };
                // Without a search, because hundreds of such steps must not hide those with tickets.
                if (m_needsAdvice && !m_advice.hasTicket(first))
                    continue;
                // Jobs of a customer at its limit must not hide those of others either.
                if (!fitsQuota(spec, steps[i]))
                    continue;
                // The tasks of a job that is resumed may all have been placed before.
                hasSearched = hasSearched || keptStarts(first) == nullptr;
                if (!placeStep(spec, steps[i], first, queue.service)) {
                    keepStarts();
                    return PlaceResult::AtShare;
                }
            }
        }
    }
    return hasSearched && m_starts.size() == m_firstStart ? PlaceResult::NoRoom : PlaceResult::Done;
}

bool TaskPlacer::isAtShare() const
{
    // Customers of weight 0 come last and aren't interrupted.
    return m_shares != nullptr && !std::isinf(m_stopLevel) && m_starts.size() != m_firstStart
        && m_shares->level(m_customer) >= m_stopLevel;
}

void TaskPlacer::keepStarts()
{
    for (auto i = m_firstStart; i < m_starts.size(); ++i) {
        auto step = m_starts[i].run.task;
        step.index = 0;
        m_keptStarts[step].push_back(i);
    }
}

const std::vector<std::size_t>* TaskPlacer::keptStarts(const TaskName& step) const
{
    auto found = m_keptStarts.find(step);
    return found == m_keptStarts.end() ? nullptr : &found->second;
}

void TaskPlacer::placeSpeculative(const TaskName& name)
{
    const auto* job = m_store.findJob(name.job);
    const auto* spec = m_store.findStep(name);
    const auto* task = m_store.findTask(name);
    if (job == nullptr || spec == nullptr || task == nullptr || task->isDone || task->runs.size() != 1)
        return;
    const auto* queue = findQueue(m_store.configuration(), job->spec.queue);
    if (queue == nullptr || queue->needsAdvice)
        return;
    m_needsAdvice = false;
    m_customer = job->customer;
    m_shares = nullptr;
    if (!m_quota.fits(m_customer, quotaDemandOf(*spec), 1))
        return;
    m_rack.clear();
    m_dataCentre.clear();
    auto onRunner = tasksByRunner(job->occurrences.at(name.occurrence)[name.step]);
    for (const auto& start : m_starts) {
        if (isSameStep(start.run.task, name))
            ++onRunner[start.incarnation.runner];
    }
    const auto* candidate = chooseRunner(*spec, name, m_candidates.pool(queue->service), onRunner);
    if (candidate == nullptr || candidate->incarnation == task->runs.front().incarnation)
        return;
    addStart(*spec, { name, task->lastRun + 1 }, *candidate);
}

bool TaskPlacer::isKnownUnplaceable(
    const std::string& service, const std::string& label, const Resources& reservation) const
{
    if (m_unplaceable.empty())
        return false; // Without copies of the names: a plan asks this for each job of a backlog.
    auto unplaceable = m_unplaceable.find({ service, label });
    return unplaceable != m_unplaceable.end() && unplaceable->second.excludes(reservation);
}

bool TaskPlacer::dependsOnCapacityOnly(const StepSpec& spec, const TaskName& name, bool isFirst) const
{
    return (spec.maxPerRunner == 0 || isFirst) && !m_needsAdvice && m_hints.failedOn.count(name) == 0;
}

bool TaskPlacer::fitsQuota(const StepSpec& spec, const StepState& step)
{
    // Such a gang waits for its own runs to end.
    if (spec.isGang && step.active > 0)
        return true;
    auto count = spec.isGang ? waitingTasks(step) : 1;
    if (m_quota.fits(m_customer, quotaDemandOf(spec), count))
        return true;
    m_quota.waitFor(m_customer, quotaDemandOf(spec), count);
    return false;
}

bool TaskPlacer::placeStep(
    const StepSpec& spec, const StepState& step, TaskName name, const std::string& service)
{
    const auto& pool = m_candidates.pool(service);
    const auto* kept = keptStarts(name);
    // A gang restarts only after all runs of its earlier start have ended.
    if (spec.isGang && (step.active > 0 || kept != nullptr))
        return true;
    if (isAtShare())
        return false;
    bool isSpread = spec.maxPerRunner != 0 || spec.isLongRunning;
    auto onRunner = isSpread ? tasksByRunner(step) : std::map<std::string, std::uint32_t> {};
    std::uint32_t lastRun = 0;
    for (const auto& task : step.tasks)
        lastRun = std::max(lastRun, task.lastRun);
    m_rack = spec.sameRack ? chooseRack(spec, step, pool) : std::string();
    std::set<std::uint32_t> isKept;
    if (kept != nullptr) {
        for (auto i : *kept) {
            const auto& start = m_starts[i];
            isKept.insert(start.run.task.index);
            if (isSpread)
                ++onRunner[start.incarnation.runner];
        }
        if (spec.sameRack)
            m_rack = m_candidates.find(m_starts[kept->front()].incarnation.runner)->rack;
    }
    auto firstStart = m_starts.size();
    std::vector<PlacementCandidate> candidatesBefore;
    for (name.index = 0; name.index < step.tasks.size(); ++name.index) {
        const auto& task = step.tasks[name.index];
        if (task.isDone || !task.runs.empty() || isKept.count(name.index) != 0)
            continue;
        if (!spec.isGang && isAtShare())
            return false;
        if (!spec.isGang && !m_quota.fits(m_customer, quotaDemandOf(spec), 1))
            return true; // The rest of the step follows when runs of the customer have ended.
        const auto* candidate = chooseRunner(spec, name, pool, onRunner);
        if (candidate != nullptr) {
            if (spec.isGang)
                candidatesBefore.push_back(*candidate);
            if (isSpread)
                ++onRunner[candidate->incarnation.runner];
            // The tasks of a gang share one run number.
            auto run = (spec.isGang ? lastRun : task.lastRun) + 1;
            addStart(spec, { name, run }, *candidate);
        } else if (spec.isGang) {
            withdrawStarts(spec, firstStart, candidatesBefore);
            return true;
        } else if (m_hints.failedOn.count(name) == 0) {
            bool isFirst = step.active == 0 && kept == nullptr && m_starts.size() == firstStart;
            if (dependsOnCapacityOnly(spec, name, isFirst))
                m_unplaceable[{ service, spec.requiredLabel }].add(reservedBy(spec));
            return true; // The other tasks of the step have the same demand.
        }
    }
    return true;
}

void TaskPlacer::addStart(const StepSpec& spec, const RunName& run, const PlacementCandidate& candidate)
{
    m_starts.push_back({ run, candidate.incarnation });
    if (m_dataCentre.empty() && !spec.isLongRunning)
        m_dataCentre = candidate.dataCentre;
    m_candidates.reserve(candidate, spec);
    m_quota.add(m_customer, quotaDemandOf(spec));
    if (m_shares != nullptr)
        m_shares->add(m_customer, reservedBy(spec));
}

void TaskPlacer::withdrawStarts(
    const StepSpec& spec, std::size_t first, const std::vector<PlacementCandidate>& candidatesBefore)
{
    for (auto i = first; i < m_starts.size(); ++i) {
        m_quota.subtract(m_customer, quotaDemandOf(spec));
        if (m_shares != nullptr)
            m_shares->subtract(m_customer, reservedBy(spec));
    }
    m_starts.resize(first);
    for (auto before = candidatesBefore.rbegin(); before != candidatesBefore.rend(); ++before)
        m_candidates.restore(*before);
}

std::string TaskPlacer::dataCentreOf(const JobState& job) const
{
    for (const auto& [occurrence, steps] : job.occurrences) {
        for (std::size_t i = 0; i < steps.size(); ++i) {
            if (steps[i].active == 0 || job.spec.steps[i].isLongRunning)
                continue;
            for (const auto& task : steps[i].tasks) {
                const auto* candidate
                    = task.runs.empty() ? nullptr : m_candidates.find(task.runs.front().incarnation.runner);
                if (candidate != nullptr)
                    return candidate->dataCentre;
            }
        }
    }
    return "";
}

const FailureTimes* TaskPlacer::failuresOf(const TaskName& name) const
{
    auto found = m_hints.failedOn.find(name);
    return found == m_hints.failedOn.end() ? nullptr : &found->second;
}

const PlacementCandidate* TaskPlacer::chooseRunner(const StepSpec& spec, const TaskName& name,
    const CandidatePool& pool, const std::map<std::string, std::uint32_t>& onRunner) const
{
    const PlacementCandidate* best = nullptr;
    const PlacementCandidate* elsewhere = nullptr; // The best fit outside the job's data centre.
    int examined = 0;
    const auto* failures = failuresOf(name);
    using Key = std::tuple<bool, std::uint32_t, bool, bool, bool, std::int64_t, std::int64_t>;
    Key bestKey;
    // Candidates are sorted by free CPU, so the first eligible one is the best fit.
    bool isFirstBest = !spec.isLongRunning && spec.dataRack.empty() && m_rack.empty();
    for (auto it = pool.lower_bound(reservedBy(spec).cpuMilli); it != pool.end(); ++it) {
        const auto* candidate = *it;
        auto held = onRunner.find(candidate->incarnation.runner);
        std::int64_t tasksHere = held == onRunner.end() ? 0 : held->second;
        if (!isAllowed(spec, *candidate, tasksHere))
            continue;
        if (m_needsAdvice && !m_advice.isAdvised(name, candidate->incarnation.runner))
            continue;
        bool hasFailed = hasFailedOn(failures, candidate->incarnation.runner);
        if (hasFailed && mustAvoid(*failures, m_hints.now, spec, candidate->incarnation.runner, pool))
            continue;
        if (isFirstBest && !hasFailed && candidate->failuresInARow == 0) {
            if (m_dataCentre.empty() || candidate->dataCentre == m_dataCentre)
                return candidate;
            if (elsewhere == nullptr)
                elsewhere = candidate;
            if (++examined == maxDataCentreSearch)
                return elsewhere;
            continue;
        }
        bool isAwayFromData = !spec.dataRack.empty() && !hasLabel(*candidate, spec.dataRack);
        // Long-running tasks are packed on few runners, so that the machines of the others can move to
        // another pool.
        bool isUnused = spec.isLongRunning && candidate->longRunning == 0;
        bool isOffRack = !m_rack.empty() && candidate->rack != m_rack;
        bool isDue = spec.isLongRunning && m_hints.dueForUpkeep.count(candidate->incarnation.runner) != 0;
        Key key { hasFailed, candidate->failuresInARow, isDue, isAwayFromData || isUnused, isOffRack,
            spec.isLongRunning ? tasksHere : 0, candidate->free.cpuMilli };
        if (best == nullptr || key < bestKey) {
            best = candidate;
            bestKey = key;
        }
    }
    return elsewhere != nullptr ? elsewhere : best;
}

} // namespace celeryline
