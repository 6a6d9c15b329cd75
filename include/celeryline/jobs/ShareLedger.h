/// @file
/// The shares of a pool in the course of one plan.
#pragma once

#include "celeryline/jobs/FairShare.h"
#include "celeryline/jobs/PoolUse.h"

#include <vector>

namespace celeryline {

/// The shares of one pool's capacity among the customers with work there. Counts the starts of the plan,
/// which are not committed yet.
///
/// Example: `if (shares.level(customer) < shares.fullLevel()) { shares.add(customer, demand); start(); }`
class ShareLedger {
public:
    /// @param uses weights of the customers; must outlive this object, like the use of the pool.
    /// @param pool committed use.
    /// @param free free capacity of the pool's runners. What else runs there takes no part in the shares.
    ShareLedger(const CustomerUses& uses, const PoolUse& pool, const Resources& free);

    /// @return the level at which a customer has its share.
    double fullLevel() const { return m_fullLevel; }

    /// @param customer a number other than noCustomer.
    /// @return its use in relation to its weight; see shareLevel().
    double level(CustomerNumber customer) const;

    /// Remembers customers beyond their share, so that a long backlog of one is cheap: in the course of a
    /// plan, uses only grow. Not to be called between add() and subtract() of the same start.
    /// @return whether the customer uses less than its share.
    bool isWithinShare(CustomerNumber customer)
    {
        if (m_isBeyond[customer])
            return false;
        m_isBeyond[customer] = level(customer) >= m_fullLevel;
        return !m_isBeyond[customer];
    }

    /// @return the customer's share as a fraction of the capacity.
    double shareOf(CustomerNumber customer) const;

    /// @return the fraction of the capacity that the customer uses.
    double fractionOf(CustomerNumber customer) const;

    /// Counts the start of one task.
    void add(CustomerNumber customer, const Resources& reserved);
    /// Undoes add().
    void subtract(CustomerNumber customer, const Resources& reserved);

private:
    Resources useOf(CustomerNumber customer) const;

    const CustomerUses& m_uses;
    const PoolUse& m_pool;
    Resources m_capacity;
    double m_fullLevel = 0;
    std::vector<Resources> m_planned; ///< Reservations of the plan's starts, by customer number.
    std::vector<bool> m_isBeyond; ///< Customers known to be beyond their share, by number.
};

} // namespace celeryline
