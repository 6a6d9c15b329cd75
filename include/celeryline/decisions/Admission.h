/// @file
/// The decision whether a request is admitted to a service's queue.
#pragma once

#include "celeryline/base/Millis.h"

#include <map>
#include <string>
#include <utility>

namespace celeryline {

/// Waiting requests of one service by organisation and caller.
using WaitingCounts = std::map<std::string, std::map<std::string, int>>;

/// A request that asks for admission, and the queue that it would wait in.
struct AdmissionInput {
    std::string organisation;
    std::string caller;
    Millis deadline; ///< Point in time.
    const WaitingCounts& waiting;
    int slots = 0; ///< Requests of the service that run at once.
    int freeSlots = 0;
    Millis serviceTime; ///< Estimate for one request.
    Millis maxQueue; ///< Longest wait that the service permits.
    int maxWaiting = 0;
};

/// What happens to the request.
enum class AdmissionAction : std::uint8_t {
    Start, ///< A slot is free.
    Wait,
    WaitAndShed, ///< It waits, and the newest waiting request of the named caller is refused instead.
    Refuse ///< Answered as not run.
};

/// The admission with its reason.
struct AdmissionDecision {
    AdmissionAction action = AdmissionAction::Refuse;
    Millis expectedWait;
    Millis retryAfter; ///< For a refused or shed request.
    std::string shedOrganisation;
    std::string shedCaller;
    std::string reason;
};

/// Decides on one request. The queue serves organisations in turn and the callers of each in turn, so the
/// wait depends on the requests that are really ahead. A full queue sheds from the organisation, and there
/// from the caller, with most waiting requests.
/// @param input the request and the queue.
/// @param now the current time.
/// @return the decision.
AdmissionDecision admit(const AdmissionInput& input, Millis now);

/// @param waiting the queue.
/// @param organisation of the next request.
/// @param caller of the next request.
/// @return waiting requests that are served before it.
int queueAhead(const WaitingCounts& waiting, const std::string& organisation, const std::string& caller);

/// A token bucket that holds retries to a share of first attempts.
struct RetryBudget {
    double tokens = 0;
    double capacity = 10; ///< Limits a burst of retries after a quiet time.
};

/// @param budget the bucket.
/// @param percent retries permitted for a hundred first attempts.
/// @return the bucket after one first attempt.
RetryBudget afterFirstAttempt(RetryBudget budget, int percent);

/// @param budget the bucket.
/// @return whether a retry may be made, and the bucket after it.
std::pair<bool, RetryBudget> takeRetry(RetryBudget budget);

} // namespace celeryline
