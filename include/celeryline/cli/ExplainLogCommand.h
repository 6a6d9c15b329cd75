/// @file
/// The subcommand that puts the log lines about one request into one story.
#pragma once

#include "celeryline/cli/Subcommand.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace celeryline {

/// One line of a process's log.
struct LogLine {
    std::int64_t timeMs = 0; ///< Wall time of the process.
    std::string instance;
    std::string event;
    std::string details; ///< The other fields, as "name=value".
    bool isAboutId = false; ///< A field holds the id that is asked for.
    bool isAboutProcess = false; ///< Start, stop, leader, storage and the like, which concern every request.
};

/// @param text a line of a log; what stands before its JSON object is passed over.
/// @param id id of a job, request, runner or machine.
/// @return the line; without an event if it is no line of ours.
LogLine parseLogLine(const std::string& text, const std::string& id);

/// Chooses the lines that explain what became of an id: those about it, and those about the processes from
/// shortly before its first line to shortly after its last one, in the order of time.
/// @param lines lines of all processes.
/// @return the chosen lines; empty if no line is about the id.
std::vector<LogLine> explainFromLog(std::vector<LogLine> lines);

/// Runs `celeryline explain-log ID FILE...`.
/// @param arguments what follows the subcommand's name.
/// @return Done, or NotFound if no line is about the id.
ExitCode runExplainLog(const std::vector<std::string>& arguments);

} // namespace celeryline
