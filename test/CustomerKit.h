/// @file
/// Builders for tests with customers.
#pragma once

#include "JobKit.h"
#include "celeryline/jobs/StartPlan.h"

#include <map>
#include <string>
#include <vector>

namespace celeryline::test {

/// @return makeConfiguration() with customers of weight 1 without limits.
inline QueueConfiguration makeCustomerConfiguration(
    const std::vector<std::string>& names, std::uint64_t version = 1)
{
    auto configuration = makeConfiguration(version);
    for (const auto& name : names) {
        CustomerSettings customer;
        customer.name = name;
        customer.apiKeys = { "key-" + name };
        configuration.customers.push_back(customer);
    }
    return configuration;
}

inline JobSpec makeCustomerJob(
    const std::string& id, const std::string& customer, std::vector<StepSpec> steps)
{
    auto job = makeJob(id, std::move(steps));
    job.customer = customer;
    return job;
}

inline bool isWithinLimit(const Resources& use, const Resources& limit)
{
    return (limit.cpuMilli == 0 || use.cpuMilli <= limit.cpuMilli)
        && (limit.memoryMb == 0 || use.memoryMb <= limit.memoryMb)
        && (limit.accelerators == 0 || use.accelerators <= limit.accelerators);
}

/// @return the starts of a plan on runners of the pool "pool", each with the given free capacity.
inline std::vector<StartRun> planOn(const JobStore& store, int runners, const Resources& free, Millis wallNow,
    const PlacementHints& hints = {})
{
    CandidateIndex candidates;
    for (int i = 0; i < runners; ++i)
        candidates.set({ { "r" + std::to_string(i), { 1 } }, "pool", {}, free });
    return planStarts(store, candidates, wallNow, hints);
}

/// @return the number of starts of each customer.
inline std::map<std::string, int> startsByCustomer(const JobStore& store, const std::vector<StartRun>& starts)
{
    std::map<std::string, int> counts;
    for (const auto& start : starts)
        ++counts[store.findJob(start.run.task.job)->spec.customer];
    return counts;
}

} // namespace celeryline::test
