/// @file
/// The table of scalar settings: the single source for checks, defaults and documentation.
#pragma once

#include "celeryline/settings/Settings.h"

#include <functional>
#include <string>
#include <vector>

namespace celeryline::detail {

/// The type of a setting's value.
enum class SettingType { Text, Integer, Number };

/// One scalar setting.
struct SettingRow {
    std::string path; ///< Keys joined by dots, such as "routing.tryTimeoutMs".
    SettingType type = SettingType::Text;
    std::string unit; ///< "ms", "bytes", "entries", ... or empty.
    std::string defaultText;
    double minimum = 0; ///< For numbers.
    double maximum = 0;
    std::vector<std::string> choices; ///< For texts; empty allows any.
    std::string meaning;
    std::function<void(Settings&, const std::string&)> setText;
    std::function<void(Settings&, double)> setNumber;
};

/// @return all rows in the order of the documentation.
const std::vector<SettingRow>& settingsTable();

} // namespace celeryline::detail
