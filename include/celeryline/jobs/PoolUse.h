/// @file
/// What customers have running and waiting in each pool.
#pragma once

#include "celeryline/jobs/CustomerUse.h"
#include "celeryline/jobs/QueueSettings.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace celeryline {

/// One customer in one pool.
struct CustomerInPool {
    Resources reserved; ///< Total reservation of its active runs.
    std::uint32_t runs = 0; ///< Number of its active runs.
    std::uint32_t startableJobs = 0; ///< Number of its jobs with a task that is ready to start.
};

inline bool operator==(const CustomerInPool& a, const CustomerInPool& b)
{
    return a.reserved == b.reserved && a.runs == b.runs && a.startableJobs == b.startableJobs;
}

/// All customers in one pool. Long-running tasks and jobs without a customer don't count: they take no part
/// in the shares.
struct PoolUse {
    std::vector<CustomerInPool> customers; ///< By customer number; may be shorter than the list of customers.
    Resources reserved; ///< Total reservation of all of them.
    std::uint32_t activeCustomers = 0; ///< Number of customers with runs or startable jobs.
    double totalWeight = 0; ///< Weight of those.

    /// @param customer number of a customer.
    CustomerInPool of(CustomerNumber customer) const
    {
        return customer < customers.size() ? customers[customer] : CustomerInPool {};
    }
};

/// The use of all pools, kept by JobStore. Derived state.
class PoolUses {
public:
    /// @param uses weights of the customers; passed with each change, since it is part of the same state.
    /// @param queue key of the job's queue; a queue that the configuration lacks has no pool.
    void addRun(
        const CustomerUses& uses, const std::string& queue, CustomerNumber customer, const StepSpec& step);
    /// Undoes addRun().
    void removeRun(
        const CustomerUses& uses, const std::string& queue, CustomerNumber customer, const StepSpec& step);

    /// Counts a job with a task that is ready to start.
    void addStartable(const CustomerUses& uses, const std::string& queue, CustomerNumber customer);
    /// Undoes addStartable().
    void removeStartable(const CustomerUses& uses, const std::string& queue, CustomerNumber customer);

    /// Forgets all runs and jobs; they must be added again.
    /// @param configuration configuration that is now in force.
    void reset(const QueueConfiguration& configuration);

    /// @param service a pool.
    /// @return its use; null if the configuration has no queue of this pool.
    const PoolUse* find(const std::string& service) const;

private:
    PoolUse* poolOfQueue(const std::string& queue);
    static CustomerInPool& activate(const CustomerUses& uses, PoolUse& pool, CustomerNumber customer);
    static void deactivateIfIdle(const CustomerUses& uses, PoolUse& pool, CustomerNumber customer);

    std::vector<PoolUse> m_pools;
    std::unordered_map<std::string, std::size_t> m_indexByService;
    std::unordered_map<std::string, std::size_t> m_indexByQueue;
};

} // namespace celeryline
