#include "celeryline/process/ServeCommand.h"

#include "celeryline/cli/CommandLine.h"
#include "celeryline/process/EntryInstance.h"
#include "celeryline/settings/Logging.h"
#include "celeryline/settings/Settings.h"

#include <csignal>

namespace celeryline {

namespace po = boost::program_options;

namespace {

/// A single-instance system for local evaluation, used if no settings file is given.
constexpr const char* defaultSettingsJson = R"({
    "name": "local-1",
    "dataCentre": "local",
    "dataDir": "celeryline-data",
    "voters": ["local-1"]
})";

/// Blocks the signals that trigger a graceful shutdown, in this thread and in all threads it starts later.
sigset_t blockShutdownSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

} // namespace

ExitCode runServe(const std::vector<std::string>& arguments)
{
    po::options_description options("options");
    options.add_options()("config,c", po::value<std::string>()->default_value(""),
        "settings file (JSON with comments); without one, a single instance on loopback with its data in "
        "./celeryline-data");
    po::variables_map values;
    if (!parseCommandLine("celeryline serve [--config FILE]", options, {}, arguments, values)) {
        return ExitCode::Success;
    }
    auto path = values["config"].as<std::string>();
    Settings settings
        = path.empty() ? parseSettings(defaultSettingsJson, "embedded default") : loadSettings(path);
    setUpLogging(settings.logging, settings.name);
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t signals = blockShutdownSignals();
    EntryInstance instance(settings);
    instance.start();
    int signal = 0;
    sigwait(&signals, &signal);
    LOG4CXX_INFO(logger("main"), "signal " << signal << " received, shutting down gracefully");
    instance.stop();
    return ExitCode::Success;
}

} // namespace celeryline
