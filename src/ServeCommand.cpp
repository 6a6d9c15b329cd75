#include "celeryline/ServeCommand.h"

#include "celeryline/CommandLine.h"
#include "celeryline/EntryInstance.h"
#include "celeryline/Logging.h"
#include "celeryline/Settings.h"

#include <csignal>

namespace celeryline {

namespace po = boost::program_options;

namespace {

/// Blocks the signals of a graceful shutdown in this thread and all that it starts.
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
    options.add_options()(
        "config,c", po::value<std::string>()->required(), "settings file (JSON with comments)");
    po::variables_map values;
    if (!parseCommandLine("celeryline serve --config FILE", options, {}, arguments, values)) {
        return ExitCode::Done;
    }
    Settings settings = loadSettings(values["config"].as<std::string>());
    setUpLogging(settings.logging, settings.name);
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t signals = blockShutdownSignals();
    EntryInstance instance(settings);
    instance.start();
    int signal = 0;
    sigwait(&signals, &signal);
    LOG4CXX_INFO(logger("main"), "signal " << signal << " received, shutting down gracefully");
    instance.stop();
    return ExitCode::Done;
}

} // namespace celeryline
