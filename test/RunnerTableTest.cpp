#include "celeryline/jobs/RunnerTable.h"

#include "JobKit.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using namespace celeryline::test;

namespace {

constexpr Millis lease { 4000 };

} // namespace

// Guards against an outdated report that overwrites newer state.
TEST_CASE("Late reports change nothing", "[runners]")
{
    RunnerTable table(lease);
    table.reset({ 0 });
    REQUIRE(table.accept(makeReport("r", 5, 10), lease, { 100 }) != nullptr);
    REQUIRE(table.accept(makeReport("r", 5, 10), lease, { 200 }) == nullptr);
    REQUIRE(table.accept(makeReport("r", 4, 10), lease, { 200 }) == nullptr);
    REQUIRE(table.accept(makeReport("r", 9, 9), lease, { 200 }) == nullptr);
    REQUIRE(table.accept(makeReport("r", 1, 11), lease, { 300 }) != nullptr);
    REQUIRE(table.find({ "r", { 11 } }) != nullptr);
}

// Guards against a runner that stays unused for a minute, because the clock of its machine was set back
// before it restarted. Reports of the known incarnation may be late, so it must have been silent for that
// long too.
TEST_CASE("An earlier start time is accepted once the known incarnation has certainly ended", "[runners]")
{
    RunnerTable table(lease);
    table.reset({ 0 });
    table.accept(makeReport("r", 5, 10), lease, { 1000 });
    constexpr std::int64_t ended = 1000 + 4180 + 5000;
    REQUIRE(table.accept(makeReport("r", 1, 7), lease, { ended - 1 }) == nullptr);
    REQUIRE(table.accept(makeReport("r", 2, 7), lease, { ended }) != nullptr);
    REQUIRE(table.leaseExpiry({ "r", { 10 } }).count <= ended);
}

// Guards against a second run while the first one may still have a lease on a slow clock.
TEST_CASE("An incarnation has expired only when its lease must have expired", "[runners]")
{
    RunnerTable table(lease);
    table.reset({ 0 });
    table.accept(makeReport("r", 1), lease, { 1000 });
    REQUIRE(table.leaseExpiry({ "r", { 1 } }) == Millis { 1000 + 4080 + 100 });
}

// Guards against a new leader that ignores leases granted by its predecessor.
TEST_CASE("Leases of the earlier leader count from the change", "[runners]")
{
    RunnerTable table(lease);
    table.reset({ 50000 });
    REQUIRE(table.leaseExpiry({ "r", { 1 } }) == Millis { 50000 + 4180 });
}

// Guards against waiting for a lease although the runner has restarted, and against runs of a newer
// incarnation that never expire because a new leader has heard only a late report of the older one.
TEST_CASE("An earlier incarnation has expired at once, a later one when its lease must have", "[runners]")
{
    RunnerTable table(lease);
    table.reset({ 500 });
    table.accept(makeReport("r", 1, 10), lease, { 1000 });
    REQUIRE(table.leaseExpiry({ "r", { 9 } }) == Millis { 1000 });
    REQUIRE(table.leaseExpiry({ "r", { 11 } }) == Millis { 500 + 4180 });
}

// Guards against a lease that ends by a deregistration: it names no incarnation, and the runs may go on.
TEST_CASE("A deregistration changes no lease", "[runners]")
{
    RunnerTable table(lease);
    table.reset({ 0 });
    table.accept(makeReport("r", 1), lease, { 1000 });
    table.markLeft("r", { 1100 });
    REQUIRE(table.leaseExpiry({ "r", { 1 } }) == Millis { 1000 + 4180 });
}
