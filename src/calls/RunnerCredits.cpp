#include "celeryline/calls/RunnerCredits.h"

#include <algorithm>

namespace celeryline {

bool RunnerCredits::tryAcquireSlot(Millis now, Source& source)
{
    const std::lock_guard lock(m_mutex);
    if (m_ownInUse + m_lentTotal < m_allowance) {
        ++m_ownInUse;
        source.loan = 0;
    } else {
        const auto loan = std::find_if(m_borrowed.begin(), m_borrowed.end(),
            [now](const Borrowed& b) { return b.used < b.slots && now < b.startBy; });
        if (loan == m_borrowed.end()) {
            return false;
        }
        ++loan->used;
        source.loan = loan->id;
    }
    ++m_inUse;
    return true;
}

void RunnerCredits::releaseSlot(Source source)
{
    const std::lock_guard lock(m_mutex);
    --m_inUse;
    if (source.loan == 0) {
        --m_ownInUse;
        return;
    }
    const auto loan = std::find_if(
        m_borrowed.begin(), m_borrowed.end(), [source](const Borrowed& b) { return b.id == source.loan; });
    if (loan != m_borrowed.end()) {
        --loan->used;
    } else {
        --m_ownInUse; // The loan was converted to own slots.
    }
}

std::uint32_t RunnerCredits::free() const
{
    const auto total = capacity();
    const auto used = inUse();
    return total > used ? total - used : 0;
}

std::uint32_t RunnerCredits::capacity() const
{
    const auto own = m_allowance.load(std::memory_order_relaxed);
    const auto lent = m_lentTotal.load(std::memory_order_relaxed);
    return (own > lent ? own - lent : 0) + m_borrowedTotal.load(std::memory_order_relaxed);
}

std::uint32_t RunnerCredits::excess() const
{
    const std::lock_guard lock(m_mutex);
    const std::uint32_t taken = m_ownInUse + m_lentTotal;
    return taken > m_allowance ? taken - m_allowance : 0;
}

std::uint32_t RunnerCredits::lend(
    const std::string& borrower, std::uint64_t borrowerEpoch, std::uint32_t wanted, Millis until)
{
    const std::lock_guard lock(m_mutex);
    const std::uint32_t taken = m_ownInUse + m_lentTotal;
    const std::uint32_t lent = m_allowance > taken ? std::min(wanted, (m_allowance - taken + 1) / 2) : 0;
    if (lent > 0) {
        m_loans.push_back({ borrower, borrowerEpoch, lent, until });
        updateTotals();
    }
    return lent;
}

void RunnerCredits::acceptReturn(
    const std::string& borrower, std::uint64_t borrowerEpoch, std::uint32_t slots)
{
    const std::lock_guard lock(m_mutex);
    for (auto& loan : m_loans) {
        if (loan.borrower == borrower && loan.borrowerEpoch == borrowerEpoch) {
            const auto part = std::min(slots, loan.slots);
            loan.slots -= part;
            slots -= part;
        }
    }
    updateTotals();
}

void RunnerCredits::endLoansToEarlierBoots(const std::string& borrower, std::uint64_t borrowerEpoch)
{
    const std::lock_guard lock(m_mutex);
    for (auto& loan : m_loans) {
        if (loan.borrower == borrower && loan.borrowerEpoch < borrowerEpoch) {
            loan.slots = 0;
        }
    }
    updateTotals();
}

void RunnerCredits::borrow(const std::string& lender, std::uint32_t slots, Millis startBy)
{
    const std::lock_guard lock(m_mutex);
    m_borrowed.push_back({ ++m_lastLoan, lender, slots, 0, startBy });
    updateTotals();
}

void RunnerCredits::convertLoansToOwn(const std::string& lender)
{
    const std::lock_guard lock(m_mutex);
    for (auto& loan : m_borrowed) {
        if (lender.empty() || loan.lender == lender) {
            m_ownInUse += loan.used;
            loan.slots = 0;
        }
    }
    updateTotals();
}

std::vector<RunnerCredits::LoanReturn> RunnerCredits::takeReturns(Millis now)
{
    std::vector<LoanReturn> returns;
    const std::lock_guard lock(m_mutex);
    for (auto& loan : m_borrowed) {
        if (now >= loan.startBy && loan.used < loan.slots) {
            returns.push_back({ loan.lender, loan.slots - loan.used });
            loan.slots = loan.used;
        }
    }
    if (!returns.empty()) {
        updateTotals();
    }
    return returns;
}

void RunnerCredits::expire(Millis now)
{
    if (m_lentTotal.load(std::memory_order_relaxed) == 0) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    for (auto& loan : m_loans) {
        if (now >= loan.until) {
            loan.slots = 0;
        }
    }
    updateTotals();
}

bool RunnerCredits::isIdle() const
{
    const std::lock_guard lock(m_mutex);
    return m_inUse == 0 && m_loans.empty() && m_borrowed.empty();
}

void RunnerCredits::updateTotals()
{
    m_loans.erase(std::remove_if(m_loans.begin(), m_loans.end(), [](const Loan& l) { return l.slots == 0; }),
        m_loans.end());
    m_borrowed.erase(
        std::remove_if(m_borrowed.begin(), m_borrowed.end(), [](const Borrowed& b) { return b.slots == 0; }),
        m_borrowed.end());
    std::uint32_t lent = 0;
    for (const auto& loan : m_loans) {
        lent += loan.slots;
    }
    std::uint32_t borrowed = 0;
    for (const auto& loan : m_borrowed) {
        borrowed += loan.slots;
    }
    m_lentTotal = lent;
    m_borrowedTotal = borrowed;
}

} // namespace celeryline
