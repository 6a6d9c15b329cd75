#include "celeryline/customers/ApiKeyIndex.h"

#include <Poco/SHA2Engine.h>

namespace celeryline {

std::string digestOfKey(std::string_view key)
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    engine.update(key.data(), key.size());
    const auto& digest = engine.digest();
    return { digest.begin(), digest.end() };
}

ApiKeyIndex::ApiKeyIndex(const std::vector<CustomerSettings>& customers)
{
    for (const auto& customer : customers) {
        for (const auto& key : customer.apiKeys)
            m_customers.emplace(digestOfKey(key), customer.name);
    }
}

const std::string* ApiKeyIndex::find(std::string_view key) const
{
    if (key.empty())
        return nullptr;
    auto found = m_customers.find(digestOfKey(key));
    return found == m_customers.end() ? nullptr : &found->second;
}

} // namespace celeryline
