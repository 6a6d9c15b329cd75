/// @file
/// Labels of pools, services and instances.
#pragma once

#include <map>
#include <string>

namespace celeryline {

/// Label values by label name.
using LabelSet = std::map<std::string, std::string>;

} // namespace celeryline
