#include "celeryline/SlotCredits.h"

#include <algorithm>
#include <limits>

namespace celeryline {

namespace {

/// Short enough that a lender with new demand gets its slots back soon, long enough to save messages.
constexpr Millis loanLease { 500 };

} // namespace

SlotCredits::SlotCredits(
    std::string instance, std::uint64_t bootEpoch, Millis settle, Millis longestRequest, Millis now)
    : m_instance(instance)
    , m_bootEpoch(bootEpoch)
    , m_settle(settle)
    , m_longestRequest(longestRequest)
    , m_share(std::move(instance), settle, now)
{
}

std::vector<std::shared_ptr<RunnerCredits>> SlotCredits::adopt(const RouteTable& table)
{
    const std::lock_guard lock(m_mutex);
    for (auto& entry : m_entries) {
        entry.second.slots = 0;
    }
    m_routed.clear();
    std::vector<std::shared_ptr<RunnerCredits>> credits;
    for (const auto& runner : table.runners) {
        const Key key { runner.name, runner.bootEpoch };
        auto& entry = m_entries[key];
        if (!entry.credits) {
            entry.credits = std::make_shared<RunnerCredits>();
        }
        entry.slots = runner.slots;
        entry.credits->setAllowance(m_share.allowance(runner.name, runner.slots));
        credits.push_back(entry.credits);
        m_routed.push_back(key);
    }
    return credits;
}

void SlotCredits::tick(Millis now, const std::vector<std::string>& live)
{
    const std::lock_guard lock(m_mutex);
    m_share.onView(now, live);
    forgetLostBorrowers(now, live);
    for (auto i = m_entries.begin(); i != m_entries.end();) {
        auto& entry = i->second;
        entry.credits->setAllowance(m_share.allowance(i->first.first, entry.slots));
        entry.credits->expire(now);
        i = entry.slots == 0 && entry.credits->isIdle() ? m_entries.erase(i) : std::next(i);
    }
    m_freshUntil = (now + m_settle).count;
}

void SlotCredits::forgetLostBorrowers(Millis now, const std::vector<std::string>& live)
{
    for (auto i = m_borrowers.begin(); i != m_borrowers.end();) {
        if (std::find(live.begin(), live.end(), i->first) != live.end()) {
            i->second = now;
        } else if (now - i->second >= m_settle) {
            for (auto& entry : m_entries) {
                entry.second.credits->forgetEarlier(i->first, std::numeric_limits<std::uint64_t>::max());
            }
            i = m_borrowers.erase(i);
            continue;
        }
        ++i;
    }
}

CreditGrant SlotCredits::onRequest(
    Millis now, const CreditRequest& request, const std::vector<std::size_t>& runners)
{
    CreditGrant grant;
    grant.lease = std::min(loanLease, m_settle);
    const std::lock_guard lock(m_mutex);
    for (auto& entry : m_entries) {
        entry.second.credits->forgetEarlier(request.borrower, request.borrowerEpoch);
    }
    for (const auto& credit : request.returned) {
        const auto entry = m_entries.find({ credit.runner, credit.bootEpoch });
        if (entry != m_entries.end()) {
            entry->second.credits->takeBack(request.borrower, request.borrowerEpoch, credit.slots);
        }
    }
    auto wanted = request.wanted;
    const auto until = now + grant.lease + m_longestRequest;
    for (const auto index : runners) {
        if (wanted == 0 || index >= m_routed.size() || !isFresh(now)) {
            break;
        }
        const auto& key = m_routed[index];
        const auto lent
            = m_entries[key].credits->lend(request.borrower, request.borrowerEpoch, wanted, until);
        if (lent > 0) {
            grant.lent.push_back({ key.first, key.second, lent });
            wanted -= lent;
        }
    }
    if (!grant.lent.empty()) {
        m_borrowers[request.borrower] = now;
    }
    return grant;
}

std::uint32_t SlotCredits::onGrant(const std::string& lender, const CreditGrant& grant, Millis sent)
{
    std::uint32_t count = 0;
    const std::lock_guard lock(m_mutex);
    for (const auto& credit : grant.lent) {
        auto& entry = m_entries[{ credit.runner, credit.bootEpoch }];
        if (!entry.credits) {
            entry.credits = std::make_shared<RunnerCredits>();
        }
        entry.credits->borrow(lender, credit.slots, sent + grant.lease);
        count += credit.slots;
    }
    return count;
}

std::map<std::string, std::vector<SlotCredit>> SlotCredits::takeReturns(Millis now)
{
    std::map<std::string, std::vector<SlotCredit>> returns;
    const std::lock_guard lock(m_mutex);
    for (auto& entry : m_entries) {
        for (const auto& part : entry.second.credits->takeReturns(now)) {
            returns[part.lender].push_back({ entry.first.first, entry.first.second, part.slots });
        }
    }
    return returns;
}

CreditRequest SlotCredits::makeRequest() const
{
    CreditRequest request;
    request.borrower = m_instance;
    request.borrowerEpoch = m_bootEpoch;
    return request;
}

} // namespace celeryline
