#include "celeryline/decisions/SlotLending.h"

#include "celeryline/base/Invariant.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace celeryline {

LendingDecision lendSlots(const LendingInput& input)
{
    auto count = input.queues.size();
    std::vector<int> need(count);
    for (std::size_t i = 0; i < count; ++i) {
        const auto& queue = input.queues[i];
        need[i] = std::max(0, queue.running + queue.waiting - queue.ownSlots);
    }
    // Max-min fair shares: the smallest needs are met first, and what they leave goes to the larger ones.
    std::vector<std::size_t> order(count);
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(
        order.begin(), order.end(), [&](std::size_t a, std::size_t b) { return need[a] < need[b]; });
    int lendable = std::max(0, input.spareSlots - input.spareServiceLoad);
    std::vector<int> limit(count);
    auto left = static_cast<int>(count);
    for (auto i : order) {
        limit[i] = std::min(need[i], (lendable + left - 1) / left);
        lendable -= limit[i];
        --left;
    }
    int borrowed = 0;
    for (const auto& queue : input.queues) {
        borrowed += queue.borrowed;
    }
    int free = std::max(0, input.spareSlots - input.spareServiceLoad - borrowed);
    LendingDecision decision;
    for (std::size_t i = 0; i < count; ++i) {
        const auto& queue = input.queues[i];
        SlotLoan loan { queue.service, limit[i], 0, std::max(0, queue.borrowed - limit[i]), "" };
        int ownFree = std::max(0, queue.ownSlots - (queue.running - queue.borrowed));
        int wanted = std::max(0, queue.waiting - ownFree);
        loan.startNow = std::max(0, std::min({ wanted, limit[i] - queue.borrowed, free }));
        free -= loan.startNow;
        if (loan.returning > 0) {
            loan.reason = std::to_string(loan.returning) + " slots return as their requests end";
        } else if (need[i] == 0) {
            loan.reason = "its own " + std::to_string(queue.ownSlots) + " slots suffice";
        } else if (limit[i] < need[i]) {
            loan.reason = "needs " + std::to_string(need[i]) + ", its equal share of the spare slots is "
                + std::to_string(limit[i]);
        } else {
            loan.reason = "needs " + std::to_string(need[i]) + " slots beyond its own "
                + std::to_string(queue.ownSlots);
        }
        decision.loans.push_back(std::move(loan));
    }
    int occupied = borrowed + input.spareServiceLoad;
    for (const auto& loan : decision.loans) {
        occupied += loan.startNow;
    }
    invariant(occupied <= std::max(input.spareSlots, borrowed + input.spareServiceLoad),
        "no more spare slots are lent than are free");
    return decision;
}

ReserveDecision planReserve(const std::vector<ExcessSample>& history, const MaintenanceSettings& settings)
{
    ReserveDecision decision;
    if (history.empty()) {
        decision.reason = "no peak was observed yet";
        return decision;
    }
    std::vector<int> sums;
    ExcessSample highest;
    for (const auto& sample : history) {
        sums.push_back(std::accumulate(sample.begin(), sample.end(), 0));
        highest.resize(std::max(highest.size(), sample.size()));
        for (std::size_t i = 0; i < sample.size(); ++i) {
            highest[i] = std::max(highest[i], sample[i]);
        }
    }
    decision.separateSlots = std::accumulate(highest.begin(), highest.end(), 0);
    double weights = settings.bufferCostWeight + settings.rollOutTimeWeight;
    double quantile = 1 - (weights > 0 ? 0.02 * settings.bufferCostWeight / weights : 0);
    auto rank = static_cast<std::size_t>(std::ceil(quantile * static_cast<double>(sums.size()))) - 1;
    std::nth_element(sums.begin(), sums.begin() + static_cast<std::ptrdiff_t>(rank), sums.end());
    decision.slots = sums[rank];
    decision.reason = "covers the joint peak of " + std::to_string(highest.size()) + " queues in "
        + std::to_string(static_cast<int>(quantile * 100)) + "% of " + std::to_string(history.size())
        + " samples; separate reserves would need " + std::to_string(decision.separateSlots) + " slots";
    return decision;
}

} // namespace celeryline
