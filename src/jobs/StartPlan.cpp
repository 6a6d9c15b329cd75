#include "celeryline/jobs/StartPlan.h"

#include "celeryline/jobs/RoomLimits.h"

#include "celeryline/jobs/TaskFit.h"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <tuple>
#include <utility>

namespace celeryline {
namespace {

/// After so many times its objective a job's result is of no use.
constexpr std::int64_t usefulObjectives = 3;
/// So many jobs of a queue may find no room before the plan passes over the queue's other jobs. Those that
/// need as much as a task that has just found none are not searched for, and don't count.
constexpr int longestSearch = 256;

/// @return how many tasks of a step each runner holds.
std::map<std::string, std::uint32_t> tasksByRunner(const StepState& step)
{
    std::map<std::string, std::uint32_t> onRunner;
    for (const auto& task : step.tasks) {
        for (const auto& run : task.runs)
            ++onRunner[run.life.runner];
    }
    return onRunner;
}

/// @return whether a runner may take one more task of a step.
bool isAllowed(const StepSpec& spec, const RunnerRoom& room, std::int64_t here)
{
    return checkDemand(spec, room, here) == WaitReason::HasRoom;
}

bool isSameStep(const TaskName& a, const TaskName& b)
{
    return a.job == b.job && a.occurrence == b.occurrence && a.step == b.step;
}

/// @return how many tasks of a step a runner has room for.
std::int64_t tasksThatFit(const StepSpec& spec, RunnerRoom room, std::int64_t most)
{
    std::int64_t count = 0;
    while (count < most && isAllowed(spec, room, count)) {
        room.free -= reservedBy(spec);
        ++count;
    }
    return count;
}

/// Chooses the rack for the tasks of a step that are slower on several racks.
/// @param step state of the step; a rack where it already runs is kept.
/// @param pool runners of the pool.
/// @return the rack that holds all waiting tasks most closely, else the one that holds most of them.
std::string chooseRack(const StepSpec& spec, const StepState& step, const RoomPool& pool)
{
    auto onRunner = tasksByRunner(step);
    std::int64_t waiting = static_cast<std::int64_t>(step.tasks.size()) - step.done - step.active;
    std::map<std::string, std::int64_t> fitting;
    for (const auto* room : pool) {
        if (room->rack.empty())
            continue;
        if (onRunner.count(room->life.runner) != 0)
            return room->rack;
        fitting[room->rack] += tasksThatFit(spec, *room, waiting);
    }
    std::string best;
    std::int64_t bestCount = 0;
    for (const auto& [rack, count] : fitting) {
        bool isCloser = bestCount >= waiting ? count >= waiting && count < bestCount : count > bestCount;
        if (isCloser) {
            best = rack;
            bestCount = count;
        }
    }
    return best;
}

/// Places the tasks of one step after the other.
class Planner {
public:
    Planner(const JobStore& store, RoomIndex& rooms, const StartHints& hints, const AdviceCheck& isAdvised)
        : m_store(store)
        , m_rooms(rooms)
        , m_hints(hints)
        , m_isAdvised(isAdvised)
    {
    }

    /// @param least the smallest reservation of a job, for each resource by itself.
    /// @return whether it is known that nothing of the job could start.
    bool isExcluded(const std::string& service, const Resources& least) const
    {
        const auto& pool = m_rooms.pool(service);
        return pool.lower_bound(least.cpuMilli) == pool.end() || isBeyondLimit(service, "", least);
    }

    /// Starts what it can of a job.
    /// @return whether it searched for room in vain.
    bool placeJob(const JobState& job, const QueueSettings& queue)
    {
        if (queue.needsAdvice && !m_isAdvised)
            return true;
        m_needsAdvice = queue.needsAdvice;
        auto startsBefore = m_starts.size();
        bool hasSearched = false;
        for (const auto& [occurrence, steps] : job.occurrences) {
            for (std::size_t i = 0; i < steps.size(); ++i) {
                const auto& spec = job.spec.steps[i];
                bool hasWaiting = steps[i].done + steps[i].active < steps[i].tasks.size();
                if (!hasWaiting || isExcluded(queue.service, reservedBy(spec))
                    || isBeyondLimit(queue.service, spec.requiredLabel, reservedBy(spec)))
                    continue;
                if (isStepReady(job.spec.steps, steps, i)) {
                    TaskName first { job.spec.id, occurrence, static_cast<std::uint32_t>(i), 0 };
                    placeStep(spec, steps[i], first, queue.service);
                    hasSearched = true;
                }
            }
        }
        return hasSearched && m_starts.size() == startsBefore;
    }

    /// Places a second run beside a slow one.
    void placeCopy(const TaskName& name)
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
        m_rack.clear();
        auto onRunner = tasksByRunner(job->occurrences.at(name.occurrence)[name.step]);
        for (const auto& start : m_starts) {
            if (isSameStep(start.run.task, name))
                ++onRunner[start.life.runner];
        }
        const auto* room = chooseRoom(*spec, name, m_rooms.pool(queue->service), onRunner);
        if (room == nullptr || room->life == task->runs.front().life)
            return;
        m_starts.push_back({ { name, task->lastRun + 1 }, room->life });
        m_rooms.reserve(*room, *spec);
    }

