/// @file
/// Routes with their credits and queues.
#pragma once

#include "celeryline/calls/RouteTable.h"
#include "celeryline/calls/RunnerCredits.h"
#include "celeryline/calls/ServiceQueue.h"

#include <memory>
#include <string>
#include <vector>

namespace celeryline {

/// The routes with their credits and queues. Immutable except for the objects it points to.
struct RoutingState {
    /// A service that uses a runner.
    struct User {
        std::string service;
        ServiceQueue* queue = nullptr;
    };

    RouteTable table;
    std::vector<std::shared_ptr<RunnerCredits>> credits; ///< In the order of table.runners.
    std::map<std::string, std::shared_ptr<ServiceQueue>> queues; ///< By service.
    std::vector<std::vector<User>> owners; ///< By runner index: services whose selector matches it.
    std::vector<std::vector<User>> borrowers; ///< By runner index: services that may borrow its slots.
};

/// A request that waits for a slot.
struct SlotWaiter;

} // namespace celeryline
