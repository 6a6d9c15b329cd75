/// @file
/// Per-service state of the router.
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

/// Queue, retry budget and metrics of one service. Lives as long as the router.
struct ServiceQueue {
    /// @param service name of the service.
    /// @param retryPercent percentage of first attempts that may be retried.
    /// @param metrics registry of the metrics.
    ServiceQueue(const std::string& service, std::int64_t retryPercent, Metrics& metrics);

    /// Adds the time a slot was held to the moving average.
    void recordHoldTime(std::int64_t micros)
    {
        const auto previous = holdMicros.load(std::memory_order_relaxed);
        holdMicros.store(
            previous == 0 ? micros : previous + (micros - previous) / 16, std::memory_order_relaxed);
    }

    std::mutex mutex;
    FairQueue<SlotWaiter*> waiters; ///< Guarded by mutex.
    std::atomic<std::size_t> waiting { 0 }; ///< Size of waiters; read without the mutex.
    std::atomic<std::int64_t> holdMicros { 0 }; ///< Moving average of the time a request holds a slot.
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
