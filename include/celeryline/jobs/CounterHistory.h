/// @file
/// Earlier values of a counter.
#pragma once

#include "celeryline/base/Millis.h"

#include <cstdint>
#include <deque>

namespace celeryline {

/// Samples of a counter that only grows. Tells which of the things that it counts have a minimum age.
class CounterHistory {
public:
    /// @param age minimum age of what oldValue() counts.
    explicit CounterHistory(Millis age)
        : m_age(age)
    {
    }

    /// Records the current value.
    /// @param value the counter.
    /// @param now steady time; not before that of earlier calls.
    void sample(std::uint64_t value, Millis now)
    {
        if (m_samples.empty() || m_samples.back().value != value)
            m_samples.push_back({ value, now });
        while (!m_samples.empty() && m_samples.front().at + m_age <= now) {
            m_oldValue = m_samples.front().value;
            m_samples.pop_front();
        }
    }

    /// @return the newest value that was recorded at least the minimum age before the latest sample; 0 if
    /// there is none.
    std::uint64_t oldValue() const { return m_oldValue; }

    /// Forgets all values.
    void clear()
    {
        m_samples.clear();
        m_oldValue = 0;
    }

private:
    struct Sample {
        std::uint64_t value = 0;
        Millis at;
    };

    Millis m_age;
    std::deque<Sample> m_samples; ///< Those that are younger, oldest first.
    std::uint64_t m_oldValue = 0;
};

} // namespace celeryline
