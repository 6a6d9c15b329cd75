/// @file
/// Accounting of the slots of one runner that this instance may use.
#pragma once

#include "celeryline/base/Millis.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace celeryline {

/// Accounts for the slots of one boot of a runner that this instance owns, has lent or has borrowed.
/// Thread-safe; there is one mutex per runner, held for a few instructions.
class RunnerCredits {
public:
    /// Origin of a slot in use; needed to release it.
    struct Source {
        std::uint64_t loan = 0; ///< Id of the loan; 0 for an own slot.
    };

    /// Borrowed slots that are to be returned to their lender.
    struct LoanReturn {
        std::string lender;
        std::uint32_t slots = 0;
    };

    /// @param allowance number of own slots that this instance may use or lend. If more are in use, no
    /// further slot is acquired until enough are released.
    void setAllowance(std::uint32_t allowance) { m_allowance.store(allowance); }

    /// Acquires a slot for one request: an own one, or a borrowed one within its lease.
    /// @param now the current time.
    /// @param[out] source origin of the slot.
    /// @return false if no slot is free.
    bool tryAcquireSlot(Millis now, Source& source);

    /// Releases a slot.
    /// @param source origin of the slot, as set by tryAcquireSlot().
    void releaseSlot(Source source);

    /// Marks the runner as suspect until a time, after a failed exchange.
    void suspectUntil(Millis time) { m_suspectUntil.store(time.count, std::memory_order_relaxed); }

    /// @return whether other runners should be preferred.
    bool isSuspect(Millis now) const { return now.count < m_suspectUntil.load(std::memory_order_relaxed); }

    /// @return the number of requests in progress.
    std::uint32_t inUse() const { return m_inUse.load(std::memory_order_relaxed); }

    /// @return an estimate of the number of free slots; read without the mutex.
    std::uint32_t free() const;

    /// @return the number of own and borrowed slots, in use or not, without the lent ones.
    std::uint32_t capacity() const;

    /// @return the number of own slots in use or lent beyond the allowance.
    std::uint32_t excess() const;

    /// Lends up to half of the free own slots.
    /// @param borrower name of the borrowing instance.
    /// @param borrowerEpoch its boot epoch.
    /// @param wanted number of requested slots.
    /// @param until when the loan expires if it is not returned; must be later than the end of any request
    /// that uses it.
    /// @return the number of lent slots.
    std::uint32_t lend(
        const std::string& borrower, std::uint64_t borrowerEpoch, std::uint32_t wanted, Millis until);

    /// Accepts the return of lent slots.
    void acceptReturn(const std::string& borrower, std::uint64_t borrowerEpoch, std::uint32_t slots);

    /// Ends loans to earlier boots of a borrower, whose connections were closed with the process.
    void endLoansToEarlierBoots(const std::string& borrower, std::uint64_t borrowerEpoch);

    /// Adds borrowed slots.
    /// @param lender name of the lending instance.
    /// @param slots number of borrowed slots.
    /// @param startBy requests may start on them before this time.
    void borrow(const std::string& lender, std::uint32_t slots, Millis startBy);

    /// Ends loans from a lender that was lost and no longer accounts for them. Their requests in progress
    /// then count as using own slots.
    /// @param lender name of the lender; empty for all lenders.
    void convertLoansToOwn(const std::string& lender);

    /// Removes borrowed slots whose lease has expired and that are not in use.
    /// @param now the current time.
    /// @return the removed slots, to be returned to their lenders.
    std::vector<LoanReturn> takeReturns(Millis now);

    /// Ends loans that were not returned before their expiry. Must be called periodically.
    void expire(Millis now);

    /// @return whether no slot is in use, lent or borrowed.
    bool isIdle() const;

private:
    struct Loan {
        std::string borrower;
        std::uint64_t borrowerEpoch = 0;
        std::uint32_t slots = 0;
        Millis until;
    };
    struct Borrowed {
        std::uint64_t id = 0;
        std::string lender;
        std::uint32_t slots = 0;
        std::uint32_t used = 0;
        Millis startBy;
    };

    void updateTotals();

    mutable std::mutex m_mutex;
    std::atomic<std::uint32_t> m_allowance { 0 };
    std::atomic<std::uint32_t> m_inUse { 0 };
    std::atomic<std::uint32_t> m_lentTotal { 0 };
    std::atomic<std::uint32_t> m_borrowedTotal { 0 };
    std::atomic<std::int64_t> m_suspectUntil { 0 };
    std::uint32_t m_ownInUse = 0;
    std::uint64_t m_lastLoan = 0;
    std::vector<Loan> m_loans;
    std::vector<Borrowed> m_borrowed;
};

} // namespace celeryline
