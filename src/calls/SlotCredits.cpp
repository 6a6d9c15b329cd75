#include "celeryline/calls/SlotCredits.h"

#include "celeryline/base/Error.h"

#include <algorithm>
#include <limits>

namespace celeryline {

namespace {

/// A short lease returns slots to a lender with new demand soon; a longer one needs fewer messages.
constexpr Millis loanLease { 500 };

} // namespace

SlotCredits::SlotCredits(
    std::string instance, std::uint64_t bootEpoch, Millis settlingTime, Millis longestRequest, Millis now)
    : m_instance(instance)
    , m_bootEpoch(bootEpoch)
    , m_settlingTime(settlingTime)
    , m_longestRequest(longestRequest)
    , m_share(std::move(instance), settlingTime, longestRequest, now)
{
}

std::vector<std::shared_ptr<RunnerCredits>> SlotCredits::updateRoutes(const RouteTable& table)
{
    const std::lock_guard lock(m_mutex);
    for (auto& entry : m_entries) {
        entry.second.slots = 0;
    }
    m_routedKeys.clear();
    std::vector<std::shared_ptr<RunnerCredits>> credits;
    for (const auto& runner : table.runners) {
        const Key key { runner.name, runner.bootEpoch };
        auto& entry = m_entries[key];
        if (!entry.credits) {
            entry.credits = std::make_shared<RunnerCredits>();
        }
        entry.slots = runner.slots;
        entry.credits->setAllowance(allowance(key, runner.slots));
        credits.push_back(entry.credits);
        m_routedKeys.push_back(key);
    }
    return credits;
}

void SlotCredits::tick(Millis now, const std::vector<std::string>& live)
{
    const std::lock_guard lock(m_mutex);
    const bool wasNew = m_share.isNew();
    const auto before = m_share.live();
    m_share.updateMembers(now, live, reportedSince(now, live));
    if (m_share.isNew() && !wasNew) {
        // Lenders may have declared this instance lost and ended its loans.
        convertLoansToOwn("");
    }
    for (const auto& name : before) {
        if (std::find(live.begin(), live.end(), name) == live.end()) {
            convertLoansToOwn(name);
        }
    }
    removeLostPeers(now, live);
    for (auto i = m_entries.begin(); i != m_entries.end();) {
        auto& entry = i->second;
        entry.credits->setAllowance(allowance(i->first, entry.slots));
        entry.credits->expire(now);
        i = entry.slots == 0 && entry.credits->isIdle() ? m_entries.erase(i) : std::next(i);
    }
    m_freshUntil = (now + m_settlingTime).count;
}

void SlotCredits::convertLoansToOwn(const std::string& lender)
{
    for (auto& entry : m_entries) {
        entry.second.credits->convertLoansToOwn(lender);
    }
}

Millis SlotCredits::reportedSince(Millis now, const std::vector<std::string>& live) const
{
    auto since = now;
    for (const auto& name : live) {
        if (name != m_instance) {
            const auto report = m_reports.find(name);
            since = std::min(since, report == m_reports.end() ? Millis { -1 } : report->second.sent);
        }
    }
    return since;
}

void SlotCredits::removeLostPeers(Millis now, const std::vector<std::string>& live)
{
    for (const auto& name : live) {
        m_lastLive[name] = now;
    }
    for (auto i = m_lastLive.begin(); i != m_lastLive.end();) {
        if (now - i->second < m_settlingTime) {
            ++i;
            continue;
        }
        for (auto& entry : m_entries) {
            entry.second.credits->endLoansToEarlierBoots(i->first, std::numeric_limits<std::uint64_t>::max());
        }
        m_reports.erase(i->first);
        i = m_lastLive.erase(i);
    }
}

std::uint32_t SlotCredits::allowance(const Key& key, std::uint32_t slots) const
{
    auto own = m_share.allowance(key.first, slots);
    for (const auto& report : m_reports) {
        const auto used = report.second.used.find(key);
        if (used != report.second.used.end()) {
            own -= std::min(own, used->second);
        }
    }
    return own;
}

std::vector<std::string> SlotCredits::reportsNeeded(Millis now) const
{
    std::vector<std::string> peers;
    const std::lock_guard lock(m_mutex);
    const auto from = m_share.reportsNeededFrom();
    for (const auto& name : m_share.live()) {
        const auto report = m_reports.find(name);
        const bool isKnown = report != m_reports.end();
        const bool isOld = from && now >= *from && (!isKnown || report->second.sent < *from);
        if (name != m_instance && (isOld || (isKnown && !report->second.used.empty()))) {
            peers.push_back(name);
        }
    }
    return peers;
}

void SlotCredits::onReport(const std::string& peer, const CreditGrant& report, Millis sent)
{
    const std::lock_guard lock(m_mutex);
    auto& entry = m_reports[peer];
    entry.sent = sent;
    entry.used.clear();
    for (const auto& credit : report.lent) {
        entry.used[{ credit.runner, credit.bootEpoch }] = credit.slots;
    }
}

bool SlotCredits::isNew() const
{
    const std::lock_guard lock(m_mutex);
    return m_share.isNew();
}

CreditGrant SlotCredits::report(const std::string& peer) const
{
    const auto& live = m_share.live();
    if (std::find(live.begin(), live.end(), peer) == live.end()) {
        throw Error(ErrorKind::Unavailable, "instance " + peer + " is not known to be live yet", "retry");
    }
    CreditGrant grant;
    for (const auto& entry : m_entries) {
        if (const auto excess = entry.second.credits->excess()) {
            grant.lent.push_back({ entry.first.first, entry.first.second, excess });
        }
    }
    return grant;
}

CreditGrant SlotCredits::onRequest(
    Millis now, const CreditRequest& request, const std::vector<std::size_t>& runners)
{
    CreditGrant grant;
    grant.lease = std::min(loanLease, m_settlingTime);
    const std::lock_guard lock(m_mutex);
    auto& epoch = m_peerEpochs[request.borrower];
    if (request.borrowerEpoch > epoch) {
        // The new boot has no record of the loans that the previous one granted.
        epoch = request.borrowerEpoch;
        convertLoansToOwn(request.borrower);
    }
    if (request.service.empty() && request.wanted == 0 && request.returned.empty()) {
        return report(request.borrower);
    }
    for (auto& entry : m_entries) {
        entry.second.credits->endLoansToEarlierBoots(request.borrower, request.borrowerEpoch);
    }
    for (const auto& credit : request.returned) {
        const auto entry = m_entries.find({ credit.runner, credit.bootEpoch });
        if (entry != m_entries.end()) {
            entry->second.credits->acceptReturn(request.borrower, request.borrowerEpoch, credit.slots);
        }
    }
    auto wanted = request.wanted;
    const auto until = now + grant.lease + m_longestRequest;
    for (const auto index : runners) {
        if (wanted == 0 || index >= m_routedKeys.size() || !isFresh(now)) {
            break;
        }
        const auto& key = m_routedKeys[index];
        const auto lent
            = m_entries[key].credits->lend(request.borrower, request.borrowerEpoch, wanted, until);
        if (lent > 0) {
            grant.lent.push_back({ key.first, key.second, lent });
            wanted -= lent;
        }
    }
    if (!grant.lent.empty()) {
        m_lastLive.emplace(request.borrower, now);
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
