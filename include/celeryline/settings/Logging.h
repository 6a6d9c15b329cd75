/// @file
/// Set-up of the log.
#pragma once

#include "celeryline/settings/Settings.h"

#include <log4cxx/logger.h>

#include <string>

namespace celeryline {

/// Sets level, layout and destination of all logs of this process.
/// @param settings level, layout ("text" or "json") and file.
/// @param instance name of this instance, written in each line.
void setUpLogging(const LoggingSettings& settings, const std::string& instance);

/// @param module the module that logs, such as "consensus".
/// @return its logger.
///
/// Example: `LOG4CXX_INFO(logger("consensus"), "elected leader in term " << term);`
log4cxx::LoggerPtr logger(const std::string& module);

} // namespace celeryline
