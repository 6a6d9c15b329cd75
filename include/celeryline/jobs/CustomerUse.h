/// @file
/// What customers have running, against their limits.
#pragma once

#include "celeryline/customers/CustomerSettings.h"
#include "celeryline/jobs/JobSpec.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace celeryline {

/// Number of a customer on this replica; see CustomerUses.
using CustomerNumber = std::uint32_t;

/// Number of jobs without a customer.
constexpr CustomerNumber noCustomer = 0;

/// @param step a step.
/// @return what one task of the step counts against the limit of its customer: all that it declares. A
/// best-effort task counts its CPU too, although it reserves none on a runner, because the limit bounds what
/// runs.
inline const Resources& quotaDemandOf(const StepSpec& step) { return step.demand; }

/// What a customer's active runs count against its limit.
struct CustomerUse {
    Resources running; ///< All active runs.
    Resources longRunning; ///< Those of long-running tasks, which may never end.
};

inline bool operator==(const CustomerUse& a, const CustomerUse& b)
{
    return a.running == b.running && a.longRunning == b.longRunning;
}

/// The use of all customers, kept by JobStore. Derived state: each replica numbers the customers in the order
/// in which it learns of them, so that a plan finds one without comparing names. Numbers are not reused.
class CustomerUses {
public:
    /// @param customers customers of the configuration that is now in force.
    void setCustomers(const std::vector<CustomerSettings>& customers);

    /// @param name name of a customer; empty for none.
    /// @return its number, which is assigned if it has none.
    CustomerNumber numberOf(const std::string& name);

    /// @param name name of a customer.
    /// @return its number; noCustomer if it has none.
    CustomerNumber findNumber(const std::string& name) const;

    /// Counts a run that became active.
    void addRun(CustomerNumber customer, const StepSpec& step);
    /// Undoes addRun().
    void removeRun(CustomerNumber customer, const StepSpec& step);

    /// @return the highest number in use.
    CustomerNumber lastNumber() const { return static_cast<CustomerNumber>(m_customers.size()); }

    /// @param customer a number other than noCustomer.
    const CustomerUse& use(CustomerNumber customer) const { return m_customers[customer - 1].use; }

    /// @param customer a number other than noCustomer.
    /// @return the settings without keys. A customer that the configuration lacks has the default ones, and
    /// thus no limit.
    const CustomerSettings& settings(CustomerNumber customer) const
    {
        return m_customers[customer - 1].settings;
    }

private:
    struct Customer {
        CustomerSettings settings;
        CustomerUse use;
    };

    std::vector<Customer> m_customers; ///< By number, from 1.
    std::unordered_map<std::string, CustomerNumber> m_numbers; ///< By name.
};

/// @param demand what each of some tasks counts.
/// @param count number of tasks, at least 1.
/// @param left what is left of a limit; negative if it is exceeded.
/// @return whether the tasks fit into it. Divides, since a product of values that callers declare could
/// overflow; not for one task, which is the usual case in a backlog.
inline bool isWithin(const Resources& demand, std::int64_t count, const Resources& left)
{
    if (count == 1) {
        return demand.cpuMilli <= left.cpuMilli && demand.memoryMb <= left.memoryMb
            && demand.accelerators <= left.accelerators;
    }
    return left.cpuMilli >= 0 && left.memoryMb >= 0 && left.accelerators >= 0
        && demand.cpuMilli <= left.cpuMilli / count && demand.memoryMb <= left.memoryMb / count
        && demand.accelerators <= left.accelerators / count;
}

/// The limits of all customers in the course of one plan. Counts the starts of the plan, which are not
/// committed yet.
///
/// Example: `if (quota.fits(customer, demand, 1)) { quota.add(customer, demand); start(); }`
class QuotaLedger {
public:
    /// @param uses committed use; must outlive this object.
    explicit QuotaLedger(const CustomerUses& uses)
        : m_uses(uses)
        , m_rooms(uses.lastNumber())
    {
    }

    /// @param customer number of a customer; tasks of noCustomer always fit.
    /// @param demand what each task counts.
    /// @param count number of tasks that start together.
    /// @return whether the customer stays within its limit if they start.
    bool fits(CustomerNumber customer, const Resources& demand, std::int64_t count) const
    {
        if (customer == noCustomer)
            return true;
        const auto& known = room(customer);
        return !known.isWaiting && isWithin(demand, count, known.left);
    }

    /// Makes a customer that lacks a large part of its limit wait for it: if the tasks need more than half of
    /// the limit, nothing of the customer starts in the rest of this plan. Otherwise its small tasks would
    /// take all that ends, and the large ones would never start.
    void waitFor(CustomerNumber customer, const Resources& demand, std::int64_t count);

    /// Counts the start of one task.
    void add(CustomerNumber customer, const Resources& demand);
    /// Undoes add().
    void subtract(CustomerNumber customer, const Resources& demand);

private:
    /// What a customer may still start.
    struct Room {
        bool isKnown = false; ///< Computed at the first question, since most customers have no job in a plan.
        bool isWaiting = false; ///< See waitFor().
        Resources left;
    };

    Room& room(CustomerNumber customer) const
    {
        auto& room = m_rooms[customer - 1];
        if (!room.isKnown)
            room = { true, false, leftOf(customer) };
        return room;
    }

    Resources leftOf(CustomerNumber customer) const;

    const CustomerUses& m_uses;
    mutable std::vector<Room> m_rooms; ///< By number, from 1.
};

/// @param job a job.
/// @param limit limit of its customer.
/// @return whether each of its tasks, and each of its gangs as a whole, fits within the limit. Otherwise the
/// job can never complete.
bool canEverRun(const JobSpec& job, const Resources& limit);

} // namespace celeryline
