#include "celeryline/cli/CheckConfigCommand.h"

#include "celeryline/cli/CommandLine.h"
#include "celeryline/settings/Settings.h"

#include <iostream>

namespace celeryline {

namespace po = boost::program_options;

ExitCode runCheckConfig(const std::vector<std::string>& arguments)
{
    po::options_description options("options");
    options.add_options()("config,c", po::value<std::string>()->default_value(""), "settings file")(
        "table", "print all settings as a Markdown table");
    po::positional_options_description positional;
    positional.add("config", 1);
    po::variables_map values;
    if (!parseCommandLine("celeryline check-config FILE", options, positional, arguments, values)) {
        return ExitCode::Success;
    }
    if (values.count("table") != 0) {
        std::cout << settingsTableAsMarkdown();
        return ExitCode::Success;
    }
    auto path = values["config"].as<std::string>();
    Settings settings = loadSettings(path);
    std::cout << path << ": valid; instance " << settings.name << " in " << settings.dataCentre << ", "
              << settings.peers.size() << " peers, " << settings.voters.size() << " voters\n";
    return ExitCode::Success;
}

} // namespace celeryline
