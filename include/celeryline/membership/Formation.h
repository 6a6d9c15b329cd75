/// @file
/// The formation of the log from seed addresses.
#pragma once

#include "celeryline/membership/Introduction.h"
#include "celeryline/storage/LogEntry.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace celeryline {

/// Decides when to form the log. The first seed forms it, once every other founding seed has answered and is
/// empty. All others only join, so that whichever order processes start in there is one log.
class Formation {
public:
    /// @param self address of this process.
    /// @param seeds addresses that all processes are given at the first start.
    /// @param isFirstStart whether the system starts for the first time, with empty disks.
    /// @param voters number of voters that the log should have.
    Formation(std::string self, std::vector<std::string> seeds, bool isFirstStart, std::size_t voters);

    /// Takes what another process says of itself.
    void note(const Introduction& other);

    /// @param own what this process says of itself.
    /// @return the first entry of the log, when it is to be formed here; nothing otherwise.
    std::optional<LogEntry> form(const Introduction& own);

private:
    std::string m_self;
    std::vector<std::string> m_founders;
    bool m_isFounder = false;
    std::map<std::string, std::string> m_emptyFounders; ///< Storage id by address.
};

} // namespace celeryline
