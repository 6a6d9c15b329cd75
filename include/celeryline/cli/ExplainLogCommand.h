/// @file
/// The explain-log subcommand, which merges the log lines about one request from several processes.
#pragma once

#include "celeryline/cli/Subcommand.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace celeryline {

/// One line of the log of a process.
struct LogLine {
    std::int64_t timeMs = 0; ///< Wall time at which the process wrote the line.
    std::string instance;
    std::string event;
    std::string details; ///< The remaining fields, formatted as "name=value".
    bool matchesId = false; ///< Whether a field contains the requested id.
    bool isProcessWide = false; ///< Whether the event affects all requests, such as a leader change.
};

/// @param text a log line; text before its JSON object is ignored.
/// @param id id of a job, request, runner or machine.
/// @return the parsed line; its event is empty if the text is not an event line.
LogLine parseLogLine(const std::string& text, const std::string& id);

/// Selects the lines that mention the id, and the process-wide events from shortly before the first of them
/// to shortly after the last one.
/// @param lines lines of all processes.
/// @return the selected lines ordered by time; empty if no line mentions the id.
std::vector<LogLine> selectRelevantLines(std::vector<LogLine> lines);

/// Runs `celeryline explain-log ID FILE...`.
/// @param arguments the arguments after the subcommand's name.
/// @return Success, or NotFound if no line mentions the id.
ExitCode runExplainLog(const std::vector<std::string>& arguments);

} // namespace celeryline
