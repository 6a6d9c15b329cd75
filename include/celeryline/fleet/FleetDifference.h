/// @file
/// Differences between two fleet states.
#pragma once

#include "celeryline/fleet/FleetState.h"

#include <Poco/JSON/Array.h>

namespace celeryline {

/// Compares the services, pools, quotas and instances of two fleet states.
/// @param before the older state.
/// @param after the newer state.
/// @return a list of `{kind, name, change: "created"|"changed"|"deleted", fields: [{field, from, to}]}`.
Poco::JSON::Array::Ptr differenceOf(const FleetState& before, const FleetState& after);

} // namespace celeryline
