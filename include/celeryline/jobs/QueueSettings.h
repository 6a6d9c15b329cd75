/// @file
/// The operators' configuration of queues and pools.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/customers/CustomerSettings.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace celeryline {

/// Durations of the advice service for the steps of a queue; all are 0 if unknown.
struct AdviceTiming {
    Millis callDuration; ///< Duration of a call without its runners.
    Millis durationPerRunner; ///< Additional duration for each runner that a call names.
    Millis validity; ///< Validity of the tickets.
};

inline bool operator==(const AdviceTiming& a, const AdviceTiming& b)
{
    return a.callDuration == b.callDuration && a.durationPerRunner == b.durationPerRunner
        && a.validity == b.validity;
}
inline bool operator!=(const AdviceTiming& a, const AdviceTiming& b) { return !(a == b); }

/// A queue of jobs.
struct QueueSettings {
    std::string key; ///< Host and path prefix by which callers address the queue.
    std::string name; ///< Name that operators use for the queue.
    std::string service; ///< Pool that runs the queue's tasks.
    std::uint32_t priority = 0; ///< 0 is the highest.
    std::uint32_t attempts = 1; ///< Number of failures of a task that makes its job fail.
    double stretch = 1; ///< Part of the objective that is proportional to the critical path of a job.
    Millis objective; ///< Constant part of the objective.
    Millis timeout; ///< Timeout of a caller's request.
    bool needsAdvice = false; ///< A step may run only on runners that the advice service approves.
    AdviceTiming adviceTiming; ///< Only of use if needsAdvice.
    bool requiresKey = false; ///< Callers must present the API key of a customer.
};

/// A pool of runners.
struct PoolSettings {
    std::string service;
    bool rejectsOverload = true; ///< Its runners reject tasks beyond their capacity.
    bool isStandby = false; ///< Its machines are powered off until they are moved to another pool.
};

/// One version of the operators' configuration.
struct QueueConfiguration {
    std::uint64_t version = 0; ///< 0 if there is no configuration.
    std::vector<QueueSettings> queues;
    std::vector<PoolSettings> pools;
    std::string document; ///< The operator's original document, returned to readers unchanged.
    std::vector<CustomerSettings> customers; ///< Empty if the deployment has none.
};

/// @param configuration a configuration.
/// @param service name of a service.
/// @return whether the configuration has a pool of this service.
inline bool hasPool(const QueueConfiguration& configuration, const std::string& service)
{
    return std::any_of(configuration.pools.begin(), configuration.pools.end(),
        [&](const PoolSettings& pool) { return pool.service == service; });
}

/// @param configuration a configuration.
/// @return whether some of its queues require a key, or could.
inline bool usesKeys(const QueueConfiguration& configuration)
{
    return !configuration.customers.empty()
        || std::any_of(configuration.queues.begin(), configuration.queues.end(),
            [](const QueueSettings& queue) { return queue.requiresKey; });
}

/// @param complete a configuration.
/// @param current the configuration in force.
/// @return whether the first one is the same version, decoded with its customers, which earlier versions of
/// celeryline ignored.
inline bool addsCustomers(const QueueConfiguration& complete, const QueueConfiguration& current)
{
    return complete.version == current.version && complete.document == current.document && usesKeys(complete)
        && !usesKeys(current);
}

/// @param configuration a configuration.
/// @param key key of a queue.
/// @return the queue, or null if no queue has this key.
inline const QueueSettings* findQueue(const QueueConfiguration& configuration, const std::string& key)
{
    for (const auto& queue : configuration.queues) {
        if (queue.key == key)
            return &queue;
    }
    return nullptr;
}

} // namespace celeryline
