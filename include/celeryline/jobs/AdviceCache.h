/// @file
/// What the advice service has said about the runners for each step.
#pragma once

#include "celeryline/jobs/PlacementAdvisor.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace celeryline {

/// What is known about a runner for a step.
enum class RunnerAdvice : std::uint8_t {
    Unknown, ///< The service hasn't been asked about it.
    Approved, ///< There is a valid ticket.
    Expired, ///< The service approved it; its ticket has expired or was refused.
    Refused ///< The service doesn't approve it.
};

/// What is known about a step.
enum class StepAdvice : std::uint8_t {
    NotAsked, ///< The service hasn't been asked about it.
    Asking, ///< A call is in flight.
    Failing, ///< The last call failed.
    Refused, ///< The service approved none of the runners that it was asked about.
    Expired, ///< All tickets have expired or were refused.
    Approved ///< There is a valid ticket.
};

/// @param advice what is known about a step.
/// @return its name in log events.
const char* stepAdviceName(StepAdvice advice);

/// A call of the advice service.
struct AdviceCall {
    TaskName step; ///< Any task of the step.
    std::string queue; ///< Key of the step's queue.
    std::vector<std::string> runners; ///< Ids of the runners that it names.
    Millis askedAt; ///< Steady time; the validity of the tickets counts from here.
};

/// Stores the answers of the advice service for each step. Single-threaded.
class AdviceCache {
public:
    void clear();

    /// @param step any task of the step.
    /// @return whether the service may be asked about the step now: no call for it is in flight, and no delay
    /// after a failed call is running.
    bool mayAsk(const TaskName& step, Millis now) const;

    /// @return whether the service was ever asked about the step.
    bool wasAsked(const TaskName& step) const;

    /// Records that a call for the step is in flight.
    void markAsked(const TaskName& step);

    /// Records that there is nothing to ask about a step for a while, unless a runner comes or goes.
    /// @param until steady time until which mayAsk() returns false.
    void postpone(const TaskName& step, Millis until);

    /// Stores the response to a call. Its tickets count from the call, but are used for a moment after the
    /// response in any case, since a slow service may count from there: see refuseTicket().
    /// @param advice the advice; nothing if the call failed, it is then repeated after a growing delay.
    void storeAnswer(const AdviceCall& call, const std::optional<PlacementAdvice>& advice, Millis now);

    /// @return what is known about a runner for a step.
    RunnerAdvice adviceOn(const TaskName& step, const std::string& runner, Millis now) const;

    /// @return what is known about a step.
    StepAdvice adviceOn(const TaskName& step, Millis now) const;

    /// @return whether the service refused a runner so long ago that it may be asked again.
    bool mayAskAgain(const TaskName& step, const std::string& runner, Millis now) const;

    /// @return whether there is a valid ticket for any runner.
    bool hasTicket(const TaskName& step, Millis now) const;

    /// @return the ticket that permits a runner to run the step; null if there is no valid one.
    const std::string* ticket(const TaskName& step, const std::string& runner, Millis now) const;

    /// @return the latest ticket of a runner for the step, valid or not; null if there is none. For orders
    /// that are on their way already: the runner decides.
    const std::string* latestTicket(const TaskName& step, const std::string& runner) const;

    /// @return the share of the named runners that the service approved in recent calls of a queue, above 0.
    double approvedShare(const std::string& queue) const;

    /// Records that a runner refused a start with its ticket, which isn't used again. If the ticket was used
    /// only because the response had come late, such tickets aren't used for a while.
    void refuseTicket(const TaskName& step, const std::string& runner, Millis now);

    /// Drops what is known about a runner that left or restarted, and what the call in flight says about it.
    /// @param runner its id.
    void removeRunner(const std::string& runner);

    /// Drops the entries of steps that have ended.
    /// @param isOver returns whether the step of a task has ended.
    void removeEnded(const std::function<bool(const TaskName&)>& isOver);

private:
    struct Ticket {
        std::string text;
        Millis validUntil; ///< Steady time.
        Millis safetyMargin; ///< Time before that in which it isn't used any more.
        bool isLate = false; ///< It has expired if its validity counts from the call.
    };
    struct Entry {
        std::map<std::string, Ticket> tickets; ///< Latest ticket of each approved runner, by id.
        std::map<std::string, Millis> refusedAt; ///< Steady time of the latest refusal, by runner id.
        Millis retryAt; ///< Steady time until which the step isn't asked about after a failed call.
        Millis recheckAt; ///< Steady time until which there is nothing to ask.
        std::uint32_t failures = 0; ///< Consecutive failed calls.
        bool isAsking = false; ///< A call is in flight.
        bool wasAsked = false;
    };
    /// Numbers of named and approved runners of a queue's recent calls.
    struct Approvals {
        double named = 0;
        double approved = 0;
    };
    using Key = std::tuple<JobId, std::uint32_t, std::uint32_t>;

    static Key keyOf(const TaskName& step) { return { step.job, step.occurrence, step.step }; }
    bool isValid(const Ticket& ticket, Millis now) const;
    Ticket makeTicket(const std::string& text, Millis validFor, Millis askedAt, Millis now) const;

    std::map<Key, Entry> m_steps;
    bool m_isAsking = false; ///< A call is in flight; there is one at most.
    std::set<std::string> m_changedRunners; ///< Runners that left or restarted during the call.
    std::map<std::string, Approvals> m_approvals; ///< By queue key.
    Millis m_noLateTicketsUntil; ///< Steady time.
};

} // namespace celeryline
