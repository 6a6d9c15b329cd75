/// @file
/// Configuration of the log.
#pragma once

#include "celeryline/settings/Settings.h"

#include <log4cxx/logger.h>

#include <string>

namespace celeryline {

/// Configures level, layout and destination of the log of this process.
/// @param settings level, layout and file.
/// @param instance name of this instance, included in each line of the text layout.
void setUpLogging(const LoggingSettings& settings, const std::string& instance);

/// @param module name of the module, such as "consensus".
/// @return the logger of the module.
///
/// Example: `LOG4CXX_INFO(logger("consensus"), "elected leader in term " << term);`
log4cxx::LoggerPtr logger(const std::string& module);

} // namespace celeryline
