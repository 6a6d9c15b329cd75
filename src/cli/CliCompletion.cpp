#include "celeryline/cli/CliCommands.h"
#include "celeryline/cli/CommandLine.h"

#include <iostream>

namespace celeryline {

namespace po = boost::program_options;

namespace {

const char* const kinds = "pools services instances workers jobs waves quotas permits";
const char* const options
    = "--server --token-file --output --command-id --base-revision --dry-run --wait --file --selector --help";

std::string subcommandNames()
{
    std::string text;
    for (const auto& command : subcommands()) {
        text += (text.empty() ? "" : " ") + command.name;
    }
    return text;
}

void printBash()
{
    std::cout << "# Load with: source <(celeryline completion bash)\n"
                 "_celeryline() {\n"
                 "  local word=\"${COMP_WORDS[COMP_CWORD]}\" words=\""
              << options
              << "\"\n"
                 "  if [ \"$COMP_CWORD\" = 1 ]; then words=\""
              << subcommandNames()
              << "\"\n"
                 "  elif [[ \"$word\" != -* ]]; then\n"
                 "    case \"${COMP_WORDS[1]}:$COMP_CWORD\" in\n"
                 "      get:2|describe:2) words=\""
              << kinds
              << "\";;\n"
                 "      explain:2) words=\"instance job wave\";;\n"
                 "      wave:2) words=\"start pause resume status\";;\n"
                 "      job:2) words=\"submit status cancel\";;\n"
                 "      completion:2) words=\"bash zsh\";;\n"
                 "      *) COMPREPLY=($(compgen -f -- \"$word\")); return;;\n"
                 "    esac\n"
                 "  fi\n"
                 "  COMPREPLY=($(compgen -W \"$words\" -- \"$word\"))\n"
                 "}\n"
                 "complete -F _celeryline celeryline\n";
}

} // namespace

ExitCode runCompletion(const std::vector<std::string>& arguments)
{
    po::options_description description("options");
    description.add_options()("shell", po::value<std::string>()->required(), "bash or zsh");
    po::positional_options_description positional;
    positional.add("shell", 1);
    po::variables_map values;
    if (!parseCommandLine("celeryline completion bash|zsh", description, positional, arguments, values)) {
        return ExitCode::Success;
    }
    auto shell = values["shell"].as<std::string>();
    if (shell != "bash" && shell != "zsh") {
        throw UsageError("unsupported shell \"" + shell + "\"", "use bash or zsh");
    }
    if (shell == "zsh") {
        std::cout << "autoload -U +X bashcompinit && bashcompinit\n";
    }
    printBash();
    return ExitCode::Success;
}

} // namespace celeryline
