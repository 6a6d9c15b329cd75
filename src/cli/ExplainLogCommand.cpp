#include "celeryline/cli/ExplainLogCommand.h"

#include "celeryline/cli/CommandLine.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>

namespace celeryline {
namespace {

namespace po = boost::program_options;

/// Process-wide events up to this long before or after a request may have affected it.
constexpr std::int64_t contextWindowMs = 2000;

bool isProcessEvent(const std::string& event)
{
    static const std::array<const char*, 30> events { "started", "stopping", "stopped", "reload",
        "log-formed", "log-joined", "leader-found", "leader-lost", "leading", "leadership-handed-over",
        "leadership-lost", "storage-failed", "storage-recovered", "control-lost", "control-found", "refusing",
        "not-refusing", "voters-changed", "voter-unreachable", "voter-reachable", "voter-not-replaced",
        "voter-replacement-too-slow", "learner-ready", "learner-not-ready", "caught-up", "became-voter",
        "no-longer-voter", "election-stalled", "no-leader-to-follow", "vote-refused" };
    return std::find(events.begin(), events.end(), event) != events.end();
}

std::vector<LogLine> readLog(const std::string& path, const std::string& id)
{
    std::ifstream file(path);
    if (!file)
        throw Error(ErrorKind::NotFound, "log file \"" + path + "\" can't be opened", "check its path");
    std::vector<LogLine> lines;
    std::string text;
    while (std::getline(file, text)) {
        auto line = parseLogLine(text, id);
        if (!line.event.empty())
            lines.push_back(std::move(line));
    }
    return lines;
}

} // namespace

LogLine parseLogLine(const std::string& text, const std::string& id)
{
    LogLine line;
    auto begin = text.find('{');
    if (begin == std::string::npos)
        return line;
    Poco::JSON::Object::Ptr object;
    try {
        object = Poco::JSON::Parser().parse(text.substr(begin)).extract<Poco::JSON::Object::Ptr>();
    } catch (const Poco::Exception&) {
        return line; // A truncated line, as left by a terminated process, or output of another program.
    }
    line.event = object->optValue<std::string>("event", "");
    line.instance = object->optValue<std::string>("instance", "");
    line.timeMs = object->optValue<std::int64_t>("timeMs", 0);
    line.isProcessWide = isProcessEvent(line.event);
    for (const auto& name : object->getNames()) {
        if (name == "event" || name == "instance" || name == "timeMs")
            continue;
        auto value = object->get(name).toString();
        // The id may be part of a value, such as the target of a request.
        line.matchesId = line.matchesId || value.find(id) != std::string::npos;
        line.details += (line.details.empty() ? "" : " ") + name + "=" + value;
    }
    return line;
}

std::vector<LogLine> selectRelevantLines(std::vector<LogLine> lines)
{
    std::stable_sort(
        lines.begin(), lines.end(), [](const LogLine& a, const LogLine& b) { return a.timeMs < b.timeMs; });
    auto matchesId = [](const LogLine& line) { return line.matchesId; };
    auto first = std::find_if(lines.begin(), lines.end(), matchesId);
    if (first == lines.end())
        return {};
    auto last = std::find_if(lines.rbegin(), lines.rend(), matchesId);
    auto from = first->timeMs - contextWindowMs;
    auto to = last->timeMs + contextWindowMs;
    lines.erase(std::remove_if(lines.begin(), lines.end(),
                    [&](const LogLine& line) {
                        bool isInWindow = line.timeMs >= from && line.timeMs <= to;
                        return !line.matchesId && !(line.isProcessWide && isInWindow);
                    }),
        lines.end());
    return lines;
}

ExitCode runExplainLog(const std::vector<std::string>& arguments)
{
    po::options_description options("options");
    options.add_options()("id", po::value<std::string>(), "id of a job, request, runner or machine")(
        "file", po::value<std::vector<std::string>>(), "log files of processes");
    po::positional_options_description positional;
    positional.add("id", 1).add("file", -1);
    po::variables_map values;
    if (!parseCommandLine("celeryline explain-log ID FILE...", options, positional, arguments, values))
        return ExitCode::Success;
    if (values.count("id") == 0 || values.count("file") == 0)
        throw UsageError("an id and a log file are required", "usage: celeryline explain-log ID FILE...");
    auto id = values["id"].as<std::string>();
    std::vector<LogLine> lines;
    for (const auto& path : values["file"].as<std::vector<std::string>>()) {
        for (auto& line : readLog(path, id))
            lines.push_back(std::move(line));
    }
    auto timeline = selectRelevantLines(std::move(lines));
    if (timeline.empty()) {
        std::cerr
            << "celeryline explain-log: no line mentions \"" << id
            << "\"; lines beyond the rate limit of a process are dropped and counted in droppedBefore\n";
        return ExitCode::NotFound;
    }
    auto start = timeline.front().timeMs;
    for (const auto& line : timeline) {
        std::cout << "+" << line.timeMs - start << " ms  " << line.instance << "  " << line.event << "  "
                  << line.details << "\n";
    }
    return ExitCode::Success;
}

} // namespace celeryline
