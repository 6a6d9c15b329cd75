#include "celeryline/jobs/AdvicePlan.h"

#include "celeryline/jobs/TaskFit.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace celeryline {
namespace {

/// A call names runners for this many times the tasks that wait, since the approved share varies.
constexpr double expectedCapacityFactor = 1.5;
/// How long a step is left alone after there was nothing to ask about it.
constexpr Millis recheckDelay { 250 };
/// Limit on the steps of one search, so that a backlog doesn't slow down the leader.
constexpr std::size_t maxExaminedSteps = 128;

constexpr Millis timeoutOfUnknownDuration { 5000 };
/// Allowance for the network and for a call of an earlier process on the same machine.
constexpr Millis timeoutAllowance { 1000 };
/// More than the calls that may wait at the service usually take.
constexpr Millis maxTimeout { 30000 };

/// What a call for a step is good for, in the order of preference.
enum class CallPurpose : std::uint8_t {
    Start, ///< The step can start as soon as it is answered.
    WaitForRoom, ///< No runner has room now.
    Prepare, ///< The predecessors of the step are running.
    CheckRefusals ///< All runners were refused long ago.
};

/// A possible call and its purpose.
struct PossibleCall {
    CallPurpose purpose = CallPurpose::CheckRefusals;
    AdviceCall call;
};

/// A job with a step that is ready to start, in the order of the plan.
struct WaitingJob {
    bool isLate = false;
    std::uint32_t priority = 0;
    bool isLimited = false; ///< It isn't long-running.
    std::int64_t rank = 0;
    const JobState* job = nullptr;
    const QueueSettings* queue = nullptr;

    auto key() const { return std::make_tuple(isLate, priority, isLimited, rank, job->spec.id); }
};

/// Waiting jobs of queues that need advice, in the order in which the plan starts them.
std::vector<WaitingJob> waitingJobs(const JobStore& store, Millis wallNow)
{
    std::vector<WaitingJob> waiting;
    QuotaLedger quota(store.customerUses());
    for (const auto& [key, jobs] : store.startableJobs()) {
        const auto* queue = findQueue(store.configuration(), key);
        if (queue == nullptr || !queue->needsAdvice)
            continue;
        for (const auto& startable : jobs) {
            // Tickets for a customer at its limit would run out unused.
            if (!quota.fits(startable.customer, startable.minQuotaDemand, 1))
                continue;
            bool isLate = !startable.isLongRunning && startable.latestStart < wallNow;
            auto latestStart = startable.latestStart.count;
            // Of late jobs, the plan prefers the least late ones.
            waiting.push_back({ isLate, queue->priority, !startable.isLongRunning,
                isLate ? -latestStart : latestStart, store.findJob(startable.id), queue });
        }
    }
    std::sort(waiting.begin(), waiting.end(),
        [](const WaitingJob& a, const WaitingJob& b) { return a.key() < b.key(); });
    return waiting;
}

/// Chooses the runners that a call for one step names.
class RunnerChoice {
public:
    RunnerChoice(const CandidatePool& pool, const QueueSettings& queue, const AdviceCache& cache, Millis now)
        : m_pool(pool)
        , m_cache(cache)
        , m_now(now)
        , m_maxRunners(maxAdvisedRunners(queue.adviceTiming))
        , m_approvedShare(cache.approvedShare(queue.key))
    {
    }

    /// @return the purpose and the runners of a call; no runners if there is nothing to ask.
    PossibleCall choose(const StepSpec& spec, const StepState& state, const TaskName& step)
    {
        auto waiting = static_cast<std::int64_t>(state.tasks.size()) - state.done - state.active;
        sortCandidates(spec, state, step, waiting);
        PossibleCall possible;
        auto wanted = expectedCapacityFactor * static_cast<double>(waiting);
        if (m_covered >= waiting)
            return possible;
        possible.purpose = CallPurpose::Start;
        possible.call.runners = pick(m_withRoom, wanted - static_cast<double>(m_covered));
        if (possible.call.runners.empty() && !m_cache.hasTicket(step, m_now)) {
            possible.purpose = CallPurpose::WaitForRoom;
            possible.call.runners = pick(m_withoutRoom, wanted);
        }
        if (possible.call.runners.empty()) {
            possible.purpose = CallPurpose::CheckRefusals;
            possible.call.runners = pick(m_refused, wanted);
        }
        return possible;
    }

private:
    struct Option {
        const PlacementCandidate* candidate = nullptr;
        bool wasApproved = false;
        bool isAwayFromData = false;
        std::int64_t rackRoom = 0; ///< Tasks that fit in its rack, if the step should run in one.
        std::int64_t tasks = 0; ///< Tasks that fit on it, at least 1.
    };

