/// @file
/// Limits retries to a share of the first tries.
#pragma once

#include <atomic>
#include <cstdint>

namespace celeryline {

/// A token bucket that first tries fill and retries empty, so that retries can't multiply an overload.
/// Thread-safe.
class RetryBudget {
public:
    /// @param percent share of first tries that may be retried.
    explicit RetryBudget(std::int64_t percent)
        : m_percent(percent)
        , m_hundredths(percent > 0 ? burstHundredths : 0)
    {
    }

    /// Counts a first try.
    void onFirstAttempt()
    {
        auto tokens = m_hundredths.load(std::memory_order_relaxed);
        while (tokens < burstHundredths
            && !m_hundredths.compare_exchange_weak(tokens,
                tokens + m_percent < burstHundredths ? tokens + m_percent : burstHundredths,
                std::memory_order_relaxed)) { }
    }

    /// @return whether a retry is possible now.
    bool hasToken() const { return m_hundredths.load(std::memory_order_relaxed) >= 100; }

    /// Takes a token for one retry.
    /// @return false if the budget is spent.
    bool tryConsume()
    {
        auto tokens = m_hundredths.load(std::memory_order_relaxed);
        while (tokens >= 100) {
            if (m_hundredths.compare_exchange_weak(tokens, tokens - 100, std::memory_order_relaxed)) {
                return true;
            }
        }
        return false;
    }

private:
    /// Ten retries may come at once; a service with little traffic can still survive one silent runner.
    static constexpr std::int64_t burstHundredths = 1000;

    std::int64_t m_percent;
    std::atomic<std::int64_t> m_hundredths;
};

} // namespace celeryline
