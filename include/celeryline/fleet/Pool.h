/// @file
/// A pool of instances.
#pragma once

#include "celeryline/labels/Selector.h"

#include <string>
#include <tuple>
#include <vector>

namespace celeryline {

/// A pool of instances that carry a service.
struct Pool {
    std::string name;
    Selector selector; ///< Matches the labels of its instances.
    std::string service; ///< The service whose budget its instances count towards.
    bool spare = false;
    bool guarded = true; ///< Its instances are stopped only under a permit.
    std::vector<std::string> dataCentres; ///< Empty: all.
};

inline bool operator==(const Pool& a, const Pool& b)
{
    return std::tie(a.name, a.selector, a.service, a.spare, a.guarded, a.dataCentres)
        == std::tie(b.name, b.selector, b.service, b.spare, b.guarded, b.dataCentres);
}

} // namespace celeryline
