#include "celeryline/control/VoterLog.h"

#include "LoggedCluster.h"
#include "celeryline/control/ReplicaNames.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using celeryline::test::linesNamed;
using celeryline::test::VoterCluster;

namespace {

/// A cluster of which each replica has a VoterLog.
struct LoggedCluster : test::LoggedCluster<VoterLog> {
    explicit LoggedCluster(const std::vector<std::string>& founders)
        : test::LoggedCluster<VoterLog>(founders, VoterLog(VoterCluster::electionTimeout))
    {
    }
};

} // namespace

// Guards against a start that doesn't name the voters: the incident's log gave only their number.
TEST_CASE("The first configuration is logged with its members", "[control]")
{
    LoggedCluster logged({ "a", "b", "c" });
    for (const std::string name : { "a", "b", "c" }) {
        auto changes = logged.linesOf(name, "voters-changed");
        REQUIRE(changes.size() == 2);
        REQUIRE(changes[0].get("isCommitted") == "false");
        REQUIRE(changes[1].get("isCommitted") == "true");
        REQUIRE(changes[1].get("from").empty());
        REQUIRE(changes[1].get("to") == "a,b,c");
        REQUIRE(changes[1].get("added") == "a/disk-of-,b/disk-of-,c/disk-of-");
    }
    REQUIRE(linesNamed(logged.lines, "voter-unreachable").empty());
    REQUIRE(linesNamed(logged.lines, "voter-not-replaced").empty());
}

// Guards against a replacement of which nobody can say when it happened, of whom and why.
TEST_CASE("The replacement of a lost voter is logged by all, with the reason on the leader", "[control]")
{
    LoggedCluster logged({ "a", "b", "c" });
    auto& cluster = logged.cluster;
    auto leader = cluster.leader();
    auto lost = cluster.follower();
    logged.lines.clear();
    cluster.stop(lost);
    cluster.start("d");
    cluster.run({ 10000 });

    auto unreachable = linesNamed(logged.lines, "voter-unreachable");
    REQUIRE(unreachable.size() == 1);
    REQUIRE(unreachable[0].instance == leader);
    REQUIRE(unreachable[0].get("voter") == describe(cluster.idOf(lost)));
    REQUIRE(unreachable[0].number("silentMs") >= 500);
    REQUIRE(unreachable[0].number("silentMs") <= 700);

    auto changes = logged.linesOf(leader, "voters-changed");
    REQUIRE(changes.size() == 2); // Committed within the tick in which they were appended.
    REQUIRE(changes[0].get("isCommitted") == "true");
    REQUIRE(changes[0].get("added") == "d/disk-of-");
    REQUIRE(changes[0].get("removed").empty());
    REQUIRE(changes[0].get("reason") == "voter-lost");
    REQUIRE(changes[0].get("lostVoter") == describe(cluster.idOf(lost)));
    REQUIRE(changes[0].number("silentMs") >= VoterCluster::replacementTimeout.count);
    REQUIRE(changes[0].number("silentMs") <= VoterCluster::replacementTimeout.count + 200);
    REQUIRE(changes[1].number("index") > changes[0].number("index"));
    REQUIRE(changes[1].get("added").empty());
    REQUIRE(changes[1].get("removed") == describe(cluster.idOf(lost)));
    REQUIRE(changes[1].get("reason") == "lost-voter-removed");
    REQUIRE(logged.logs.at(leader).changeCount() == 3);

    for (const auto& line : linesNamed(logged.lines, "voters-changed")) {
        bool hasReason = line.fields->has("reason");
        REQUIRE(hasReason == (line.instance == leader));
    }
    REQUIRE(logged.linesOf("d", "caught-up").size() == 1);
    REQUIRE(logged.linesOf("d", "became-voter").size() == 1);
    REQUIRE(logged.linesOf(leader, "learner-ready").size() == 1);
    REQUIRE(linesNamed(logged.lines, "voter-not-replaced").empty());
}

// Guards against seconds with a lost voter in which the log doesn't say what its replacement waits for.
TEST_CASE("While a lost voter isn't replaced, the leader states the reason every few seconds", "[control]")
{
    LoggedCluster logged({ "a", "b", "c" });
    auto& cluster = logged.cluster;
    logged.lines.clear();
    cluster.stop(cluster.follower());
    cluster.run({ 12000 });
    auto lines = linesNamed(logged.lines, "voter-not-replaced");
    REQUIRE(lines.size() == 4);
    for (const auto& line : lines)
        REQUIRE(line.get("reason") == "no-learner-known");
    REQUIRE(lines.back().number("reached") == 2);
    REQUIRE(lines.back().number("majority") == 2);
    cluster.start("diskless", memoryIdPrefix + std::string("1"));
    cluster.run({ 4000 });
    lines = linesNamed(logged.lines, "voter-not-replaced");
    REQUIRE(lines.back().get("reason") == "no-learner-ready");
    REQUIRE(lines.back().get("learners") == "diskless:no-durable-storage");
}

