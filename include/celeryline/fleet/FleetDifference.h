/// @file
/// What differs between two fleet states.
#pragma once

#include "celeryline/fleet/FleetState.h"

#include <Poco/JSON/Array.h>

namespace celeryline {

/// @param before a fleet state.
/// @param after a later one.
/// @return a list of `{kind, name, change: "created"|"changed"|"deleted", fields: [{field, from, to}]}` over
/// services, pools, quotas and instances.
Poco::JSON::Array::Ptr differenceOf(const FleetState& before, const FleetState& after);

} // namespace celeryline
