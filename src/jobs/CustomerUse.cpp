#include "celeryline/jobs/CustomerUse.h"

#include <algorithm>
#include <limits>

namespace celeryline {
namespace {

/// Left of a resource without a limit. No sum of what runs comes near it.
constexpr std::int64_t unlimited = std::numeric_limits<std::int64_t>::max() / 2;

/// @param limit a limit; 0 for none.
/// @return what is left of it.
std::int64_t leftOf(std::int64_t limit, std::int64_t used) { return limit == 0 ? unlimited : limit - used; }

Resources leftOf(const Resources& limit, const Resources& used)
{
    return { leftOf(limit.cpuMilli, used.cpuMilli), leftOf(limit.memoryMb, used.memoryMb),
        leftOf(limit.accelerators, used.accelerators) };
}

bool needsOverHalf(const Resources& limit, const Resources& demand, std::int64_t count)
{
    // Rounded up, so that what remains of an odd limit is not more than its half.
    Resources half { limit.cpuMilli - limit.cpuMilli / 2, limit.memoryMb - limit.memoryMb / 2,
        limit.accelerators - limit.accelerators / 2 };
    return !isWithin(demand, count, leftOf(limit, half));
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

Resources QuotaLedger::leftOf(CustomerNumber customer) const
{
    return celeryline::leftOf(m_uses.settings(customer).limit, m_uses.use(customer).running);
}

void QuotaLedger::waitFor(CustomerNumber customer, const Resources& demand, std::int64_t count)
{
    if (customer == noCustomer)
        return;
    const auto& limit = m_uses.settings(customer).limit;
    // Beside its long-running tasks it may never fit, and then nothing should wait for it.
    if (needsOverHalf(limit, demand, count)
        && isWithin(demand, count, celeryline::leftOf(limit, m_uses.use(customer).longRunning)))
        room(customer).isWaiting = true;
}

void QuotaLedger::add(CustomerNumber customer, const Resources& demand)
{
    if (customer != noCustomer)
        room(customer).left -= demand;
}

void QuotaLedger::subtract(CustomerNumber customer, const Resources& demand)
{
    if (customer != noCustomer)
        room(customer).left += demand;
}

bool canEverRun(const JobSpec& job, const Resources& limit)
{
    return std::all_of(job.steps.begin(), job.steps.end(), [&](const StepSpec& step) {
        return isWithin(quotaDemandOf(step), step.isGang ? std::max(step.count, 1U) : 1, leftOf(limit, {}));
    });
}

} // namespace celeryline
