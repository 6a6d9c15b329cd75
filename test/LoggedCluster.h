/// @file
/// A cluster whose replicas write log lines.
#pragma once

#include "EventLines.h"
#include "VoterCluster.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <vector>

namespace celeryline::test {

/// A cluster that has had a leader for a second, and of which each replica has a log that observes it.
/// @tparam Log class with a function `observe(core, now)` that returns the new events.
template <typename Log> struct LoggedCluster {
    /// @param founders names of the first voters.
    /// @param initial copied for each replica when it starts for the first time.
    explicit LoggedCluster(const std::vector<std::string>& founders, const Log& initial = Log())
        : cluster(founders)
        , initialLog(initial)
    {
        cluster.onTick = [this] { observe(); };
        REQUIRE_FALSE(cluster.runUntilLeader().empty());
        cluster.run({ 1000 });
    }
    LoggedCluster(const LoggedCluster&) = delete;
    LoggedCluster& operator=(const LoggedCluster&) = delete;

    /// Adds the new lines of all replicas.
    void observe()
    {
        for (const auto& [name, core] : cluster.cores()) {
            auto& log = logs.try_emplace(name, initialLog).first->second;
            collect(lines, name, log.observe(*core, cluster.now()));
        }
    }

    /// @return the lines of one replica with a name, in order.
    std::vector<EventLine> linesOf(const std::string& instance, const std::string& event) const
    {
        std::vector<EventLine> found;
        for (const auto& line : linesNamed(lines, event)) {
            if (line.instance == instance)
                found.push_back(line);
        }
        return found;
    }

    VoterCluster cluster;
    Log initialLog;
    std::map<std::string, Log> logs; ///< By name of the replica.
    std::vector<EventLine> lines;
};

} // namespace celeryline::test
