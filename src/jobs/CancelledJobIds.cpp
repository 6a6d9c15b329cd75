#include "celeryline/jobs/CancelledJobIds.h"

namespace celeryline {

void CancelledJobIds::add(const JobId& id, const std::string& customer, std::size_t part)
{
    if (isFull(customer, part) || !m_index.insert(id).second)
        return;
    m_ids.push_back({ id, customer });
    ++m_sizes[customer];
}

std::size_t CancelledJobIds::sizeOf(const std::string& customer) const
{
    auto found = m_sizes.find(customer);
    return found == m_sizes.end() ? 0 : found->second;
}

void CancelledJobIds::forget(std::uint64_t upTo)
{
    while (m_forgotten < upTo && !m_ids.empty()) {
        const auto& oldest = m_ids.front();
        auto size = m_sizes.find(oldest.customer);
        if (--size->second == 0)
            m_sizes.erase(size);
        m_index.erase(oldest.id);
        m_ids.pop_front();
        ++m_forgotten;
    }
}

std::vector<JobId> CancelledJobIds::ids() const
{
    std::vector<JobId> ids;
    ids.reserve(m_ids.size());
    for (const auto& entry : m_ids)
        ids.push_back(entry.id);
    return ids;
}

std::vector<std::pair<JobId, std::string>> CancelledJobIds::customers() const
{
    std::vector<std::pair<JobId, std::string>> customers;
    for (const auto& entry : m_ids) {
        if (!entry.customer.empty())
            customers.emplace_back(entry.id, entry.customer);
    }
    return customers;
}

CancelledJobIds CancelledJobIds::restore(const std::vector<JobId>& ids, std::uint64_t forgotten,
    const std::vector<std::pair<JobId, std::string>>& customers)
{
    CancelledJobIds restored;
    restored.m_forgotten = forgotten;
    auto next = customers.begin();
    for (const auto& id : ids) {
        bool hasCustomer = next != customers.end() && next->first == id;
        restored.add(id, hasCustomer ? next->second : "");
        next += hasCustomer ? 1 : 0;
    }
    return restored;
}

} // namespace celeryline
