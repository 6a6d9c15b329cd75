/// @file
/// Formation of the replicated log from seed addresses.
#pragma once

#include "celeryline/membership/Introduction.h"
#include "celeryline/storage/LogEntry.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace celeryline {

/// Decides when this process forms the replicated log. Only the first seed forms it, once all other founders
/// have reported empty storage; all other processes join. This yields a single log for any start order.
class Formation {
public:
    /// @param self address of this process.
    /// @param seeds seed addresses, the same on all processes; the first `voters` of them are the founders.
    /// @param isFirstStart whether the system starts for the first time, with empty storage.
    /// @param voters number of initial voters.
    Formation(std::string self, std::vector<std::string> seeds, bool isFirstStart, std::size_t voters);

    /// Records the introduction of another process.
    void recordPeer(const Introduction& other);

    /// @param own the introduction of this process.
    /// @return the first entry of the log if this process must form it now; otherwise nothing.
    std::optional<LogEntry> formIfReady(const Introduction& own);

private:
    std::string m_self;
    std::vector<std::string> m_founders;
    bool m_isFounder = false;
    std::map<std::string, std::string> m_emptyFounders; ///< Storage ids of other founders by address.
};

} // namespace celeryline
