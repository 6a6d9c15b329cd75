/// @file
/// Division of a runner's slots among the entry instances.
#pragma once

#include "celeryline/base/Millis.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace celeryline {

/// Divides a runner's slots equally. A hash of runner and instance name decides which instances get
/// the remainder. Adding an instance never increases the share of another one.
/// @param runner name of the runner.
/// @param slots number of its slots.
/// @param instance an entry instance.
/// @param live the live entry instances.
/// @return the number of slots that the instance owns; 0 if the instance is not live.
std::uint32_t shareOf(const std::string& runner, std::uint32_t slots, const std::string& instance,
    const std::vector<std::string>& live);

/// Computes this instance's share of the slots across membership changes.
///
/// When an instance joins, the shares of the others shrink immediately. The slots of a lost instance may be
/// used only after the settling time, in which all instances detect the loss, and after every live instance
/// has then reported the slots it still uses beyond its share. The same applies to all slots of a new
/// instance, and of one that was suspended so long that others may have taken over its slots. Without reports
/// the wait is extended by the maximum request duration, after which no earlier request can be running.
class CreditShare {
public:
    /// @param instance name of this instance.
    /// @param settlingTime time within which all instances detect a change of the live set.
    /// @param longestRequest maximum duration of a request.
    /// @param now the current time.
    CreditShare(std::string instance, Millis settlingTime, Millis longestRequest, Millis now);

    /// Updates the set of live instances; must be called periodically. A gap of the settling time or more
    /// between calls means that this process was suspended, and it is then treated as new.
    /// @param now the current time.
    /// @param live the live entry instances including this one.
    /// @param reportedSince every live instance has sent a report that was requested at this time or later.
    void updateMembers(Millis now, const std::vector<std::string>& live, Millis reportedSince);

    /// @return the earliest time to request reports, or nullopt if none are needed.
    std::optional<Millis> reportsNeededFrom() const;

    /// @return whether this instance is new and owns no slots yet.
    bool isNew() const { return m_isNew; }

    /// @param now the current time.
    /// @return whether updateMembers() was called within the settling time, so that the shares are valid.
    bool isFresh(Millis now) const { return now - m_lastUpdate < m_settlingTime; }

    /// @return the current set of live instances.
    const std::vector<std::string>& live() const { return m_live; }

    /// @param runner name of the runner.
    /// @param slots number of its slots.
    /// @return the number of slots that this instance may use until the next updateMembers().
    std::uint32_t allowance(const std::string& runner, std::uint32_t slots) const;

private:
    struct MemberSet {
        std::vector<std::string> live;
        Millis replacedAt; ///< When a newer set replaced it.
    };

    bool isSettled(Millis now, Millis changed, Millis reportedFrom, Millis reportedSince) const;

    std::string m_instance;
    Millis m_settlingTime;
    Millis m_longestRequest;
    Millis m_lastUpdate;
    Millis m_newSince;
    bool m_isNew = true;
    std::vector<std::string> m_live; ///< The current set.
    std::deque<MemberSet> m_unsettled; ///< Earlier sets with a lost instance whose slots may still be in use.
};

} // namespace celeryline
