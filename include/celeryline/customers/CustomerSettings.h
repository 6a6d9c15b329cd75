/// @file
/// The customers of a configuration.
#pragma once

#include "celeryline/registry/Announcement.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace celeryline {

/// A customer as configured by operators.
struct CustomerSettings {
    std::string name;
    std::vector<std::string> apiKeys; ///< Secrets; never logged.
    double weight = 1; ///< Share of scarce capacity, relative to the other customers.
    std::uint32_t priority = 0; ///< 0 is the highest.
    Resources limit; ///< Quota on what the customer's active runs reserve in total; 0 for no limit.
};

inline bool operator==(const CustomerSettings& a, const CustomerSettings& b)
{
    return std::tie(a.name, a.apiKeys, a.weight, a.priority, a.limit)
        == std::tie(b.name, b.apiKeys, b.weight, b.priority, b.limit);
}
inline bool operator!=(const CustomerSettings& a, const CustomerSettings& b) { return !(a == b); }

/// Checks the customers of a configuration. Error messages contain no keys.
/// @param customers the customers.
/// @throws Error of kind InvalidInput that names the customer if a name is empty or used twice, a key is
/// malformed or shared by two customers, or a weight or limit is out of range.
void checkCustomers(const std::vector<CustomerSettings>& customers);

/// @param customers the customers of a configuration.
/// @param name name of a customer.
/// @return the customer, or null if there is none with this name.
const CustomerSettings* findCustomer(const std::vector<CustomerSettings>& customers, const std::string& name);

} // namespace celeryline
