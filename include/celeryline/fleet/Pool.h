/// @file
/// A pool of instances.
#pragma once

#include "celeryline/labels/Selector.h"

#include <string>
#include <tuple>
#include <vector>

namespace celeryline {

/// A pool of instances that run a service.
struct Pool {
    std::string name;
    Selector selector; ///< Selects instances by their labels.
    std::string service; ///< Service whose availability budget includes the instances.
    bool spare = false;
    bool guarded = true; ///< Whether instances may be stopped only with a permit.
    std::vector<std::string> dataCentres; ///< Data centres of the pool; empty for all.
};

inline bool operator==(const Pool& a, const Pool& b)
{
    return std::tie(a.name, a.selector, a.service, a.spare, a.guarded, a.dataCentres)
        == std::tie(b.name, b.selector, b.service, b.spare, b.guarded, b.dataCentres);
}

} // namespace celeryline