    std::vector<StartRun> takeStarts() { return std::move(m_starts); }

private:
    /// @return whether a reservation is known to find no room on the runners of a pool with a label.
    bool isBeyondLimit(
        const std::string& service, const std::string& label, const Resources& reservation) const
    {
        auto limits = m_limits.find({ service, label });
        return limits != m_limits.end() && limits->second.excludes(reservation);
    }

    /// @param isFirst whether the step holds nothing, so that its limit on one runner doesn't matter yet.
    /// @return whether each runner with the step's label and enough room may take a task of the step.
    bool needsOnlyRoom(const StepSpec& spec, const TaskName& name, bool isFirst) const
    {
        return (spec.maxPerRunner == 0 || isFirst) && !m_needsAdvice && m_hints.failedOn.count(name) == 0;
    }

    void placeStep(const StepSpec& spec, const StepState& step, TaskName name, const std::string& service)
    {
        const auto& pool = m_rooms.pool(service);
        // A gang starts again only when all members of the earlier start are gone.
        if (spec.isGang && step.active > 0)
            return;
        bool isSpread = spec.maxPerRunner != 0 || spec.isLongRunning;
        auto onRunner = isSpread ? tasksByRunner(step) : std::map<std::string, std::uint32_t> {};
        std::uint32_t lastRun = 0;
        for (const auto& task : step.tasks)
            lastRun = std::max(lastRun, task.lastRun);
        m_rack = spec.sameRack ? chooseRack(spec, step, pool) : std::string();
        auto firstStart = m_starts.size();
        std::vector<RunnerRoom> roomsBefore;
        for (name.index = 0; name.index < step.tasks.size(); ++name.index) {
            const auto& task = step.tasks[name.index];
            if (task.isDone || !task.runs.empty())
                continue;
            const auto* room = chooseRoom(spec, name, pool, onRunner);
            if (room != nullptr) {
                if (spec.isGang)
                    roomsBefore.push_back(*room);
                if (isSpread)
                    ++onRunner[room->life.runner];
                // The members of a gang share the number of their start.
                auto run = (spec.isGang ? lastRun : task.lastRun) + 1;
                m_starts.push_back({ { name, run }, room->life });
                m_rooms.reserve(*room, spec);
            } else if (spec.isGang) {
                m_starts.resize(firstStart);
                for (auto before = roomsBefore.rbegin(); before != roomsBefore.rend(); ++before)
                    m_rooms.restore(*before);
                return;
            } else if (m_hints.failedOn.count(name) == 0) {
                if (needsOnlyRoom(spec, name, step.active == 0 && m_starts.size() == firstStart))
                    m_limits[{ service, spec.requiredLabel }].add(reservedBy(spec));
                return; // The other tasks of the step need as much room.
            }
        }
    }

    /// @return when a task failed on each runner; null if it didn't fail.
    const FailureTimes* failuresOf(const TaskName& name) const
    {
        auto found = m_hints.failedOn.find(name);
        return found == m_hints.failedOn.end() ? nullptr : &found->second;
    }

    const RunnerRoom* chooseRoom(const StepSpec& spec, const TaskName& name, const RoomPool& pool,
        const std::map<std::string, std::uint32_t>& onRunner) const
    {
        const RunnerRoom* best = nullptr;
        const auto* failures = failuresOf(name);
        using Key = std::tuple<bool, std::uint32_t, bool, bool, std::int64_t, std::int64_t>;
        Key bestKey;
        // Rooms come in the order of what is free, so the first one that is allowed fits closest.
        bool isFirstBest = !spec.isLongRunning && spec.dataRack.empty() && m_rack.empty();
        for (auto it = pool.lower_bound(reservedBy(spec).cpuMilli); it != pool.end(); ++it) {
            const auto* room = *it;
            auto held = onRunner.find(room->life.runner);
            std::int64_t here = held == onRunner.end() ? 0 : held->second;
            if (!isAllowed(spec, *room, here))
                continue;
            if (m_needsAdvice && !m_isAdvised(name, room->life.runner))
                continue;
            bool hasFailed = hasFailedOn(failures, room->life.runner);
            if (hasFailed && mustAvoid(*failures, m_hints.now, spec, room->life.runner, pool))
                continue;
            if (isFirstBest && !hasFailed && room->failuresInARow == 0)
                return room;
            bool isFar = !spec.dataRack.empty() && !hasLabel(*room, spec.dataRack);
            // What lasts is gathered on few runners, so that the machines of the others can change their
            // pool.
            bool isApart = spec.isLongRunning && room->lasting == 0;
            bool isOffRack = !m_rack.empty() && room->rack != m_rack;
            Key key { hasFailed, room->failuresInARow, isFar || isApart, isOffRack,
                spec.isLongRunning ? here : 0, room->free.cpuMilli };
            if (best == nullptr || key < bestKey) {
                best = room;
                bestKey = key;
            }
        }
        return best;
    }