// Guards against a leader that steps down because it lost two voters at once without naming them: both are
// lost for less than the time after which they would be logged as out of reach.
TEST_CASE("A leader that steps down logs how long each voter was silent", "[control]")
{
    LoggedCluster logged({ "a", "b", "c" });
    auto& cluster = logged.cluster;
    auto leader = cluster.leader();
    logged.lines.clear();
    for (const std::string name : { "a", "b", "c" }) {
        if (name != leader)
            cluster.stop(name);
    }
    cluster.run({ 2000 });
    auto lines = linesNamed(logged.lines, "leadership-lost");
    REQUIRE(lines.size() == 1);
    REQUIRE(lines[0].instance == leader);
    REQUIRE(lines[0].number("majority") == 2);
    auto silent = lines[0].get("silentMs");
    for (const std::string name : { "a", "b", "c" })
        REQUIRE(silent.find(name + ":") != std::string::npos);
}

// Guards against a flood of lines about a voter whose link comes and goes.
TEST_CASE("A voter that comes and goes is logged at most once a second", "[control]")
{
    LoggedCluster logged({ "a", "b", "c" });
    auto& cluster = logged.cluster;
    auto leader = cluster.leader();
    auto flapping = cluster.follower();
    logged.lines.clear();
    constexpr int cycles = 20;
    for (int i = 0; i < cycles; ++i) {
        cluster.isolate(flapping);
        cluster.run({ 550 });
        cluster.reconnect(flapping);
        cluster.run({ 150 });
    }
    cluster.run({ 2000 });
    REQUIRE(cluster.leader() == leader);
    auto lost = logged.linesOf(leader, "voter-unreachable");
    auto found = logged.linesOf(leader, "voter-reachable");
    REQUIRE(lost.size() + found.size() >= 2);
    REQUIRE(lost.size() + found.size() <= 15);
    REQUIRE(lost.size() == found.size());
}

// Guards against a returned configuration that is logged as not committed: an entry that never reached a
// majority is replaced by a new leader.
TEST_CASE("A change that is replaced before its commit is logged back", "[control]")
{
    LoggedCluster logged({ "a", "b", "c" });
    auto& cluster = logged.cluster;
    auto leader = cluster.leader();
    cluster.start("d");
    cluster.run({ 500 });
    cluster.isolate(leader);
    logged.lines.clear();
    auto changed = cluster.core(leader).log().configuration();
    changed.voters.push_back(cluster.idOf("d"));
    REQUIRE(cluster.core(leader).changeConfiguration(changed));
    // Before the new leader replaces the isolated one.
    REQUIRE_FALSE(cluster.runUntilLeader().empty());
    cluster.run({ 200 });
    cluster.reconnect(leader);
    cluster.run({ 1000 });
    auto changes = logged.linesOf(leader, "voters-changed");
    REQUIRE(changes.size() == 2);
    REQUIRE(changes[0].get("added") == describe(cluster.idOf("d")));
    REQUIRE(changes[0].get("isCommitted") == "false");
    REQUIRE(changes[0].get("reason") == "requested");
    REQUIRE(changes[1].get("removed") == describe(cluster.idOf("d")));
    REQUIRE(changes[1].get("isCommitted") == "true");
    REQUIRE_FALSE(changes[1].fields->has("reason"));
}

// Guards against a voter that loses its vote without saying so in its own log.
TEST_CASE("A voter that was replaced while it was cut off logs that it no longer votes", "[control]")
{
    LoggedCluster logged({ "a", "b", "c" });
    auto& cluster = logged.cluster;
    auto replaced = cluster.follower();
    cluster.start("d");
    cluster.isolate(replaced);
    cluster.run({ 10000 });
    logged.lines.clear();
    cluster.reconnect(replaced);
    cluster.run({ 2000 });
    REQUIRE(logged.linesOf(replaced, "no-longer-voter").size() == 1);
    auto changes = logged.linesOf(replaced, "voters-changed");
    REQUIRE(changes.size() == 1);
    REQUIRE(changes[0].get("isVoter") == "false");
    REQUIRE(changes[0].get("added") == describe(cluster.idOf("d")));
    REQUIRE(changes[0].get("removed") == describe(cluster.idOf(replaced)));
}
