/// @file
/// Outstanding work of a pool by priority and customer.
#pragma once

#include "celeryline/jobs/PoolForecast.h"

#include <cstdint>
#include <map>
#include <vector>

namespace celeryline {

/// The customer whose job is judged, among all customers.
struct CustomerPosition {
    static constexpr std::size_t none = 0; ///< Index of jobs without a customer.

    std::size_t index = none;
    /// Shares by index; the one at `none` is not used.
    const std::vector<double>* weights = nullptr;
};

/// Outstanding work of a pool by the priority of the queue and the index of the customer.
class PoolBacklog {
public:
    /// Adds work.
    /// @param priority priority of the queue; 0 is the highest.
    /// @param customer index of the customer; CustomerPosition::none for none.
    /// @param work the work.
    void add(std::uint32_t priority, std::size_t customer, const ResourceWork& work);

    /// Returns the work that the pool processes before a job is complete, apart from the job's own: the work
    /// of its customer, that of jobs without a customer, and of each other customer as much as its share
    /// allows until the work of the job's customer is done. Queues of lower priority don't count.
    /// @param priority priority of the job's queue.
    /// @param customer the job's customer.
    /// @param work work of the job.
    /// @param capacity capacity of the pool, by which the scarcest resource is determined.
    ResourceWork aheadOf(std::uint32_t priority, const CustomerPosition& customer, const ResourceWork& work,
        const Resources& capacity) const;

private:
    std::map<std::uint32_t, std::vector<ResourceWork>> m_work; ///< By priority, then by index.
};

} // namespace celeryline
