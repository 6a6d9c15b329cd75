/// @file
/// Services and their availability settings.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/labels/Selector.h"

#include <string>
#include <tuple>
#include <vector>

namespace celeryline {

/// A service that receives requests from callers, with its availability budget.
struct Service {
    std::string name;
    Selector selector; ///< Selects the runners of the service by their labels.
    int maxUnavailablePercent = 25; ///< Maximum share of instances that may be down for any reason.
    int minAvailable = 0; ///< Minimum number of available instances; the stricter of the two limits applies.
    bool spare = false; ///< Whether free slots of its runners may be lent to other services.
    std::vector<std::string> repeatableMethods { "GET", "HEAD", "PUT", "DELETE" };
    Millis maxQueue { 2000 }; ///< Maximum time that a request waits for a slot.
};

inline bool operator==(const Service& a, const Service& b)
{
    return std::tie(a.name, a.selector, a.maxUnavailablePercent, a.minAvailable, a.spare, a.repeatableMethods,
               a.maxQueue)
        == std::tie(b.name, b.selector, b.maxUnavailablePercent, b.minAvailable, b.spare, b.repeatableMethods,
            b.maxQueue);
}

} // namespace celeryline
