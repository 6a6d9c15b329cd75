/// @file
/// Admission control for the queue of a service, and the retry budget.
#pragma once

#include "celeryline/base/Millis.h"

#include <map>
#include <string>
#include <utility>

namespace celeryline {

/// Number of waiting requests of one service by organisation and caller.
using WaitingCounts = std::map<std::string, std::map<std::string, int>>;

/// A new request and the state of its queue.
struct AdmissionInput {
    std::string organisation;
    std::string caller;
    Millis deadline; ///< Point in time.
    const WaitingCounts& waiting;
    int slots = 0; ///< Requests of the service that can run concurrently.
    int freeSlots = 0;
    Millis serviceTime; ///< Estimate for one request.
    Millis maxQueue; ///< Maximum wait that the service permits.
    int maxWaiting = 0;
};

/// Outcome for the new request.
enum class AdmissionAction : std::uint8_t {
    Start, ///< A slot is free.
    Wait,
    WaitAndShed, ///< It waits; the newest waiting request of `shedCaller` is refused instead.
    Refuse ///< Answered as not run.
};

/// The outcome with its reason.
struct AdmissionDecision {
    AdmissionAction action = AdmissionAction::Refuse;
    Millis expectedWait;
    Millis retryAfter; ///< For a refused or shed request.
    std::string shedOrganisation;
    std::string shedCaller;
    std::string reason;
};

/// Decides on one request. The queue serves organisations round-robin and the callers of each organisation
/// round-robin, so the expected wait depends on the requests ahead in that order, not on the queue length. A
/// full queue sheds a request of the caller with the most waiting requests in the organisation with the most.
/// @param input the request and the queue.
/// @param now the current time.
/// @return the decision.
AdmissionDecision admit(const AdmissionInput& input, Millis now);

/// @param waiting the queue.
/// @param organisation of the next request.
/// @param caller of the next request.
/// @return number of waiting requests that are served before it.
int queueAhead(const WaitingCounts& waiting, const std::string& organisation, const std::string& caller);

/// A token bucket that limits retries to a percentage of first attempts.
struct RetryBudget {
    double tokens = 0;
    double capacity = 10; ///< Maximum burst of retries after a period without any.
};

/// @param budget the bucket.
/// @param percent retries permitted per hundred first attempts.
/// @return the bucket after one first attempt.
RetryBudget afterFirstAttempt(RetryBudget budget, int percent);

/// @param budget the bucket.
/// @return whether a retry may be made, and the bucket after it.
std::pair<bool, RetryBudget> takeRetry(RetryBudget budget);

} // namespace celeryline
