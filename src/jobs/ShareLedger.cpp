#include "celeryline/jobs/ShareLedger.h"

namespace celeryline {

ShareLedger::ShareLedger(const CustomerUses& uses, const PoolUse& pool, const Resources& free)
    : m_uses(uses)
    , m_pool(pool)
    , m_capacity(pool.reserved)
    , m_fullLevel(fullShareLevel(pool.totalWeight))
    , m_planned(uses.lastNumber() + 1)
    , m_isBeyond(uses.lastNumber() + 1)
{
    m_capacity += free;
}

Resources ShareLedger::useOf(CustomerNumber customer) const
{
    auto use = m_pool.of(customer).reserved;
    use += m_planned[customer];
    return use;
}

double ShareLedger::level(CustomerNumber customer) const
{
    return shareLevel(useOf(customer), m_capacity, m_uses.settings(customer).weight);
}

double ShareLedger::shareOf(CustomerNumber customer) const
{
    return m_pool.totalWeight > 0 ? m_uses.settings(customer).weight / m_pool.totalWeight : 0;
}

double ShareLedger::fractionOf(CustomerNumber customer) const
{
    return dominantFraction(useOf(customer), m_capacity);
}

void ShareLedger::add(CustomerNumber customer, const Resources& reserved) { m_planned[customer] += reserved; }

void ShareLedger::subtract(CustomerNumber customer, const Resources& reserved)
{
    m_planned[customer] -= reserved;
}

} // namespace celeryline
