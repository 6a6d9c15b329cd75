/// @file
/// Which part of a runner's slots each entry instance owns.
#pragma once

#include "celeryline/base/Millis.h"

#include <cstdint>
#include <deque>
#include <optional>
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
/// A joining instance makes the shares of the others smaller at once. What a lost instance owned may be used
/// only after all have noticed the loss (the settling time) and after every live instance has then told what
/// it still uses beyond its share. The same holds for everything that a new instance owns, and one that was
/// suspended so long that others may have taken its slots. Without reports it takes until no earlier request
/// can still run.
class CreditShare {
public:
    /// @param instance this instance.
    /// @param settle time in which all instances notice a change of the live set.
    /// @param longestRequest longest time a request can last.
    /// @param now the time.
    CreditShare(std::string instance, Millis settlingTime, Millis longestRequest, Millis now);

    /// To be called often; tells which instances are live. A pause of the settling time or more means that
    /// this process was suspended, and makes it new again.
    /// @param now the time.
    /// @param live the live entry instances with this one.
    /// @param reportedSince every live instance has sent a report that was asked for then or later.
    void updateMembers(Millis now, const std::vector<std::string>& live, Millis reportedSince);

    /// @return when reports are to be asked for at the earliest; nothing if none is needed.
    std::optional<Millis> reportsNeededFrom() const;

    /// @return whether this instance is new.
    bool isNew() const { return m_isNew; }

    /// @param now the time.
    /// @return whether onView() was called so lately that the shares may be used.
    bool isFresh(Millis now) const { return now - m_lastUpdate < m_settlingTime; }

    /// @return the newest set of live instances.
    const std::vector<std::string>& live() const { return m_live; }

    /// @param runner name of the runner.
    /// @param slots its slots.
    /// @return the number of slots that this instance may use until the next onView().
    std::uint32_t allowance(const std::string& runner, std::uint32_t slots) const;

private:
    struct MemberSet {
        std::vector<std::string> live;
        Millis replacedAt; ///< When the next view came.
    };

    bool isSettled(Millis now, Millis changed, Millis reportedFrom, Millis reportedSince) const;

    std::string m_instance;
    Millis m_settlingTime;
    Millis m_longestRequest;
    Millis m_lastUpdate;
    Millis m_newSince;
    bool m_isNew = true;
    std::vector<std::string> m_live; ///< The newest view.
    std::deque<MemberSet> m_unsettled; ///< Views whose loss of an instance has not settled.
};

} // namespace celeryline
