// How long cancellations of unknown jobs are remembered.
#include "celeryline/jobs/JobMaster.h"

#include "JobKit.h"

#include <catch2/catch.hpp>

#include <string>

using namespace celeryline;
using namespace celeryline::test;

namespace {

/// As promised in docs/platform.md.
constexpr Millis retention { 60000 };
constexpr Millis almostRetention { 59000 };
constexpr Millis housekeeping { 500 };
/// Time within which a leader forgets what is old enough.
constexpr Millis forgettingTime { 2000 };

void cancel(JobMasterFixture& kit, const std::string& id)
{
    kit.master.request(CancelJob { id }, [](RequestOutcome) {});
    kit.master.tick();
}

void advanceBy(JobMasterFixture& kit, Millis time)
{
    for (auto until = kit.moment.steady + time; kit.moment.steady < until;)
        kit.advance(housekeeping);
}

} // namespace

// Guards against a cancellation that is forgotten while its submission may still arrive, and against a record
// that grows without end.
TEST_CASE(
    "A cancellation of an unknown job is forgotten after its time and not before", "[master][cancellations]")
{
    JobMasterFixture kit;
    cancel(kit, "first");
    advanceBy(kit, retention - housekeeping);
    cancel(kit, "second");
    REQUIRE(kit.store.cancelledIds().contains("first"));
    advanceBy(kit, forgettingTime);
    REQUIRE_FALSE(kit.store.cancelledIds().contains("first"));
    REQUIRE(kit.store.cancelledIds().contains("second"));
    advanceBy(kit, retention);
    REQUIRE(kit.store.cancelledIds().size() == 0);
}

// Guards against a wall clock that is set forward and ends the time.
TEST_CASE("A jump of the wall clock doesn't shorten the time of a cancellation", "[master][cancellations]")
{
    JobMasterFixture kit;
    cancel(kit, "a");
    kit.moment.wall = kit.moment.wall + Millis { 10 * retention.count };
    advanceBy(kit, almostRetention);
    REQUIRE(kit.store.cancelledIds().contains("a"));
}

// Guards against cancellations that are never forgotten because each leader counts anew, and against a
// replica that forgets one early after it got a snapshot.
TEST_CASE("The time of a cancellation goes on under the next leader and anew after a snapshot",
    "[master][cancellations]")
{
    JobMasterFixture kit;
    cancel(kit, "a");
    kit.log.leads = false;
    advanceBy(kit, almostRetention); // It follows another leader.
    kit.log.leads = true;
    kit.master.startTerm();
    REQUIRE(kit.store.cancelledIds().contains("a"));
    advanceBy(kit, forgettingTime);
    REQUIRE_FALSE(kit.store.cancelledIds().contains("a"));

    cancel(kit, "b");
    advanceBy(kit, almostRetention);
    kit.master.onSnapshot();
    advanceBy(kit, almostRetention);
    REQUIRE(kit.store.cancelledIds().contains("b"));
    advanceBy(kit, forgettingTime);
    REQUIRE_FALSE(kit.store.cancelledIds().contains("b"));
}

// Guards against a log that is filled by the removal of cancellations one by one.
TEST_CASE("Cancellations are forgotten by few commands", "[master][cancellations]")
{
    JobMasterFixture kit;
    int removals = 0;
    kit.log.onCommitted = [&](const JobCommand& command) {
        removals += std::holds_alternative<ForgetCancelledIds>(command) ? 1 : 0;
        kit.master.onCommitted(command);
    };
    for (int i = 0; i < 1000; ++i)
        cancel(kit, std::to_string(i));
    advanceBy(kit, retention + forgettingTime);
    REQUIRE(kit.store.cancelledIds().size() == 0);
    REQUIRE(removals <= 2);
}
