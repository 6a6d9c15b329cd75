#include "celeryline/jobs/PoolUse.h"

namespace celeryline {

PoolUse* PoolUses::poolOfQueue(const std::string& queue)
{
    auto found = m_indexByQueue.find(queue);
    return found == m_indexByQueue.end() ? nullptr : &m_pools[found->second];
}

CustomerInPool& PoolUses::activate(const CustomerUses& uses, PoolUse& pool, CustomerNumber customer)
{
    if (customer >= pool.customers.size())
        pool.customers.resize(customer + 1);
    auto& known = pool.customers[customer];
    if (known.runs == 0 && known.startableJobs == 0) {
        ++pool.activeCustomers;
        pool.totalWeight += uses.settings(customer).weight;
    }
    return known;
}

void PoolUses::deactivateIfIdle(const CustomerUses& uses, PoolUse& pool, CustomerNumber customer)
{
    const auto& known = pool.customers[customer];
    if (known.runs != 0 || known.startableJobs != 0)
        return;
    --pool.activeCustomers;
    pool.totalWeight -= uses.settings(customer).weight;
    if (pool.activeCustomers == 0)
        pool.totalWeight = 0; // Without what rounding has left.
}

void PoolUses::addRun(
    const CustomerUses& uses, const std::string& queue, CustomerNumber customer, const StepSpec& step)
{
    auto* pool = customer == noCustomer || step.isLongRunning ? nullptr : poolOfQueue(queue);
    if (pool == nullptr)
        return;
    auto& known = activate(uses, *pool, customer);
    ++known.runs;
    known.reserved += reservedBy(step);
    pool->reserved += reservedBy(step);
}

void PoolUses::removeRun(
    const CustomerUses& uses, const std::string& queue, CustomerNumber customer, const StepSpec& step)
{
    auto* pool = customer == noCustomer || step.isLongRunning ? nullptr : poolOfQueue(queue);
    if (pool == nullptr)
        return;
    auto& known = pool->customers[customer];
    --known.runs;
    known.reserved -= reservedBy(step);
    pool->reserved -= reservedBy(step);
    deactivateIfIdle(uses, *pool, customer);
}

void PoolUses::addStartable(const CustomerUses& uses, const std::string& queue, CustomerNumber customer)
{
    auto* pool = customer == noCustomer ? nullptr : poolOfQueue(queue);
    if (pool != nullptr)
        ++activate(uses, *pool, customer).startableJobs;
}

void PoolUses::removeStartable(const CustomerUses& uses, const std::string& queue, CustomerNumber customer)
{
    auto* pool = customer == noCustomer ? nullptr : poolOfQueue(queue);
    if (pool == nullptr)
        return;
    --pool->customers[customer].startableJobs;
    deactivateIfIdle(uses, *pool, customer);
}

void PoolUses::reset(const QueueConfiguration& configuration)
{
    m_pools.clear();
    m_indexByService.clear();
    m_indexByQueue.clear();
    for (const auto& queue : configuration.queues) {
        auto index = m_indexByService.emplace(queue.service, m_pools.size()).first->second;
        if (index == m_pools.size())
            m_pools.emplace_back();
        m_indexByQueue.emplace(queue.key, index);
    }
}

const PoolUse* PoolUses::find(const std::string& service) const
{
    auto found = m_indexByService.find(service);
    return found == m_indexByService.end() ? nullptr : &m_pools[found->second];
}

} // namespace celeryline
