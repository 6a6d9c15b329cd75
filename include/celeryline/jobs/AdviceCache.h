/// @file
/// Cache of placement advice per step.
#pragma once

#include "celeryline/jobs/PlacementAdvisor.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace celeryline {

/// Caches the advice of the placement advisor for each step until it expires.
class AdviceCache {
public:
    void clear() { m_steps.clear(); }

    /// @param step any task of the step.
    /// @return whether advice for the step should be requested now.
    bool mustAsk(const TaskName& step, Millis now) const;

    /// @param step any task of the step.
    /// @return steady time of the last request for the step; nothing if there was none.
    std::optional<Millis> askedAt(const TaskName& step) const;

    /// Records that a request for the step is in flight.
    void markAsked(const TaskName& step, Millis now);

    /// Stores the response to a request.
    /// @param advice the advice; nothing if the request failed, it is then repeated after a delay.
    /// @param askedAt when the request was sent; the validity of the tickets counts from here.
    void storeAnswer(
        const TaskName& step, const std::optional<PlacementAdvice>& advice, Millis askedAt, Millis now);

    /// @return the ticket that permits a runner to run the step; null if there is no valid one.
    const std::string* ticket(const TaskName& step, const std::string& runner, Millis now) const;

    /// Drops the tickets of a runner that left or restarted. Advice for a step whose last ticket this removes
    /// is requested again.
    /// @param runner its id.
    /// @param now steady time.
    void removeRunner(const std::string& runner, Millis now);

    /// Drops the entries of steps that have ended.
    /// @param isOver returns whether the step of a task has ended.
    void removeEnded(const std::function<bool(const TaskName&)>& isOver);

private:
    struct Entry {
        PlacementAdvice advice;
        Millis askedAt;
        Millis validUntil;
        Millis askAgainAt;
        bool isAsking = false;
    };
    using Key = std::tuple<JobId, std::uint32_t, std::uint32_t>;

    static Key keyOf(const TaskName& step) { return { step.job, step.occurrence, step.step }; }

    std::map<Key, Entry> m_steps;
};

} // namespace celeryline