    void sortCandidates(
        const StepSpec& spec, const StepState& state, const TaskName& step, std::int64_t waiting)
    {
        auto onRunner = tasksByRunner(state);
        std::map<std::string, std::int64_t> rackRoom;
        for (const auto* candidate : m_pool) {
            if (!spec.requiredLabel.empty() && !hasLabel(*candidate, spec.requiredLabel))
                continue;
            auto most = candidate->takesOneTask ? std::min<std::int64_t>(1, waiting) : waiting;
            auto fitting = tasksThatFit(spec, *candidate, onRunner[candidate->incarnation.runner], most);
            if (spec.sameRack)
                rackRoom[candidate->rack] += fitting;
            addOption(spec, step, *candidate, fitting);
        }
        for (auto& option : m_withRoom)
            option.rackRoom = rackRoom[option.candidate->rack];
        auto isBetter = [](const Option& a, const Option& b) {
            auto key = [](const Option& option) {
                return std::make_tuple(!option.wasApproved, option.isAwayFromData, -option.rackRoom,
                    -option.candidate->free.cpuMilli);
            };
            return key(a) < key(b);
        };
        for (auto* options : { &m_withRoom, &m_withoutRoom, &m_refused })
            std::stable_sort(options->begin(), options->end(), isBetter);
    }

    void addOption(
        const StepSpec& spec, const TaskName& step, const PlacementCandidate& candidate, std::int64_t fitting)
    {
        const auto& runner = candidate.incarnation.runner;
        auto advice = m_cache.adviceOn(step, runner, m_now);
        if (advice == RunnerAdvice::Approved) {
            m_covered += fitting;
            return;
        }
        Option option { &candidate, advice == RunnerAdvice::Expired,
            !spec.dataRack.empty() && !hasLabel(candidate, spec.dataRack), 0,
            std::max<std::int64_t>(1, fitting) };
        if (advice != RunnerAdvice::Refused) {
            (fitting > 0 ? m_withRoom : m_withoutRoom).push_back(option);
        } else if (m_cache.mayAskAgain(step, runner, m_now)) {
            m_refused.push_back(option);
        }
    }

    /// Takes runners until they are likely to be approved for the wanted number of tasks.
    std::vector<std::string> pick(const std::vector<Option>& options, double wanted) const
    {
        std::vector<std::string> runners;
        double expected = 0;
        for (const auto& option : options) {
            if (expected >= wanted || runners.size() >= m_maxRunners)
                break;
            expected += static_cast<double>(option.tasks) * (option.wasApproved ? 1 : m_approvedShare);
            runners.push_back(option.candidate->incarnation.runner);
        }
        return runners;
    }

    const CandidatePool& m_pool;
    const AdviceCache& m_cache;
    Millis m_now;
    std::size_t m_maxRunners;
    double m_approvedShare;
    std::int64_t m_covered = 0; ///< Tasks that fit on runners with a valid ticket.
    std::vector<Option> m_withRoom;
    std::vector<Option> m_withoutRoom;
    std::vector<Option> m_refused;
};

/// Searches the waiting steps for the most useful call.
class CallSearch {
public:
    CallSearch(const JobStore& store, const CandidateIndex& candidates, AdviceCache& cache, Millis now)
        : m_store(store)
        , m_candidates(candidates)
        , m_cache(cache)
        , m_now(now)
    {
    }

    std::optional<AdviceCall> search(Millis wallNow)
    {
        for (const auto& waiting : waitingJobs(m_store, wallNow)) {
            considerJob(*waiting.job, *waiting.queue, true);
            if (isDone(CallPurpose::Start))
                break;
        }
        if (!isDone(CallPurpose::WaitForRoom))
            considerFollowers();
        return m_best ? std::optional<AdviceCall>(std::move(m_best->call)) : std::nullopt;
    }

private:
    /// @return whether there is a call that is as useful as wanted, or enough steps were examined.
    bool isDone(CallPurpose wanted) const
    {
        return (m_best && m_best->purpose <= wanted) || m_examined >= maxExaminedSteps;
    }

