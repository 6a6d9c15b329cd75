/// @file
/// The service that says which runners may run a step.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/jobs/TaskName.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace celeryline {

/// Which runners may run a step, as the advice service says.
struct PlacementAdvice {
    std::map<std::string, std::string> tickets; ///< Ticket by id of the runner.
    Millis validFor; ///< How long the tickets are valid.
};

/// The service that says which runners may run a step of a queue whose policy asks for it.
class PlacementAdvisor {
public:
    using Callback = std::function<void(std::optional<PlacementAdvice>)>;

    virtual ~PlacementAdvisor() = default;

    /// @param step any task of the step.
    /// @param runners ids of the runners that are asked for, at most mostRunners.
    /// @param done called with the advice, or with nothing if there is none at the moment.
    virtual void ask(const TaskName& step, const std::vector<std::string>& runners, Callback done) = 0;

    static constexpr std::size_t mostRunners = 100;
};

} // namespace celeryline
