#include "celeryline/jobs/StartPlan.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace celeryline {
namespace {

/// After so many times its objective a job's result is of no use.
constexpr std::int64_t usefulObjectives = 3;

bool fits(const Resources& demand, const Resources& free)
{
    return demand.cpuMilli <= free.cpuMilli && demand.memoryMb <= free.memoryMb
        && demand.accelerators <= free.accelerators;
}

bool hasLabel(const RunnerRoom& room, const std::string& label)
{
    return std::find(room.labels.begin(), room.labels.end(), label) != room.labels.end();
}

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
    if (!fits(reservedBy(spec), room.free))
        return false;
    if (!spec.requiredLabel.empty() && !hasLabel(room, spec.requiredLabel))
        return false;
    return spec.maxPerRunner == 0 || here < spec.maxPerRunner;
}

void reserve(RunnerRoom& room, const Resources& demand)
{
    room.free.cpuMilli -= demand.cpuMilli;
    room.free.memoryMb -= demand.memoryMb;
    room.free.accelerators -= demand.accelerators;
}

/// @return how many tasks of a step a runner has room for.
std::int64_t tasksThatFit(const StepSpec& spec, RunnerRoom room, std::int64_t most)
{
    std::int64_t count = 0;
    while (count < most && isAllowed(spec, room, count)) {
        reserve(room, reservedBy(spec));
        ++count;
    }
    return count;
}

/// Chooses the rack for the tasks of a step that are slower on several racks.
/// @param step state of the step; a rack where it already runs is kept.
/// @param pool runners of the pool.
/// @return the rack that holds all waiting tasks most closely, else the one that holds most of them.
std::string chooseRack(const StepSpec& spec, const StepState& step, const std::vector<RunnerRoom*>& pool)
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
    Planner(const JobStore& store, std::vector<RunnerRoom> rooms, const StartHints& hints,
        const AdviceCheck& isAdvised)
        : m_store(store)
        , m_rooms(std::move(rooms))
        , m_hints(hints)
        , m_isAdvised(isAdvised)
    {
        for (auto& room : m_rooms)
            m_pools[room.service].push_back(&room);
    }

    void placeJob(const JobState& job)
    {
        const auto* queue = findQueue(m_store.configuration(), job.spec.queue);
        if (queue == nullptr)
            return;
        auto pool = m_pools.find(queue->service);
        if (pool == m_pools.end() || (queue->needsAdvice && !m_isAdvised))
            return;
        m_needsAdvice = queue->needsAdvice;
        for (const auto& [occurrence, steps] : job.occurrences) {
            for (std::size_t i = 0; i < steps.size(); ++i) {
                bool hasWaiting = steps[i].done + steps[i].active < steps[i].tasks.size();
                if (hasWaiting && isStepReady(job.spec.steps, steps, i)) {
                    TaskName first { job.spec.id, occurrence, static_cast<std::uint32_t>(i), 0 };
                    placeStep(job.spec.steps[i], steps[i], first, pool->second);
                }
            }
        }
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
        if (queue == nullptr || m_pools.count(queue->service) == 0 || queue->needsAdvice)
            return;
        m_needsAdvice = false;
        m_rack.clear();
        auto onRunner = tasksByRunner(job->occurrences.at(name.occurrence)[name.step]);
        auto* room = chooseRoom(*spec, name, m_pools[queue->service], onRunner);
        if (room == nullptr || room->life == task->runs.front().life)
            return;
        take(*room, *spec);
        m_starts.push_back({ { name, task->lastRun + 1 }, room->life });
    }

    std::vector<StartRun> takeStarts() { return std::move(m_starts); }

