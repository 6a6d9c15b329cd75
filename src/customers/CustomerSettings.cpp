#include "celeryline/customers/CustomerSettings.h"

#include "celeryline/base/Error.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace celeryline {
namespace {

/// Longer keys don't fit into a header of ordinary size beside the other fields.
constexpr std::size_t maxKeyBytes = 1024;

/// @return whether a key can be sent as a bearer token: visible ASCII characters only.
bool isWellFormed(const std::string& key)
{
    auto isVisible = [](unsigned char c) { return c > ' ' && c < 0x7f; };
    return !key.empty() && key.size() <= maxKeyBytes && std::all_of(key.begin(), key.end(), isVisible);
}

[[noreturn]] void throwInvalid(const CustomerSettings& customer, const std::string& problem)
{
    throw Error(ErrorKind::InvalidInput, "customer \"" + customer.name + "\" " + problem,
        "correct the customer and send the configuration again");
}

void checkCustomer(const CustomerSettings& customer)
{
    if (customer.name.empty())
        throw Error(ErrorKind::InvalidInput, "a customer has no name", "give each customer a name");
    if (!std::isfinite(customer.weight) || customer.weight < 0)
        throwInvalid(customer, "has a weight that is not a number of 0 or more");
    const auto& limit = customer.limit;
    if (limit.cpuMilli < 0 || limit.memoryMb < 0 || limit.accelerators < 0)
        throwInvalid(customer, "has a negative limit");
    if (!std::all_of(customer.apiKeys.begin(), customer.apiKeys.end(), isWellFormed))
        throwInvalid(customer, "has a key that is empty or malformed");
}

} // namespace

void checkCustomers(const std::vector<CustomerSettings>& customers)
{
    std::set<std::string> names;
    std::map<std::string, std::string> owners; // By key.
    for (const auto& customer : customers) {
        checkCustomer(customer);
        if (!names.insert(customer.name).second)
            throwInvalid(customer, "is listed twice");
        for (const auto& key : customer.apiKeys) {
            const auto& owner = owners.emplace(key, customer.name).first->second;
            if (owner != customer.name)
                throwInvalid(customer, "shares a key with customer \"" + owner + "\"");
        }
    }
}

const CustomerSettings* findCustomer(const std::vector<CustomerSettings>& customers, const std::string& name)
{
    auto found = std::find_if(customers.begin(), customers.end(),
        [&](const CustomerSettings& customer) { return customer.name == name; });
    return found == customers.end() ? nullptr : &*found;
}

} // namespace celeryline