    const JobStore& m_store;
    RoomIndex& m_rooms;
    const StartHints& m_hints;
    const AdviceCheck& m_isAdvised;
    std::map<std::pair<std::string, std::string>, RoomLimits> m_limits; ///< By pool and required label.
    std::string m_rack; ///< For the step that is being placed; empty if any will do.
    bool m_needsAdvice = false; ///< Of the queue whose job is being placed.
    std::vector<StartRun> m_starts;
};

/// The jobs of one queue that could start something, as a range of JobStore::startableJobs().
struct QueueRange {
    const QueueSettings* queue = nullptr;
    const std::set<StartableJob>* jobs = nullptr;
    std::set<StartableJob>::const_iterator next;
    std::set<StartableJob>::const_iterator end;

    bool isEmpty() const { return next == end; }
};

/// Places the jobs of several queues in one order.
class JobOrder {
public:
    JobOrder(const JobStore& store, const RoomIndex& rooms, Planner& planner)
        : m_store(store)
        , m_planner(planner)
    {
        for (const auto& [key, jobs] : store.startableJobs()) {
            const auto* queue = findQueue(store.configuration(), key);
            if (queue != nullptr && !rooms.pool(queue->service).empty())
                m_queues.push_back({ queue, &jobs, jobs.begin(), jobs.end() });
        }
    }

    void placeAll(Millis wallNow)
    {
        for (auto& range : m_queues)
            range.end = range.jobs->lower_bound({ false, lowest, {}, {} });
        placeRanges();
        for (auto& range : m_queues) {
            range.next = range.jobs->lower_bound({ false, wallNow, {}, {} });
            range.end = range.jobs->end();
        }
        placeRanges();
        placeLate(wallNow);
    }

private:
    static constexpr Millis lowest { std::numeric_limits<std::int64_t>::min() };

    static bool isBefore(const QueueRange& a, const QueueRange& b)
    {
        return std::make_tuple(a.queue->priority, *a.next) < std::make_tuple(b.queue->priority, *b.next);
    }

    /// @return whether the queue's other jobs are still looked at.
    bool place(const QueueRange& range, const StartableJob& startable)
    {
        auto& misses = m_misses[range.queue->key];
        if (misses >= longestSearch)
            return false;
        // Known without a look at the job, so that a long backlog costs little.
        if (m_planner.isExcluded(range.queue->service, startable.least))
            return true;
        if (m_planner.placeJob(*m_store.findJob(startable.id), *range.queue))
            ++misses;
        return true;
    }

    void placeRanges()
    {
        for (;;) {
            QueueRange* first = nullptr;
            for (auto& range : m_queues) {
                if (!range.isEmpty() && (first == nullptr || isBefore(range, *first)))
                    first = &range;
            }
            if (first == nullptr)
                return;
            if (!place(*first, *first->next++))
                first->next = first->end;
        }
    }

    void placeLate(Millis wallNow)
    {
        std::vector<const QueueRange*> byPriority;
        for (const auto& range : m_queues)
            byPriority.push_back(&range);
        std::stable_sort(byPriority.begin(), byPriority.end(),
            [](const QueueRange* a, const QueueRange* b) { return a->queue->priority < b->queue->priority; });
        for (const auto* range : byPriority) {
            auto begin = range->jobs->lower_bound({ false, lowest, {}, {} });
            auto late = range->jobs->lower_bound({ false, wallNow, {}, {} });
            while (late != begin) {
                if (!place(*range, *--late))
                    break;
            }
        }
    }

    const JobStore& m_store;
    Planner& m_planner;
    std::vector<QueueRange> m_queues;
    std::map<std::string, int> m_misses; ///< Jobs that found no room, by queue.
};

} // namespace

JobLateness latenessOf(const JobState& job, Millis wallNow)
{
    if (isLongRunning(job))
        return JobLateness::InTime; // It has no end that could be late.
    auto end = wallNow + job.remaining - dueTime(job);
    if (end <= job.objective)
        return JobLateness::InTime;
    return end <= Millis { usefulObjectives * job.objective.count } ? JobLateness::Late
                                                                    : JobLateness::Expired;
}

bool hasRoomFor(
    const RoomIndex& rooms, const StepSpec& spec, const StepState& step, const std::string& service)
{
    auto onRunner = tasksByRunner(step);
    const auto& pool = rooms.pool(service);
    return std::any_of(pool.begin(), pool.end(),
        [&](const RunnerRoom* room) { return isAllowed(spec, *room, onRunner[room->life.runner]); });
}

std::vector<StartRun> planStarts(const JobStore& store, RoomIndex& rooms, Millis wallNow,
    const StartHints& hints, const AdviceCheck& isAdvised)
{
    Planner planner(store, rooms, hints, isAdvised);
    JobOrder(store, rooms, planner).placeAll(wallNow);
    for (const auto& task : hints.copies)
        planner.placeCopy(task);
    return planner.takeStarts();
}

} // namespace celeryline
