#include "celeryline/calls/ServiceQueue.h"

namespace celeryline {

namespace {

prometheus::Counter& outcomeCounter(Metrics& metrics, const std::string& service, const char* outcome)
{
    return metrics.counter("celeryline_requests_total", "Requests answered, by service and outcome.",
        { { "service", service }, { "outcome", outcome } });
}

} // namespace

ServiceQueue::ServiceQueue(const std::string& service, std::int64_t retryPercent, Metrics& metrics)
    : retryBudget(retryPercent)
    , queueLength(metrics.gauge(
          "celeryline_queue_length", "Requests that wait for a slot.", { { "service", service } }))
    , waitTime(metrics.duration("celeryline_queue_wait_seconds", "Time that requests waited for a slot.",
          { { "service", service } }))
    , duration(metrics.duration("celeryline_request_duration_seconds",
          "Time from a request's whole body to its answer.", { { "service", service } }))
    , attempts(metrics.counter("celeryline_tries_total",
          "Exchanges begun with runners or other data centres.", { { "service", service } }))
    , retryCount(metrics.counter(
          "celeryline_retries_total", "Tries after the first one of a request.", { { "service", service } }))
    , droppedResponses(metrics.counter("celeryline_answers_dropped_total",
          "Exchanges that ended without a whole answer in time; what arrives later is dropped.",
          { { "service", service } }))
    , done(outcomeCounter(metrics, service, "done"))
    , notRun(outcomeCounter(metrics, service, "not-run"))
    , unknown(outcomeCounter(metrics, service, "unknown"))
{
}

} // namespace celeryline
