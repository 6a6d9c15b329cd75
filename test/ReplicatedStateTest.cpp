#include "celeryline/fleet/ReplicatedState.h"

#include "FleetFixture.h"
#include "celeryline/base/Error.h"
#include "celeryline/fleet/FleetCodec.h"
#include "celeryline/fleet/PoolMembership.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <chrono>
#include <iostream>

using namespace celeryline;
using namespace celeryline::test;
using Catch::Matchers::Contains;

// Guards against accepting both of two concurrent changes, and against a conflict error that doesn't name the
// object, the conflicting command and its revision.
TEST_CASE("Of two changes with equal base revisions exactly one wins", "[fleet]")
{
    StateFixture f;
    f.run(applyCommand({ "a" }));
    auto first = applyCommand({ "a" }, f.state.revision());
    auto second = first;
    first.pools[0].guarded = false;
    second.pools[0].spare = true;
    CHECK(f.run(first, "change-1").accepted);
    auto rejected = f.run(second, "change-2");
    CHECK_FALSE(rejected.accepted);
    CHECK(rejected.errorKind == ErrorKind::Conflict);
    CHECK_THAT(rejected.body, Contains("pool \"a\"") && Contains("\"change-1\"") && Contains("revision 2"));
    CHECK_FALSE(f.state.fleet()->pools->at("a").spare);
}

TEST_CASE("Base revision 0 creates an object but never replaces one", "[fleet]")
{
    StateFixture f;
    CHECK(f.run(applyCommand({ "a" }, 0)).accepted);
    auto again = applyCommand({ "a" }, 0);
    again.pools[0].spare = true;
    CHECK(f.run(again).errorKind == ErrorKind::Conflict);
}

// Guards against a change based on a stale revision that recreates an object deleted since.
TEST_CASE("A change based on a revision before the deletion is a conflict", "[fleet]")
{
    StateFixture f;
    f.run(applyCommand({ "a" }));
    auto base = f.state.revision();
    auto remove = command(FleetOperation::Delete);
    remove.objects = { { "pool", "a" } };
    CHECK(f.run(remove).accepted);
    CHECK_THAT(f.run(applyCommand({ "a" }, base)).body, Contains("was deleted at revision"));
}

// Guards against applying a command twice when an operator retries it after its response was lost.
TEST_CASE("A resent command gets its first result and changes nothing", "[fleet]")
{
    StateFixture f;
    auto first = f.run(applyCommand({ "a" }), "same");
    f.run(registerCommand("w1", "a"));
    auto revision = f.state.revision();
    CHECK(f.run(applyCommand({ "b" }), "same") == first);
    CHECK(f.state.revision() == revision);
    for (std::size_t i = 0; i < ReplicatedState::maxResults; ++i) {
        f.run(command(FleetOperation::FinishMove, "w1"));
    }
    CHECK(f.run(applyCommand({ "b" }), "same").revision == revision + 1);
}

TEST_CASE("Overlapping selectors are refused with both pools and the instance", "[fleet]")
{
    StateFixture f;
    f.run(applyCommand({ "a" }));
    f.run(registerCommand("w1", "a"));
    auto overlap = applyCommand({ "b" });
    overlap.pools[0].selector = parseSelector("service=a");
    auto result = f.run(overlap);
    CHECK(result.errorKind == ErrorKind::InvalidInput);
    CHECK_THAT(result.body, Contains("\"a\"") && Contains("\"b\"") && Contains("\"w1\""));
    CHECK(f.state.fleet()->pools->size() == 1);
}

TEST_CASE("A wrong command names the field and the remedy", "[fleet]")
{
    StateFixture f;
    auto message = [&](const std::string& body) {
        auto result
            = f.state.apply(++f.index, {}, { CommandKind::Fleet, "m" + std::to_string(f.index), body });
        CHECK_FALSE(result.accepted);
        CHECK(result.errorKind == ErrorKind::InvalidInput);
        return result.body;
    };
    CHECK_THAT(message("{"), Contains("not JSON"));
    CHECK_THAT(message(R"({"operation":"drian"})"), Contains("did you mean \"drain\""));
    CHECK_THAT(message(R"({"operation":"drain","name":7})"), Contains("\"name\" is not a text"));
    CHECK_THAT(
        message(R"({"operation":"drain","name":"x","forse":true})"), Contains("did you mean \"force\""));
    CHECK_THAT(message(R"({"operation":"apply","objects":[{"kind":"pool"}]})"), Contains("objects[0].name"));
    CHECK_THAT(
        message(R"({"operation":"apply","objects":[{"kind":"service","name":"s","minAvailable":-1}]})"),
        Contains("objects[0].minAvailable") && Contains("from 0"));
}

