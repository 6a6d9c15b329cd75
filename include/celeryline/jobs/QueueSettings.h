/// @file
/// The operators' configuration of queues and of the pools that serve them.
#pragma once

#include "celeryline/base/Millis.h"

#include <cstdint>
#include <string>
#include <vector>

namespace celeryline {

/// A queue of jobs.
struct QueueSettings {
    std::string key; ///< Host and path prefix, under which callers address the queue.
    std::string name; ///< Operators' name of the queue.
    std::string service; ///< Pool whose runners run the queue's tasks.
    std::uint32_t priority = 0; ///< 0 comes first.
    std::uint32_t attempts = 1; ///< A task that failed so often makes its job fail.
    double stretch = 1; ///< Objective: so many times the longest chain of tasks,
    Millis objective; ///< and so much more.
    Millis timeout; ///< Of a caller's request.
    bool needsAdvice = false; ///< Only runners that the advice service names may run a step.
};

/// A pool of runners.
struct PoolSettings {
    std::string service;
    bool rejectsOverload = true; ///< Its runners refuse what exceeds their capacity.
    bool isStandby = false; ///< Its machines are off until they are moved to another pool.
};

/// One version of the operators' configuration.
struct QueueConfiguration {
    std::uint64_t version = 0; ///< 0 while there is none.
    std::vector<QueueSettings> queues;
    std::vector<PoolSettings> pools;
    std::string document; ///< As the operator sent it; returned unchanged to readers.
};

/// @param configuration a configuration.
/// @param key key of a queue.
/// @return the queue, or null if the configuration has none with this key.
inline const QueueSettings* findQueue(const QueueConfiguration& configuration, const std::string& key)
{
    for (const auto& queue : configuration.queues) {
        if (queue.key == key)
            return &queue;
    }
    return nullptr;
}

} // namespace celeryline
