/// @file
/// The slots of one runner that this instance may use.
#pragma once

#include "celeryline/base/Millis.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace celeryline {

/// The slots of one boot of a runner: those this instance owns, has lent and has borrowed. Thread-safe; one
/// lock per runner, held for a few instructions.
class RunnerCredits {
public:
    /// Where a slot in use came from; needed to give it back.
    struct Source {
        std::uint64_t loan = 0; ///< 0: an own slot.
    };

    /// A loan from another instance that is to be given back.
    struct LoanReturn {
        std::string lender;
        std::uint32_t slots = 0;
    };

    /// @param allowance slots that this instance may use or lend from now on; less than are in use delays new
    /// work.
    void setAllowance(std::uint32_t allowance) { m_allowance.store(allowance); }

    /// Takes a slot for one request: an own one, or a borrowed one within its lease.
    /// @param now the time.
    /// @param[out] source where the slot came from.
    /// @return false if none is free.
    bool tryAcquireSlot(Millis now, Source& source);

    /// Gives back a slot whose request has ended.
    /// @param source as tryTake() gave it.
    void releaseSlot(Source source);

    /// Prefers other runners until a time, after this one refused connections or stayed silent.
    void suspectUntil(Millis time) { m_suspectUntil.store(time.count, std::memory_order_relaxed); }

    /// @return whether other runners are to be preferred.
    bool isSuspect(Millis now) const { return now.count < m_suspectUntil.load(std::memory_order_relaxed); }

    /// @return the number of requests in progress.
    std::uint32_t inUse() const { return m_inUse.load(std::memory_order_relaxed); }

    /// @return the number of slots that tryTake() would probably give now.
    std::uint32_t free() const;

    /// @return own and borrowed slots, in use or not.
    std::uint32_t capacity() const;

    /// @return own slots that are in use or lent beyond the allowance.
    std::uint32_t excess() const;

    /// Lends up to half of the free own slots.
    /// @param borrower the other instance.
    /// @param borrowerEpoch its boot epoch.
    /// @param wanted how many it wants.
    /// @param until when the loan is taken as lost if the borrower does not return it: later than any request
    /// on it can last.
    /// @return how many are lent.
    std::uint32_t lend(
        const std::string& borrower, std::uint64_t borrowerEpoch, std::uint32_t wanted, Millis until);

    /// Takes back slots that were lent.
    void acceptReturn(const std::string& borrower, std::uint64_t borrowerEpoch, std::uint32_t slots);

    /// Ends loans to earlier boots of a borrower, whose connections have ended with their process.
    void endLoansToEarlierBoots(const std::string& borrower, std::uint64_t borrowerEpoch);

    /// Adds slots that another instance lent.
    /// @param lender the other instance.
    /// @param slots how many.
    /// @param startBy work may start on them before this time.
    void borrow(const std::string& lender, std::uint32_t slots, Millis startBy);

    /// Ends loans from a lender that no longer counts them, as it was lost. Their requests in progress count
    /// as own ones from now on.
    /// @param lender the lender; empty for all.
    void convertLoansToOwn(const std::string& lender);

    /// @param now the time.
    /// @return borrowed slots whose lease has ended and that are not in use; they are no longer borrowed.
    std::vector<LoanReturn> takeReturns(Millis now);

    /// Ends loans that were not returned in time. To be called often.
    void expire(Millis now);

    /// @return whether nothing is in use, lent or borrowed.
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