TEST_CASE("A wave takes an instance through drain, reboot and return", "[fleet]")
{
    StateFixture f;
    f.run(applyCommand({ "a" }));
    f.run(registerCommand("w1", "a"));
    f.run(registerCommand("w2", "a"));
    REQUIRE(f.run(startWaveCommand("v", "pool=a")).accepted);
    REQUIRE(f.run(grantCommand("v", { "w1" }, f.state.revision())).accepted);
    CHECK(f.instance("w1").phase == InstancePhase::Draining);
    CHECK(f.run(command(FleetOperation::InstanceRebooting, "w1")).errorKind == ErrorKind::Conflict);
    f.run(commandWithEpoch(FleetOperation::InstanceDrained, "w1"));
    CHECK(f.run(command(FleetOperation::InstanceRebooting, "w1")).accepted);
    f.run(returnedCommand("w1", 1));
    CHECK(f.instance("w1").phase == InstancePhase::Rebooting);
    f.run(returnedCommand("w1", 2));
    CHECK(f.instance("w1").phase == InstancePhase::Serving);
    CHECK(f.state.fleet()->waves->at("v").completed == std::set<std::string> { "w1" });
    CHECK(f.state.fleet()->permits->empty());
    CHECK(f.run(command(FleetOperation::EndWave, "v")).errorKind == ErrorKind::Conflict);
}

// Guards against granting a permit that was decided on an outdated state (guarantee P1).
TEST_CASE("Permits are fenced by the revision they were decided on", "[fleet]")
{
    StateFixture f;
    f.run(applyCommand({ "a" }));
    for (const auto* name : { "w1", "w2", "w3", "w4" }) {
        f.run(registerCommand(name, "a"));
    }
    f.run(startWaveCommand("v", "pool=a"));
    auto decided = f.state.revision();
    SECTION("the instance changed")
    {
        f.run(returnedCommand("w1", 5));
        auto result = f.run(grantCommand("v", { "w1", "w2" }, decided));
        CHECK_THAT(result.body, Contains("\"granted\":[\"w2\"]") && Contains("changed at revision"));
    }
    SECTION("the service changed")
    {
        auto change = applyCommand({ "a" });
        change.services[0].minAvailable = 4;
        f.run(change);
        CHECK(f.run(grantCommand("v", { "w1" }, decided)).errorKind == ErrorKind::Conflict);
    }
    SECTION("other instances failed and used up the budget")
    {
        f.run(commandWithEpoch(FleetOperation::InstanceLost, "w3"));
        f.run(commandWithEpoch(FleetOperation::InstanceLost, "w4"));
        auto result = f.run(grantCommand("v", { "w1" }, decided));
        CHECK_THAT(result.body, Contains("2 of 4 instances down and its budget allows 2"));
    }
    SECTION("more permits than the budget at once")
    {
        f.run(grantCommand("v", { "w1", "w2", "w3" }, decided));
        CHECK(f.state.fleet()->permits->size() == 2);
    }
}

TEST_CASE("A moved instance stays in its old pool until it is drained", "[fleet]")
{
    StateFixture f;
    f.run(applyCommand({ "a", "b" }));
    f.run(registerCommand("w1", "a"));
    f.run(registerCommand("w2", "a"));
    auto move = command(FleetOperation::Move, "w1");
    move.pool = "b";
    REQUIRE(f.run(move).accepted);
    CHECK(f.instance("w1").phase == InstancePhase::Moving);
    CHECK(f.instance("w1").pool == "a");
    CHECK(f.run(command(FleetOperation::FinishMove, "w1")).errorKind == ErrorKind::Conflict);
    f.run(grantCommand("", { "w1" }, f.state.revision()));
    f.run(commandWithEpoch(FleetOperation::InstanceDrained, "w1"));
    CHECK(f.run(command(FleetOperation::FinishMove, "w1")).accepted);
    CHECK(f.instance("w1").pool == "b");
    CHECK(f.state.fleet()->permits->empty());
}

TEST_CASE("An operator's drain stays within the budget unless forced", "[fleet]")
{
    StateFixture f;
    f.run(applyCommand({ "a" }));
    f.run(registerCommand("w1", "a"));
    f.run(registerCommand("w2", "a"));
    CHECK(f.run(command(FleetOperation::Drain, "w1")).accepted);
    CHECK_THAT(f.run(command(FleetOperation::Drain, "w2")).body, Contains("1 of 2 instances down"));
    auto forced = command(FleetOperation::Drain, "w2");
    forced.force = true;
    CHECK(f.run(forced).accepted);
    // An operator's drain outlasts the loss and return of the instance, whose host may be switched off.
    f.run(commandWithEpoch(FleetOperation::InstanceLost, "w1"));
    f.run(returnedCommand("w1", 9));
    CHECK(f.instance("w1").phase == InstancePhase::Draining);
    CHECK(f.run(command(FleetOperation::Undrain, "w1")).accepted);
    CHECK(f.instance("w1").phase == InstancePhase::Serving);
}

