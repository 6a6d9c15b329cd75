#include "celeryline/operators/UpstreamObserver.h"

#include "FleetFixture.h"
#include "LocalStore.h"
#include "celeryline/operators/Explain.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using namespace celeryline::test;
using Catch::Matchers::Contains;

namespace {

/// An observer of one data centre whose upstreams the test sets.
struct ObserverFixture : StateFixture {
    ObserverFixture() { run(applyCommand({ "a", "b" })); }

    Announcement upstream(const std::string& name) const
    {
        Announcement result;
        result.name = name;
        result.dataCentre = "dc1";
        result.rack = "r1";
        result.labels = { { "pool", "a" } };
        result.bootEpoch = 1;
        return result;
    }

    void announce(const std::vector<Announcement>& upstreams, const std::string& firstLive = "entry-1")
    {
        view.snapshot = std::make_shared<const UpstreamSnapshot>(
            UpstreamSnapshot { 0, upstreams, { firstLive, "entry-9" } });
    }

    std::size_t submittedIn(Millis now, bool isComplete = true)
    {
        auto before = store.ids.size();
        observer.step(now, isComplete);
        return store.ids.size() - before;
    }

    LocalStore store { state };
    FixedUpstreams view;
    UpstreamObserver observer { { "entry-1", "dc1" }, store, state, view };
};

} // namespace

// Guards against failing every instance of a data centre after a restart of its entry instances, whose
// registries are empty at first.
TEST_CASE("An instance that was never seen live is lost after a grace time only", "[maintenance]")
{
    ObserverFixture f;
    f.run(registerCommand("w1", "a"));
    f.run(registerCommand("w2", "a", "dc2"));
    f.announce({});
    CHECK(f.submittedIn({ 0 }) == 0);
    CHECK(f.submittedIn({ 9999 }) == 0);
    CHECK(f.submittedIn({ 10000 }, false) == 0);
    CHECK(f.submittedIn({ 10000 }) == 1);
    CHECK(f.instance("w1").phase == InstancePhase::Failed);
    CHECK(f.instance("w2").phase == InstancePhase::Serving);
    f.announce({ f.upstream("w1") });
    CHECK(f.submittedIn({ 10050 }) == 1);
    CHECK(f.instance("w1").phase == InstancePhase::Serving);
    f.announce({});
    CHECK(f.submittedIn({ 10100 }) == 1);
    CHECK(f.instance("w1").phase == InstancePhase::Failed);
}

TEST_CASE("Only the first live entry instance of a data centre submits", "[maintenance]")
{
    ObserverFixture f;
    f.announce({ f.upstream("w1") }, "entry-0");
    CHECK(f.submittedIn({ 0 }) == 0);
    f.announce({ f.upstream("w1") }, "entry-1");
    CHECK(f.submittedIn({ 50 }) == 1);
}

// Guards against a log that fills with a command that is refused again and again.
TEST_CASE("A refused registration is repeated after a pause only", "[maintenance]")
{
    ObserverFixture f;
    auto overlap = applyCommand({ "b" });
    overlap.pools[0].selector = parseSelector("zone=z");
    REQUIRE(f.run(overlap).accepted);
    auto upstream = f.upstream("w1");
    upstream.labels["zone"] = "z";
    f.announce({ upstream });
    CHECK(f.submittedIn({ 0 }) == 1);
    CHECK(f.submittedIn({ 9999 }) == 0);
    CHECK(f.submittedIn({ 10000 }) == 1);
    CHECK(f.state.fleet()->instances->empty());
}

TEST_CASE("A changed rack or capacity is taken over, announced labels aren't", "[maintenance]")
{
    ObserverFixture f;
    auto upstream = f.upstream("w1");
    f.announce({ upstream });
    f.submittedIn({ 0 });
    upstream.rack = "r7";
    upstream.capacity = { 16000, 32768, 0 };
    upstream.labels = { { "pool", "b" } };
    f.announce({ upstream });
    CHECK(f.submittedIn({ 50 }) == 1);
    CHECK(f.submittedIn({ 100 }) == 0);
    CHECK(f.instance("w1").rack == "r7");
    CHECK(f.instance("w1").capacity.cpuMilli == 16000);
    CHECK(f.instance("w1").pool == "a");
}

TEST_CASE("Explanations name cause, numbers and remedy", "[fleet]")
{
    StateFixture f;
    f.run(applyCommand({ "a", "b" }));
    f.run(registerCommand("w1", "a"));
    f.run(startWaveCommand("v", "pool=a"));
    auto text = [&](const std::string& name) { return explainInstance(*f.state.fleet(), name, { 90000 }); };
    CHECK_THAT(text("w1"), Contains("0 of 1 instances down") && Contains("raise maxUnavailablePercent"));
    f.run(command(FleetOperation::PauseWave, "v"));
    CHECK_THAT(text("w1"), Contains("wave \"v\" is paused"));
    f.run(labelCommand("w1", "b"));
    CHECK_THAT(text("w1"), Contains("moves since 89 s from pool \"a\" to pool \"b\""));
    f.run(commandWithEpoch(FleetOperation::InstanceLost, "w1"));
    CHECK_THAT(text("w1"), Contains("failed 89 s ago"));
    CHECK_THAT(explainWave(*f.state.fleet(), "v", { 90000 }), Contains("celeryline wave resume v"));
    CHECK_THROWS_WITH(text("w9"), Contains("does not exist"));
}
