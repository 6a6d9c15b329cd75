/// @file
/// Messages for lending slot credits between entry instances of a data centre.
#pragma once

#include "celeryline/base/Millis.h"

#include <cstdint>
#include <string>
#include <vector>

namespace celeryline {

/// A number of slots of one runner.
struct SlotCredit {
    std::string runner;
    std::uint64_t bootEpoch = 0; ///< Boot of the runner that the credit is for.
    std::uint32_t slots = 0;
};

/// A request to borrow slot credits from another entry instance of the same data centre.
struct CreditRequest {
    std::string borrower;
    std::uint64_t borrowerEpoch = 0;
    std::string service;
    std::uint32_t wanted = 0;
    std::vector<SlotCredit> returned; ///< Earlier loans that are returned.
};

/// The response to a CreditRequest.
struct CreditGrant {
    std::vector<SlotCredit> lent;
    Millis lease; ///< How long the borrower may start requests on them, from when it sent the request.
};

} // namespace celeryline
