/// @file
/// The table of scalar settings: the single source of validation, defaults and documentation.
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
    std::string path; ///< Keys separated by dots, such as "routing.tryTimeoutMs".
    SettingType type = SettingType::Text;
    std::string unit; ///< "ms", "bytes", "entries", ... or empty.
    std::string defaultText;
    double minimum = 0; ///< Only for numbers.
    double maximum = 0;
    std::vector<std::string> choices; ///< Only for strings; if empty, any value is allowed.
    std::string meaning;
    std::function<void(Settings&, const std::string&)> setText;
    std::function<void(Settings&, double)> setNumber;
};

/// @return all rows, in documentation order.
const std::vector<SettingRow>& settingsTable();

} // namespace celeryline::detail
