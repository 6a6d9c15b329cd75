#include "celeryline/operators/UpstreamObserver.h"

#include "FleetFixture.h"
#include "LocalStore.h"
#include "celeryline/operators/Explain.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using namespace celeryline::test;
using Catch::Matchers::Contains;

namespace {

/// An UpstreamObserver of data centre "dc1" with upstreams set by the test.
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

    std::size_t countSubmitted(Millis now, bool isRegistryComplete = true)
    {
        auto before = store.ids.size();
        observer.step(now, isRegistryComplete);
        return store.ids.size() - before;
    }

    LocalStore store { state };
    FakeUpstreamView view;
    UpstreamObserver observer { { "entry-1", "dc1" }, store, state, view };
};

} // namespace

// Guards against marking every instance of a data centre as failed when its entry instances restart with
// empty registries.
TEST_CASE("An instance that was never seen live is lost only after the grace period", "[maintenance]")
{
    ObserverFixture f;
    f.run(registerCommand("w1", "a"));
    f.run(registerCommand("w2", "a", "dc2"));
    f.announce({});
    CHECK(f.countSubmitted({ 0 }) == 0);
    CHECK(f.countSubmitted({ 9999 }) == 0);
    CHECK(f.countSubmitted({ 10000 }, false) == 0);
    CHECK(f.countSubmitted({ 10000 }) == 1);
    CHECK(f.instance("w1").phase == InstancePhase::Failed);
    CHECK(f.instance("w2").phase == InstancePhase::Serving);
    f.announce({ f.upstream("w1") });
    CHECK(f.countSubmitted({ 10050 }) == 1);
    CHECK(f.instance("w1").phase == InstancePhase::Serving);
    f.announce({});
    CHECK(f.countSubmitted({ 10100 }) == 1);
    CHECK(f.instance("w1").phase == InstancePhase::Failed);
}

TEST_CASE("Only the first live entry instance of a data centre submits", "[maintenance]")
{
    ObserverFixture f;
    f.announce({ f.upstream("w1") }, "entry-0");
    CHECK(f.countSubmitted({ 0 }) == 0);
    f.announce({ f.upstream("w1") }, "entry-1");
    CHECK(f.countSubmitted({ 50 }) == 1);
}

// Guards against filling the log by resubmitting a rejected command on every step.
TEST_CASE("A rejected registration is retried only after a delay", "[maintenance]")
{
    ObserverFixture f;
    auto overlap = applyCommand({ "b" });
    overlap.pools[0].selector = parseSelector("zone=z");
    REQUIRE(f.run(overlap).accepted);
    auto upstream = f.upstream("w1");
    upstream.labels["zone"] = "z";
    f.announce({ upstream });
    CHECK(f.countSubmitted({ 0 }) == 1);
    CHECK(f.countSubmitted({ 9999 }) == 0);
    CHECK(f.countSubmitted({ 10000 }) == 1);
    CHECK(f.state.fleet()->instances->empty());
}

TEST_CASE("A changed rack or capacity updates the instance, announced labels don't", "[maintenance]")
{
    ObserverFixture f;
    auto upstream = f.upstream("w1");
    f.announce({ upstream });
    f.countSubmitted({ 0 });
    upstream.rack = "r7";
    upstream.capacity = { 16000, 32768, 0 };
    upstream.labels = { { "pool", "b" } };
    f.announce({ upstream });
    CHECK(f.countSubmitted({ 50 }) == 1);
    CHECK(f.countSubmitted({ 100 }) == 0);
    CHECK(f.instance("w1").rack == "r7");
    CHECK(f.instance("w1").capacity.cpuMilli == 16000);
    CHECK(f.instance("w1").pool == "a");
}

TEST_CASE("Explanations include cause, numbers and remedy", "[fleet]")
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
    CHECK_THAT(text("w1"), Contains("has been moving for 89 s from pool \"a\" to pool \"b\""));
    f.run(commandWithEpoch(FleetOperation::InstanceLost, "w1"));
    CHECK_THAT(text("w1"), Contains("failed 89 s ago"));
    CHECK_THAT(explainWave(*f.state.fleet(), "v", { 90000 }), Contains("celeryline wave resume v"));
    CHECK_THROWS_WITH(text("w9"), Contains("does not exist"));
}
