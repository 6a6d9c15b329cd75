/// @file
/// Lookup of a customer by an API key.
#pragma once

#include "celeryline/customers/CustomerSettings.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace celeryline {

/// @param key an API key.
/// @return its SHA-256 digest. Digests are compared in place of keys, so that the duration of a lookup tells
/// nothing about the keys.
std::string digestOfKey(std::string_view key);

/// The customers of a configuration by API key.
class ApiKeyIndex {
public:
    ApiKeyIndex() = default;

    /// @param customers customers that passed checkCustomers().
    explicit ApiKeyIndex(const std::vector<CustomerSettings>& customers);

    /// @param key a key as presented by a caller.
    /// @return the name of the customer, or null if no customer has this key.
    const std::string* find(std::string_view key) const;

    std::size_t size() const { return m_customers.size(); }

private:
    std::unordered_map<std::string, std::string> m_customers; ///< Names by digest.
};

} // namespace celeryline