    void considerFollowers()
    {
        for (const auto& id : m_store.openJobs()) {
            const auto& job = *m_store.findJob(id);
            const auto* queue = findQueue(m_store.configuration(), job.spec.queue);
            if (queue != nullptr && queue->needsAdvice)
                considerJob(job, *queue, false);
            if (isDone(CallPurpose::Prepare))
                return;
        }
    }

    void considerJob(const JobState& job, const QueueSettings& queue, bool wantsReady)
    {
        for (const auto& [occurrence, steps] : job.occurrences) {
            for (std::uint32_t i = 0; i < steps.size(); ++i) {
                TaskName step { job.spec.id, occurrence, i, 0 };
                bool isWaiting = steps[i].done + steps[i].active < steps[i].tasks.size();
                if (!isWaiting || !m_cache.mayAsk(step, m_now))
                    continue;
                bool isReady = isStepReady(job.spec.steps, steps, i);
                bool isNext = !isReady && !m_cache.wasAsked(step) && isFollower(job.spec.steps[i], steps);
                if (wantsReady ? isReady : isNext)
                    considerStep(job.spec.steps[i], steps[i], step, queue, isReady);
            }
        }
    }

    /// @return whether all tasks of the steps before a step have started.
    static bool isFollower(const StepSpec& spec, const std::vector<StepState>& steps)
    {
        return std::all_of(spec.after.begin(), spec.after.end(), [&](std::uint32_t before) {
            return steps[before].done + steps[before].active >= steps[before].tasks.size();
        });
    }

    void considerStep(const StepSpec& spec, const StepState& state, const TaskName& step,
        const QueueSettings& queue, bool isReady)
    {
        ++m_examined;
        auto possible
            = RunnerChoice(m_candidates.pool(queue.service), queue, m_cache, m_now).choose(spec, state, step);
        if (possible.call.runners.empty()) {
            m_cache.postpone(step, m_now + recheckDelay);
            return;
        }
        if (!isReady)
            possible.purpose = CallPurpose::Prepare;
        if (m_best && m_best->purpose <= possible.purpose)
            return;
        possible.call.step = step;
        possible.call.queue = queue.key;
        possible.call.askedAt = m_now;
        m_best = std::move(possible);
    }

    const JobStore& m_store;
    const CandidateIndex& m_candidates;
    AdviceCache& m_cache;
    Millis m_now;
    std::size_t m_examined = 0;
    std::optional<PossibleCall> m_best;
};

} // namespace

Millis adviceDuration(const AdviceTiming& timing, std::size_t runners)
{
    return timing.callDuration
        + Millis { timing.durationPerRunner.count * static_cast<std::int64_t>(runners) };
}

Millis adviceTimeout(const AdviceTiming& timing, std::size_t runners, std::uint32_t doublings)
{
    auto duration = adviceDuration(timing, runners);
    auto first
        = duration == Millis {} ? timeoutOfUnknownDuration : Millis { 2 * duration.count } + timeoutAllowance;
    return std::min(maxTimeout, Millis { first.count << std::min(doublings, maxTimeoutDoublings) });
}

std::size_t maxAdvisedRunners(const AdviceTiming& timing)
{
    constexpr auto most = static_cast<std::int64_t>(PlacementAdvisor::maxRunners);
    if (timing.durationPerRunner.count <= 0 || timing.validity.count <= 0)
        return PlacementAdvisor::maxRunners;
    // Half of the validity that the fixed part of a call leaves remains for the start.
    auto available = (timing.validity - timing.callDuration).count / 2;
    return static_cast<std::size_t>(
        std::clamp<std::int64_t>(available / timing.durationPerRunner.count, 1, most));
}

std::optional<AdviceCall> chooseAdviceCall(
    const JobStore& store, const CandidateIndex& candidates, AdviceCache& cache, Millis wallNow, Millis now)
{
    return CallSearch(store, candidates, cache, now).search(wallNow);
}

} // namespace celeryline
