#include "celeryline/jobs/PoolBacklog.h"

#include <algorithm>

namespace celeryline {
namespace {

double partOf(double work, std::int64_t capacity)
{
    return capacity <= 0 ? 0 : work / static_cast<double>(capacity);
}

/// @return the time in which the whole pool completes the work.
double sizeOf(const ResourceWork& work, const Resources& capacity)
{
    return std::max({ partOf(work.cpu, capacity.cpuMilli), partOf(work.memory, capacity.memoryMb),
        partOf(work.accelerators, capacity.accelerators) });
}

} // namespace

void PoolBacklog::add(std::uint32_t priority, std::size_t customer, const ResourceWork& work)
{
    auto& byCustomer = m_work[priority];
    if (byCustomer.size() <= customer)
        byCustomer.resize(customer + 1);
    byCustomer[customer] += work;
}

ResourceWork PoolBacklog::aheadOf(std::uint32_t priority, const CustomerPosition& customer,
    const ResourceWork& work, const Resources& capacity) const
{
    std::vector<ResourceWork> byCustomer;
    for (auto it = m_work.begin(); it != m_work.end() && it->first <= priority; ++it) {
        if (byCustomer.size() < it->second.size())
            byCustomer.resize(it->second.size());
        for (std::size_t i = 0; i < it->second.size(); ++i)
            byCustomer[i] += it->second[i];
    }
    ResourceWork ahead;
    if (customer.index < byCustomer.size())
        ahead = byCustomer[customer.index];
    if (customer.index == CustomerPosition::none)
        return ahead; // Jobs without a customer are placed before those of customers.
    auto ownSize = sizeOf(ahead + work, capacity);
    auto ownWeight = (*customer.weights)[customer.index];
    for (std::size_t i = 0; i < byCustomer.size(); ++i) {
        if (i == customer.index)
            continue;
        auto size = sizeOf(byCustomer[i], capacity);
        bool isBounded = i != CustomerPosition::none && ownWeight > 0 && size > 0;
        auto bound = isBounded ? ownSize * (*customer.weights)[i] / ownWeight / size : 1.0;
        ahead += byCustomer[i] * std::min(1.0, bound);
    }
    return ahead;
}

} // namespace celeryline
