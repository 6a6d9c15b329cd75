/// @file
/// What the router keeps for one service.
#pragma once

#include "celeryline/base/Metrics.h"
#include "celeryline/calls/FairQueue.h"
#include "celeryline/calls/RetryBudget.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>

namespace celeryline {

struct SlotWaiter;

/// The queue, the retry budget and the measurements of one service. Lives as long as the router.
struct ServiceQueue {
    /// @param service name of the service.
    /// @param retryPercent share of first tries that may be retried.
    /// @param metrics where its measurements go.
    ServiceQueue(const std::string& service, std::int64_t retryPercent, Metrics& metrics);

    /// Counts the time a slot was held towards the estimate.
    void recordHoldTime(std::int64_t micros)
    {
        const auto previous = holdMicros.load(std::memory_order_relaxed);
        holdMicros.store(
            previous == 0 ? micros : previous + (micros - previous) / 16, std::memory_order_relaxed);
    }

    std::mutex mutex;
    FairQueue<SlotWaiter*> waiters; ///< Guarded by mutex.
    std::atomic<std::size_t> waiting { 0 }; ///< Size of waiters; read without the lock.
    std::atomic<std::int64_t> holdMicros { 0 }; ///< Estimate of how long a request holds a slot.
    RetryBudget retryBudget;
    prometheus::Gauge& queueLength;
    prometheus::Histogram& waitTime;
    prometheus::Histogram& duration;
    prometheus::Counter& attempts;
    prometheus::Counter& retryCount;
    prometheus::Counter& droppedResponses;
    prometheus::Counter& done;
    prometheus::Counter& notRun;
    prometheus::Counter& unknown;
};

} // namespace celeryline
