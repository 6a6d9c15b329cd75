#include "celeryline/jobs/CustomerUse.h"

#include <algorithm>

namespace celeryline {
namespace {

/// @param limit limit on a resource; 0 for none.
/// @return whether a number of tasks fits into what is left of it. Divides, since a product of values that
/// callers declare could overflow.
bool isWithin(std::int64_t limit, std::int64_t used, std::int64_t demand, std::int64_t count)
{
    if (limit == 0)
        return true;
    // Most checks are of single tasks, and a backlog has thousands of them.
    return used <= limit && demand <= (count == 1 ? limit - used : (limit - used) / count);
}

bool isWithin(const Resources& limit, const Resources& used, const Resources& demand, std::int64_t count)
{
    return isWithin(limit.cpuMilli, used.cpuMilli, demand.cpuMilli, count)
        && isWithin(limit.memoryMb, used.memoryMb, demand.memoryMb, count)
        && isWithin(limit.accelerators, used.accelerators, demand.accelerators, count);
}

bool needsOverHalf(const Resources& limit, const Resources& demand, std::int64_t count)
{
    return !isWithin({ limit.cpuMilli - limit.cpuMilli / 2, limit.memoryMb - limit.memoryMb / 2,
                         limit.accelerators - limit.accelerators / 2 },
        {}, demand, count);
}

} // namespace

void CustomerUses::setCustomers(const std::vector<CustomerSettings>& customers)
{
    for (auto& customer : m_customers)
        customer.settings = {};
    for (const auto& customer : customers) {
        auto& settings = m_customers[numberOf(customer.name) - 1].settings;
        settings = customer;
        settings.apiKeys.clear();
    }
}

CustomerNumber CustomerUses::numberOf(const std::string& name)
{
    if (name.empty())
        return noCustomer;
    auto [found, isNew] = m_numbers.emplace(name, lastNumber() + 1);
    if (isNew)
        m_customers.emplace_back();
    return found->second;
}

CustomerNumber CustomerUses::findNumber(const std::string& name) const
{
    auto found = m_numbers.find(name);
    return found == m_numbers.end() ? noCustomer : found->second;
}

void CustomerUses::addRun(CustomerNumber customer, const StepSpec& step)
{
    if (customer == noCustomer)
        return;
    auto& use = m_customers[customer - 1].use;
    use.running += quotaDemandOf(step);
    if (step.isLongRunning)
        use.longRunning += quotaDemandOf(step);
}

void CustomerUses::removeRun(CustomerNumber customer, const StepSpec& step)
{
    if (customer == noCustomer)
        return;
    auto& use = m_customers[customer - 1].use;
    use.running -= quotaDemandOf(step);
    if (step.isLongRunning)
        use.longRunning -= quotaDemandOf(step);
}

bool QuotaLedger::fits(CustomerNumber customer, const Resources& demand, std::int64_t count) const
{
    if (customer == noCustomer)
        return true;
    const auto& planned = m_planned[customer - 1];
    auto used = m_uses.use(customer).running;
    used += planned.starts;
    return !planned.isWaiting && isWithin(m_uses.settings(customer).limit, used, demand, count);
}

void QuotaLedger::waitFor(CustomerNumber customer, const Resources& demand, std::int64_t count)
{
    if (customer == noCustomer)
        return;
    const auto& limit = m_uses.settings(customer).limit;
    // Beside its long-running tasks it may never fit, and then nothing should wait for it.
    if (needsOverHalf(limit, demand, count)
        && isWithin(limit, m_uses.use(customer).longRunning, demand, count))
        m_planned[customer - 1].isWaiting = true;
}

void QuotaLedger::add(CustomerNumber customer, const Resources& demand)
{
    if (customer != noCustomer)
        m_planned[customer - 1].starts += demand;
}

void QuotaLedger::subtract(CustomerNumber customer, const Resources& demand)
{
    if (customer != noCustomer)
        m_planned[customer - 1].starts -= demand;
}

bool canEverRun(const JobSpec& job, const Resources& limit)
{
    return std::all_of(job.steps.begin(), job.steps.end(), [&](const StepSpec& step) {
        return isWithin(limit, {}, quotaDemandOf(step), step.isGang ? std::max(step.count, 1U) : 1);
    });
}

} // namespace celeryline
