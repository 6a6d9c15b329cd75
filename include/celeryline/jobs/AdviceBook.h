/// @file
/// What the advice service has said about steps.
#pragma once

#include "celeryline/jobs/PlacementAdvisor.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace celeryline {

/// Keeps what the advice service said for as long as it is valid.
class AdviceBook {
public:
    /// Forgets everything.
    void clear() { m_steps.clear(); }

    /// @param step any task of the step.
    /// @return whether the service should be asked now.
    bool mustAsk(const TaskName& step, Millis now) const;

    /// @param step any task of the step.
    /// @return steady time at which the service was last asked; nothing if it wasn't.
    std::optional<Millis> askedAt(const TaskName& step) const;

    /// Notes that the service is being asked.
    void noteAsked(const TaskName& step, Millis now);

    /// Takes an answer.
    /// @param advice the advice; nothing if there was none, it is then asked for again after a while.
    /// @param askedAt when the call was sent; tickets count from here.
    void note(const TaskName& step, const std::optional<PlacementAdvice>& advice, Millis askedAt, Millis now);

    /// @return the ticket with which a runner may run the step; null without a valid one.
    const std::string* ticket(const TaskName& step, const std::string& runner, Millis now) const;

    /// Drops the tickets of a runner, whose life is over. A step without another ticket is asked for again.
    /// @param runner its id.
    /// @param now steady time.
    void forgetRunner(const std::string& runner, Millis now);

    /// Drops steps that nobody asks for any more.
    /// @param isOver says of a task of a step whether the step is over.
    void forgetEnded(const std::function<bool(const TaskName&)>& isOver);

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
