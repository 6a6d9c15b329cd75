/// @file
/// How long no leader has answered, and whether requests are refused for it.
#pragma once

#include "celeryline/base/Millis.h"

#include <algorithm>

namespace celeryline {

/// How long no leader has answered although control processes were asked. Only time in which this process ran
/// counts, so that its own pause is not taken for a silence of the leader.
///
/// Example: `silence = afterQuestion(silence, now); ... silence = afterTime(silence, now);`
struct LeaderSilence {
    bool isWaiting = false; ///< A control process was asked since the last answer of a leader.
    Millis length; ///< Since that question.
    Millis notedAt; ///< Monotonic time up to which the length was counted.
};

inline bool operator==(const LeaderSilence& a, const LeaderSilence& b)
{
    return a.isWaiting == b.isWaiting && a.length == b.length && a.notedAt == b.notedAt;
}
inline bool operator!=(const LeaderSilence& a, const LeaderSilence& b) { return !(a == b); }

/// How often the time must be noted while an answer is waited for.
inline constexpr Millis silenceStep { 50 };
/// What is longer between two notes is a pause of this process, and counts as this long.
inline constexpr Millis longestSilenceStep { 100 };

/// Counts the time since the last note.
/// @param silence the state before.
/// @param now monotonic time.
/// @return the state after.
inline LeaderSilence afterTime(LeaderSilence silence, Millis now)
{
    if (silence.isWaiting)
        silence.length = silence.length + std::min(now - silence.notedAt, longestSilenceStep);
    silence.notedAt = now;
    return silence;
}

/// Notes that a control process is asked.
/// @param silence the state before.
/// @param now monotonic time.
/// @return the state after.
inline LeaderSilence afterQuestion(LeaderSilence silence, Millis now)
{
    silence = afterTime(silence, now);
    silence.isWaiting = true;
    return silence;
}

/// Notes that a leader has answered.
/// @param now monotonic time.
/// @return the state after.
inline LeaderSilence afterAnswer(Millis now) { return { false, {}, now }; }

/// When requests are refused at once for want of a leader.
struct RefusalRule {
    Millis limit; ///< Silence of all leaders; 0 never refuses.
    Millis retryAfter; ///< When the next question to the control processes could have been answered.
};

/// @param rule the rule.
/// @param silence how long no leader has answered.
/// @param mayHaveEffect whether the request may have been carried out; its caller must be told so, and the
/// next leader may still know the outcome.
/// @return whether a request is refused without waiting for a leader.
inline bool mustRefuse(const RefusalRule& rule, const LeaderSilence& silence, bool mayHaveEffect)
{
    return !mayHaveEffect && rule.limit > Millis {} && silence.length >= rule.limit;
}

} // namespace celeryline
