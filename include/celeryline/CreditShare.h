/// @file
/// Which part of a runner's slots each entry instance owns.
#pragma once

#include "celeryline/Millis.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace celeryline {

/// Divides a runner's slots equally. Which instances get the remainder differs from runner to runner. A
/// larger set of instances never gives any of them more.
/// @param runner name of the runner.
/// @param slots its slots.
/// @param instance an entry instance.
/// @param live the live entry instances.
/// @return the number of slots that the instance owns; 0 if it is not live.
std::uint32_t shareOf(const std::string& runner, std::uint32_t slots, const std::string& instance,
    const std::vector<std::string>& live);

/// Remembers the sets of live instances that this instance has seen lately.
///
/// Instances notice a change at different times. While they may disagree, this instance may use only what it
/// owned under every set that it saw; so the shares of all instances never add up to more than the slots, as
/// long as every instance notices a change within the settling time.
class CreditShare {
public:
    /// @param instance this instance.
    /// @param settle time in which all instances notice a change of the live set.
    /// @param now the time; without knowledge of others nothing may be used until the settling time is over.
    CreditShare(std::string instance, Millis settle, Millis now);

    /// To be called often; tells which instances are live. A pause of the settling time or more means
    /// that this process was suspended: the others may have taken its slots, so that it begins anew.
    /// @param now the time.
    /// @param live the live entry instances with this one.
    void onView(Millis now, const std::vector<std::string>& live);

    /// @param now the time.
    /// @return whether onView() was called so lately that the shares may be used.
    bool isFresh(Millis now) const { return now - m_lastView < m_settle; }

    /// @param runner name of the runner.
    /// @param slots its slots.
    /// @return the number of slots that this instance may use until the next onView().
    std::uint32_t allowance(const std::string& runner, std::uint32_t slots) const;

private:
    struct View {
        std::vector<std::string> live;
        Millis replaced; ///< When the next view came.
    };

    std::string m_instance;
    Millis m_settle;
    Millis m_lastView;
    std::vector<std::string> m_live; ///< The newest view.
    std::deque<View> m_older; ///< Views that were replaced less than the settling time ago.
};

} // namespace celeryline