private:
    using Pool = std::vector<RunnerRoom*>;

    void placeStep(const StepSpec& spec, const StepState& step, TaskName name, const Pool& pool)
    {
        auto onRunner = tasksByRunner(step);
        std::uint32_t lastRun = 0;
        for (const auto& task : step.tasks)
            lastRun = std::max(lastRun, task.lastRun);
        // A gang starts again only when all members of the earlier start are gone.
        if (spec.isGang && step.active > 0)
            return;
        m_rack = spec.sameRack ? chooseRack(spec, step, pool) : std::string();
        auto firstStart = m_starts.size();
        auto roomsBefore = spec.isGang ? m_rooms : std::vector<RunnerRoom> {};
        for (name.index = 0; name.index < step.tasks.size(); ++name.index) {
            const auto& task = step.tasks[name.index];
            if (task.isDone || !task.runs.empty())
                continue;
            auto* room = chooseRoom(spec, name, pool, onRunner);
            if (room != nullptr) {
                take(*room, spec);
                ++onRunner[room->life.runner];
                // The members of a gang share the number of their start.
                auto run = (spec.isGang ? lastRun : task.lastRun) + 1;
                m_starts.push_back({ { name, run }, room->life });
            } else if (spec.isGang) {
                m_starts.resize(firstStart);
                std::copy(roomsBefore.begin(), roomsBefore.end(), m_rooms.begin());
                return;
            } else if (m_hints.failedOn.count(name) == 0) {
                return; // The other tasks of the step need as much room.
            }
        }
    }

    static void take(RunnerRoom& room, const StepSpec& spec)
    {
        reserve(room, reservedBy(spec));
        room.lasting += spec.isLongRunning ? 1 : 0;
        if (room.takesOneTask)
            room.free = {};
    }

    /// @return whether a task failed on a runner and could run on another one of the pool.
    bool mustAvoid(const StepSpec& spec, const TaskName& name, const RunnerRoom& room, const Pool& pool) const
    {
        auto failed = m_hints.failedOn.find(name);
        if (failed == m_hints.failedOn.end() || failed->second.count(room.life.runner) == 0)
            return false;
        return std::any_of(pool.begin(), pool.end(), [&](const RunnerRoom* other) {
            return failed->second.count(other->life.runner) == 0
                && (spec.requiredLabel.empty() || hasLabel(*other, spec.requiredLabel));
        });
    }

    RunnerRoom* chooseRoom(const StepSpec& spec, const TaskName& name, const Pool& pool,
        const std::map<std::string, std::uint32_t>& onRunner) const
    {
        RunnerRoom* best = nullptr;
        using Key = std::tuple<std::uint32_t, bool, bool, std::int64_t, std::int64_t>;
        Key bestKey;
        for (auto* room : pool) {
            auto found = onRunner.find(room->life.runner);
            std::int64_t here = found == onRunner.end() ? 0 : found->second;
            if (!isAllowed(spec, *room, here))
                continue;
            if (m_needsAdvice && !m_isAdvised(name, room->life.runner))
                continue;
            if (mustAvoid(spec, name, *room, pool))
                continue;
            bool isFar = !spec.dataRack.empty() && !hasLabel(*room, spec.dataRack);
            // What lasts is gathered on few runners, so that the machines of the others can change their
            // pool.
            bool isApart = spec.isLongRunning && room->lasting == 0;
            bool isOffRack = !m_rack.empty() && room->rack != m_rack;
            Key key { room->failuresInARow, isFar || isApart, isOffRack, spec.isLongRunning ? here : 0,
                room->free.cpuMilli };
            if (best == nullptr || key < bestKey) {
                best = room;
                bestKey = key;
            }
        }
        return best;
    }

    const JobStore& m_store;
    std::vector<RunnerRoom> m_rooms;
    const StartHints& m_hints;
    const AdviceCheck& m_isAdvised;
    std::string m_rack; ///< For the step that is being placed; empty if any will do.
    bool m_needsAdvice = false; ///< Of the queue whose job is being placed.
    std::map<std::string, Pool> m_pools;
    std::vector<StartRun> m_starts;
};

} // namespace

bool operator<(const JobRank& a, const JobRank& b)
{
    return std::make_tuple(!a.isLongRunning, a.isExpired, a.isLate, a.priority, a.slack, a.job)
        < std::make_tuple(!b.isLongRunning, b.isExpired, b.isLate, b.priority, b.slack, b.job);
}

Millis remainingChain(const std::vector<StepSpec>& spec, const std::vector<StepState>& steps)
{
    std::vector<Millis> ends(spec.size());
    Millis longest;
    for (std::size_t i = 0; i < spec.size(); ++i) {
        bool isDone = !steps.empty() && steps[i].done == steps[i].tasks.size();
        Millis begin;
        for (auto earlier : spec[i].after)
            begin = std::max(begin, ends[earlier]);
        ends[i] = isDone ? Millis {} : begin + spec[i].estimate;
        longest = std::max(longest, ends[i]);
    }
    return longest;
}

std::vector<JobRank> rankJobs(const JobStore& store, Millis wallNow)
{
    std::vector<JobRank> ranks;
    for (const auto& id : store.openJobs()) {
        const auto& job = *store.findJob(id);
        const auto* queue = findQueue(store.configuration(), job.spec.queue);
        if (queue == nullptr || job.occurrences.empty())
            continue;
        JobRank rank;
        rank.job = id;
        rank.priority = queue->priority;
        rank.isLongRunning = !job.spec.steps.empty() && job.spec.steps.front().isLongRunning;
        auto whole = remainingChain(job.spec.steps, {});
        auto left = remainingChain(job.spec.steps, job.occurrences.begin()->second);
        Millis stretched { static_cast<std::int64_t>(queue->stretch * static_cast<double>(whole.count)) };
        auto objective = stretched + queue->objective;
        rank.slack = job.submittedAt + objective - wallNow - left;
        // A long-running job has no end that could be late.
        rank.isLate = !rank.isLongRunning && rank.slack < Millis {};
        rank.isExpired = !rank.isLongRunning
            && wallNow + left > job.submittedAt + Millis { usefulObjectives * objective.count };
        ranks.push_back(std::move(rank));
    }
    std::sort(ranks.begin(), ranks.end());
    return ranks;
}

bool hasRoomFor(
    std::vector<RunnerRoom> rooms, const StepSpec& spec, const StepState& step, const std::string& service)
{
    auto onRunner = tasksByRunner(step);
    return std::any_of(rooms.begin(), rooms.end(), [&](const RunnerRoom& room) {
        return room.service == service && isAllowed(spec, room, onRunner[room.life.runner]);
    });
}

std::vector<StartRun> planStarts(const JobStore& store, std::vector<RunnerRoom> rooms, Millis wallNow,
    const StartHints& hints, const AdviceCheck& isAdvised)
{
    Planner planner(store, std::move(rooms), hints, isAdvised);
    for (const auto& rank : rankJobs(store, wallNow))
        planner.placeJob(*store.findJob(rank.job));
    for (const auto& task : hints.copies)
        planner.placeCopy(task);
    return planner.takeStarts();
}

} // namespace celeryline
