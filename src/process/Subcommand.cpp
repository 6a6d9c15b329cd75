#include "celeryline/cli/Subcommand.h"

#include "celeryline/base/EditDistance.h"
#include "celeryline/base/Error.h"
#include "celeryline/cli/CheckConfigCommand.h"
#include "celeryline/cli/CliCommands.h"
#include "celeryline/cli/CommandLine.h"
#include "celeryline/cli/ExplainLogCommand.h"
#include "celeryline/process/ServeCommand.h"

#include <algorithm>
#include <iostream>

namespace celeryline {

namespace {

void printUsage(std::ostream& out)
{
    out << "usage: celeryline SUBCOMMAND [options]\n\nsubcommands:\n";
    for (const auto& command : subcommands()) {
        out << "  " << command.name << std::string(14 - std::min<std::size_t>(13, command.name.size()), ' ')
            << command.summary << '\n';
    }
    out << "\n'celeryline SUBCOMMAND --help' describes a subcommand; '--version' prints the version.\n";
}

ExitCode dispatchSubcommand(const std::string& name, const std::vector<std::string>& arguments)
{
    std::vector<std::string> names;
    for (const auto& command : subcommands()) {
        if (command.name == name) {
            return command.run(arguments);
        }
        names.push_back(command.name);
    }
    std::cerr << "celeryline: unknown subcommand \"" << name << "\"; did you mean \""
              << closestMatch(name, names) << "\"?\n";
    return ExitCode::Usage;
}

} // namespace

ExitCode exitCodeFor(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidSettings:
    case ErrorKind::InvalidInput:
    case ErrorKind::LimitExceeded:
        return ExitCode::InvalidInput;
    case ErrorKind::Conflict:
        return ExitCode::Conflict;
    case ErrorKind::Unavailable:
        return ExitCode::Unreachable;
    case ErrorKind::TimedOut:
        return ExitCode::TimedOut;
    case ErrorKind::NotFound:
        return ExitCode::NotFound;
    case ErrorKind::Refused:
        return ExitCode::Refused;
    case ErrorKind::Storage:
    case ErrorKind::Corrupt:
        return ExitCode::Internal;
    }
    return ExitCode::Internal;
}

const std::vector<Subcommand>& subcommands()
{
    static const std::vector<Subcommand> all {
        { "apply", "create or change services, pools and quotas from a file", runApply },
        { "get", "list pools, services, instances, workers, jobs, waves, quotas or permits", runGet },
        { "describe", "show all fields of an object", runDescribe },
        { "watch", "print changes as they happen", runWatch },
        { "label", "set or remove labels of an instance", runLabel },
        { "drain", "stop assigning new work to an instance", runDrain },
        { "undrain", "cancel the drain of an instance", runUndrain },
        { "move", "move an instance to another pool", runMove },
        { "wave", "start, pause, resume or show maintenance waves", runWave },
        { "job", "submit, show or cancel jobs", runJob },
        { "explain", "explain why an instance, job or wave is waiting", runExplain },
        { "explain-log", "show what happened to a job, request, runner or machine, from log files",
            runExplainLog },
        { "status", "show the state of the system", runStatus },
        { "serve", "run an entry instance", runServe },
        { "check-config", "check a settings file and print any error", runCheckConfig },
        { "completion", "print a completion script for bash or zsh", runCompletion },
    };
    return all;
}

int runSubcommand(const std::vector<std::string>& arguments)
{
    if (arguments.empty()) {
        printUsage(std::cerr);
        return static_cast<int>(ExitCode::Usage);
    }
    const auto& name = arguments.front();
    if (name == "--help" || name == "-h" || name == "help") {
        printUsage(std::cout);
        return static_cast<int>(ExitCode::Success);
    }
    if (name == "--version") {
        std::cout << "celeryline " CELERYLINE_VERSION "\n";
        return static_cast<int>(ExitCode::Success);
    }
    try {
        return static_cast<int>(dispatchSubcommand(name, { arguments.begin() + 1, arguments.end() }));
    } catch (const UsageError& e) {
        std::cerr << "celeryline " << name << ": " << e.what() << '\n';
        return static_cast<int>(ExitCode::Usage);
    } catch (const Error& e) {
        std::cerr << "celeryline " << name << ": " << e.what() << '\n';
        return static_cast<int>(exitCodeFor(e.kind()));
    } catch (const std::exception& e) {
        std::cerr << "celeryline " << name << ": internal error: " << e.what() << '\n';
        return static_cast<int>(ExitCode::Internal);
    }
}

} // namespace celeryline
