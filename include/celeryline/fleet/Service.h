/// @file
/// A service that callers send requests to.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/labels/Selector.h"

#include <string>
#include <tuple>
#include <vector>

namespace celeryline {

/// A service that callers send requests to, and its availability budget.
struct Service {
    std::string name;
    Selector selector; ///< Matches the labels of its runners.
    int maxUnavailablePercent = 25; ///< Budget: share of its instances that may be down for any cause.
    int minAvailable = 0; ///< Budget: instances that must stay up; the stricter of both applies.
    bool spare = false; ///< Free slots of its runners may be lent to other services.
    std::vector<std::string> repeatableMethods { "GET", "HEAD", "PUT", "DELETE" };
    Millis maxQueue { 2000 }; ///< Longest wait for a slot.
};

inline bool operator==(const Service& a, const Service& b)
{
    return std::tie(a.name, a.selector, a.maxUnavailablePercent, a.minAvailable, a.spare, a.repeatableMethods,
               a.maxQueue)
        == std::tie(b.name, b.selector, b.maxUnavailablePercent, b.minAvailable, b.spare, b.repeatableMethods,
            b.maxQueue);
}

} // namespace celeryline
