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

    /// @return the runners that a call should name; empty if there is nothing to ask.
    std::vector<std::string> choose(const StepSpec& spec, const StepState& state, const TaskName& step)
    {
        auto waiting = static_cast<std::int64_t>(state.tasks.size()) - state.done - state.active;
        sortCandidates(spec, state, step, waiting);
        if (m_covered >= waiting)
            return {};
        auto wanted = expectedCapacityFactor * static_cast<double>(waiting);
        auto runners = pick(m_withRoom, wanted - static_cast<double>(m_covered));
        if (runners.empty() && !m_cache.hasTicket(step, m_now))
            runners = pick(m_withoutRoom, wanted);
        return runners.empty() ? pick(m_refused, wanted) : runners;
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
            auto fitting = tasksThatFit(spec, *candidate, onRunner[candidate->incarnation.runner], waiting);
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

/// A step with waiting tasks.
struct WaitingStep {
    std::optional<Millis> askedAt; ///< Steady time of the last call.
    TaskName step;
    const JobState* job = nullptr;
    const QueueSettings* queue = nullptr;

    const StepSpec& spec() const { return job->spec.steps[step.step]; }
    const StepState& state() const { return job->occurrences.at(step.occurrence)[step.step]; }
};

/// Steps about which the service may be asked; the least recently asked ones come first, so that none starves.
std::vector<WaitingStep> waitingSteps(const JobStore& store, const AdviceCache& cache, Millis now)
{
    std::vector<WaitingStep> waiting;
    for (const auto& id : store.openJobs()) {
        const auto& job = *store.findJob(id);
        const auto* queue = findQueue(store.configuration(), job.spec.queue);
        if (queue == nullptr || !queue->needsAdvice)
            continue;
        for (const auto& [occurrence, steps] : job.occurrences) {
            for (std::uint32_t i = 0; i < steps.size(); ++i) {
                // Advice for the next steps is requested in advance, while their predecessors run.
                TaskName step { id, occurrence, i, 0 };
                if (steps[i].done + steps[i].active < steps[i].tasks.size() && cache.mayAsk(step, now))
                    waiting.push_back({ cache.askedAt(step), step, &job, queue });
            }
        }
    }
    std::stable_sort(waiting.begin(), waiting.end(),
        [](const WaitingStep& a, const WaitingStep& b) { return a.askedAt < b.askedAt; });
    return waiting;
}

} // namespace

Millis adviceDuration(const AdviceTiming& timing, std::size_t runners)
{
    return timing.callDuration + Millis { timing.durationPerRunner.count * static_cast<std::int64_t>(runners) };
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
    const JobStore& store, const CandidateIndex& candidates, AdviceCache& cache, Millis now)
{
    std::size_t examined = 0;
    for (const auto& waiting : waitingSteps(store, cache, now)) {
        if (++examined > maxExaminedSteps)
            return std::nullopt;
        auto runners = RunnerChoice(candidates.pool(waiting.queue->service), *waiting.queue, cache, now)
                           .choose(waiting.spec(), waiting.state(), waiting.step);
        if (!runners.empty())
            return AdviceCall { waiting.step, waiting.queue->key, std::move(runners), now };
        cache.postpone(waiting.step, now + recheckDelay);
    }
    return std::nullopt;
}

} // namespace celeryline
