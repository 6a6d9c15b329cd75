#include "celeryline/decisions/SlotLending.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace celeryline;

TEST_CASE("A queue at its peak gets the spare slots at once and returns them as work ends", "[SlotLending]")
{
    auto peak = lendSlots({ 64, 4, { { "a", 80, 80, 0, 40 }, { "b", 80, 3, 0, 0 } } }).loans;
    CHECK(peak[0].startNow == 40);
    CHECK(peak[1].limit == 0);
    auto after = lendSlots({ 64, 4, { { "a", 80, 84, 30, 0 }, { "b", 80, 3, 0, 0 } } }).loans;
    CHECK(after[0].limit == 4);
    CHECK(after[0].returning == 26);
}

TEST_CASE("Scarce spare slots are shared equally and the spare service comes first", "[SlotLending]")
{
    auto loans
        = lendSlots({ 20, 6, { { "a", 8, 8, 0, 100 }, { "b", 8, 8, 0, 100 }, { "c", 8, 8, 0, 2 } } }).loans;
    CHECK(loans[0].startNow == 6);
    CHECK(loans[1].startNow == 6);
    CHECK(loans[2].startNow == 2);
    CHECK(lendSlots({ 20, 25, { { "a", 8, 8, 0, 100 } } }).loans[0].startNow == 0);
}

TEST_CASE("No interleaving lends more spare slots than are free", "[SlotLending]")
{
    REQUIRE(rc::check("occupied spare slots never exceed the free ones", [] {
        LendingInput input;
        input.spareSlots = *rc::gen::inRange(0, 100);
        auto queues = *rc::gen::inRange(1, 8);
        input.queues.resize(static_cast<std::size_t>(queues));
        for (int step = 0; step < 30; ++step) {
            input.spareServiceLoad = *rc::gen::inRange(0, 30);
            int before = input.spareServiceLoad;
            for (auto& queue : input.queues) {
                queue.ownSlots = *rc::gen::inRange(0, 40);
                queue.waiting = *rc::gen::inRange(0, 60);
                int ended = *rc::gen::inRange(0, queue.borrowed + 1);
                queue.borrowed -= ended;
                queue.running = queue.borrowed + *rc::gen::inRange(0, queue.ownSlots + 1);
                before += queue.borrowed;
            }
            auto decision = lendSlots(input);
            int after = before;
            for (std::size_t i = 0; i < input.queues.size(); ++i) {
                auto& queue = input.queues[i];
                int start = decision.loans[i].startNow;
                RC_ASSERT(start >= 0 && start <= queue.waiting);
                RC_ASSERT(start == 0 || queue.borrowed + start <= decision.loans[i].limit);
                after += start;
                queue.borrowed += start;
            }
            RC_ASSERT(after <= std::max(before, input.spareSlots));
        }
    }));
}

TEST_CASE("Rotating peaks share one reserve", "[SlotLending]")
{
    std::vector<ExcessSample> history;
    for (std::size_t i = 0; i < 100; ++i) {
        ExcessSample sample(5, 0);
        sample[i % 5] = i == 99 ? 60 : 40;
        history.push_back(sample);
    }
    MaintenanceSettings rollOut;
    rollOut.rollOutTimeWeight = 1;
    MaintenanceSettings buffer;
    buffer.bufferCostWeight = 1;
    CHECK(planReserve(history, rollOut).slots == 60);
    CHECK(planReserve(history, buffer).slots == 40);
    CHECK(planReserve(history, buffer).separateSlots == 220);
    CHECK(planReserve({}, buffer).slots == 0);
}
