/// @file
/// Interface to the service that approves runners for a step.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/jobs/TaskName.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace celeryline {

/// The runners that the advice service approves for a step.
struct PlacementAdvice {
    std::map<std::string, std::string> tickets; ///< Tickets by runner id.
    Millis validFor; ///< Validity of the tickets, from the request.
};

/// The service that approves runners for the steps of a queue whose policy requires it.
class PlacementAdvisor {
public:
    using Callback = std::function<void(std::optional<PlacementAdvice>)>;

    virtual ~PlacementAdvisor() = default;

    /// Requests advice.
    /// @param step any task of the step.
    /// @param runners ids of the runners to be approved, at most maxRunners.
    /// @param timeout time after which the request counts as failed.
    /// @param done called once: with the advice, or with nothing if none is available.
    virtual void ask(
        const TaskName& step, const std::vector<std::string>& runners, Millis timeout, Callback done)
        = 0;

    static constexpr std::size_t maxRunners = 100;
};

} // namespace celeryline
