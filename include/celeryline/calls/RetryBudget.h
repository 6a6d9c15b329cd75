/// @file
/// Limits retries to a percentage of first attempts.
#pragma once

#include <atomic>
#include <cstdint>

namespace celeryline {

/// A token bucket that first attempts refill and retries consume, so that retries can't amplify an overload.
/// Thread-safe.
class RetryBudget {
public:
    /// @param percent percentage of first attempts that may be retried; 0 disables retries.
    explicit RetryBudget(std::int64_t percent)
        : m_percent(percent)
        , m_hundredths(percent > 0 ? burstHundredths : 0)
    {
    }

    /// Refills the bucket by the share of one first attempt.
    void onFirstAttempt()
    {
        auto tokens = m_hundredths.load(std::memory_order_relaxed);
        while (tokens < burstHundredths
            && !m_hundredths.compare_exchange_weak(tokens,
                tokens + m_percent < burstHundredths ? tokens + m_percent : burstHundredths,
                std::memory_order_relaxed)) { }
    }

    /// @return whether a token is available.
    bool hasToken() const { return m_hundredths.load(std::memory_order_relaxed) >= 100; }

    /// Consumes a token for one retry.
    /// @return false if the budget is exhausted.
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
    /// Bucket size in hundredths of a token. Ten retries let a service with little traffic tolerate one
    /// unresponsive runner.
    static constexpr std::int64_t burstHundredths = 1000;

    std::int64_t m_percent;
    std::atomic<std::int64_t> m_hundredths;
};

} // namespace celeryline