TEST_CASE("Jobs are placed once, end by their fence and are cancelled in bulk", "[fleet]")
{
    StateFixture f;
    f.run(applyCommand({ "a" }));
    f.run(registerCommand("w1", "a"));
    auto submit = command(FleetOperation::SubmitJob);
    submit.job.team = "t";
    submit.job.pool = "a";
    submit.job.repeatable = false;
    for (const auto* id : { "j1", "j2" }) {
        submit.job.id = id;
        CHECK(f.run(submit).accepted);
    }
    auto place = command(FleetOperation::PlaceJobs);
    place.placements = { { "j1", "w1", false, false, "" }, { "j2", "w9", false, false, "" } };
    CHECK_THAT(f.run(place).body, Contains("j2") && Contains("does not serve"));
    CHECK_THAT(f.run(place).body, Contains("its phase is placed"));
    auto job = f.state.fleet()->jobs->at("j1");
    auto ended = command(FleetOperation::JobEnded, "j1");
    ended.fence = job.fence - 1;
    f.run(ended);
    CHECK(f.state.fleet()->jobs->at("j1").phase == JobPhase::Placed);
    ended.fence = job.fence;
    ended.outcome = JobPhase::Queued;
    f.run(ended);
    CHECK(f.state.fleet()->jobs->at("j1").phase == JobPhase::Failed);
    auto cancel = command(FleetOperation::CancelJobs);
    cancel.jobs = { "j1", "j2", "j3" };
    CHECK_THAT(f.run(cancel).body, Contains("\"cancelled\":1") && Contains("j3"));
}

TEST_CASE("A snapshot carries fleet, results and ledger", "[fleet]")
{
    StateFixture f;
    f.run(applyCommand({ "a", "b" }));
    f.run(registerCommand("w1", "a"));
    f.run(registerCommand("w2", "a"));
    f.run(startWaveCommand("v", "pool=a"));
    auto granted = f.run(grantCommand("v", { "w1" }, f.state.revision()), "granted");
    f.state.apply(++f.index, {}, { CommandKind::Ledger, "l", "{}" });
    auto snapshot = f.state.takeSnapshot();
    StateFixture g;
    g.state.restoreSnapshot(snapshot);
    CHECK(g.state.takeSnapshot() == snapshot);
    CHECK(*g.state.fleet()->instances == *f.state.fleet()->instances);
    CHECK(*g.state.fleet()->permits == *f.state.fleet()->permits);
    CHECK(*g.state.fleet()->waves == *f.state.fleet()->waves);
    CHECK(g.ledger.count == 1);
    g.index = f.index;
    CHECK(g.run(applyCommand({ "c" }), "granted") == granted);
}

// Guards against accepting a corrupt snapshot, and against losing the current state while rejecting it.
TEST_CASE("A cut or changed snapshot is corrupt and leaves the state as it was", "[fleet]")
{
    StateFixture f;
    f.run(applyCommand({ "a" }));
    f.run(registerCommand("w1", "a"));
    auto snapshot = f.state.takeSnapshot();
    StateFixture g;
    g.run(applyCommand({ "x" }));
    auto before = g.state.takeSnapshot();
    auto isCorrupt = [&](const std::string& bytes) {
        try {
            g.state.restoreSnapshot(bytes);
        } catch (const Error& e) {
            return e.kind() == ErrorKind::Corrupt;
        }
        return false;
    };
    for (std::size_t i = 0; i < snapshot.size(); ++i) {
        auto flipped = snapshot;
        flipped[i] = static_cast<char>(flipped[i] ^ 0x10);
        INFO("byte " << i);
        REQUIRE(isCorrupt(snapshot.substr(0, i)));
        REQUIRE(isCorrupt(flipped));
    }
    CHECK(g.state.takeSnapshot() == before);
}

TEST_CASE("A snapshot older than the published revision is refused", "[fleet]")
{
    StateFixture f;
    f.run(applyCommand({ "a" }));
    auto old = f.state.takeSnapshot();
    f.run(applyCommand({ "b" }));
    CHECK_THROWS_WITH(f.state.restoreSnapshot(old), Contains("older than the published revision"));
    CHECK(f.state.fleet()->pools->size() == 2);
}

TEST_CASE("The ownership check finds an instance in the wrong pool", "[fleet]")
{
    StateFixture f;
    f.run(applyCommand({ "a", "b" }));
    f.run(registerCommand("w1", "a"));
    FleetState broken = *f.state.fleet();
    auto instances = *broken.instances;
    auto instance = instances.at("w1");
    instance.pool = "b";
    instances.set("w1", instance);
    broken.instances = std::make_shared<const NamedMap<Instance>>(instances);
    CHECK_THROWS_WITH(checkOwnership(broken, f.state.fleet().get()), Contains("invariant broken"));
}
