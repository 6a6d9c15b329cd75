#include "celeryline/control/ElectionLog.h"

#include "LoggedCluster.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using celeryline::test::linesNamed;
using celeryline::test::LoggedCluster;

namespace {

const std::vector<std::string> founders { "a", "b", "c" };

} // namespace

// Guards against the log of the incident: a minute without a leader, and no line that says whose votes lack.
TEST_CASE("An election that doesn't end is logged with the missing voters", "[control]")
{
    LoggedCluster<ElectionLog> logged(founders);
    auto& cluster = logged.cluster;
    REQUIRE(linesNamed(logged.lines, "election-stalled").empty());
    auto candidate = cluster.follower();
    for (const std::string name : { "a", "b", "c" }) {
        if (name != candidate)
            cluster.stop(name);
    }
    cluster.run({ 10000 });
    auto lines = linesNamed(logged.lines, "election-stalled");
    REQUIRE(lines.size() >= 3);
    REQUIRE(lines.size() <= 6);
    const auto& line = lines.back();
    REQUIRE(line.get("kind") == "pre-vote");
    REQUIRE(line.number("voters") == 3);
    REQUIRE(line.number("majority") == 2);
    REQUIRE(line.get("granted") == candidate + "/disk-of-");
    REQUIRE(line.get("refused").empty());
    std::string missing;
    for (const std::string name : { "a", "b", "c" }) {
        if (name != candidate)
            missing += (missing.empty() ? "" : ",") + name + "/disk-of-";
    }
    REQUIRE(line.get("missing") == missing);
    REQUIRE(logged.logs[candidate].roundCount() == cluster.core(candidate).electionRounds());
}

// Guards against a request that is ignored because the voter has a new disk, which looks like a dead voter to
// the candidate.
TEST_CASE("The refusing replica logs its reason at a bounded rate", "[control]")
{
    LoggedCluster<ElectionLog> logged(founders);
    auto& cluster = logged.cluster;
    auto leader = cluster.leader();
    auto replaced = cluster.follower();
    cluster.stop(leader);
    cluster.stop(replaced);
    cluster.start(replaced, "new-disk");
    logged.logs[replaced] = {};
    logged.lines.clear();
    cluster.run({ 10000 });
    auto lines = linesNamed(logged.lines, "vote-refused");
    REQUIRE(lines.size() >= 3);
    REQUIRE(lines.size() <= 6);
    std::int64_t refusals = 0;
    for (const auto& line : lines) {
        REQUIRE(line.instance == replaced);
        REQUIRE(line.get("reason") == "other-storage-id");
        refusals += line.number("refusals");
    }
    REQUIRE(refusals > static_cast<std::int64_t>(lines.size()));
}

// Guards against a process that waits for a leader in silence because it doesn't vote: an election can't end
// if all that remain are learners.
TEST_CASE("A replica without a vote logs that it has no leader to follow", "[control]")
{
    LoggedCluster<ElectionLog> logged(founders);
    auto& cluster = logged.cluster;
    cluster.start("d");
    cluster.run({ 1000 });
    REQUIRE(linesNamed(logged.lines, "no-leader-to-follow").empty());
    for (const std::string name : { "a", "b", "c" })
        cluster.stop(name);
    logged.lines.clear();
    cluster.run({ 10000 });
    auto lines = linesNamed(logged.lines, "no-leader-to-follow");
    REQUIRE(lines.size() >= 3);
    REQUIRE(lines.size() <= 6);
    REQUIRE(lines[0].instance == "d");
    REQUIRE(lines[0].get("voterNames") == "a,b,c");
    REQUIRE(linesNamed(logged.lines, "election-stalled").empty());
}

// Guards against a count of elections that starts anew after a storage error, which a counter can't do.
TEST_CASE("Rounds are counted on when the replica is opened again", "[control]")
{
    LoggedCluster<ElectionLog> before(founders);
    auto name = before.cluster.follower();
    before.cluster.isolate(name);
    before.cluster.run({ 5000 });
    LoggedCluster<ElectionLog> after(founders);
    after.cluster.isolate(name);
    after.cluster.run({ 2000 });
    auto rounds = before.cluster.core(name).electionRounds();
    auto roundsAfter = after.cluster.core(name).electionRounds();
    REQUIRE(roundsAfter > 0);
    REQUIRE(roundsAfter < rounds);
    REQUIRE(before.logs[name].roundCount() == rounds);
    before.logs[name].observe(after.cluster.core(name), after.cluster.now());
    REQUIRE(before.logs[name].roundCount() == rounds + roundsAfter);
}
