#include "celeryline/cli/CommandLine.h"

#include <boost/program_options/parsers.hpp>

#include <iostream>

namespace celeryline {

namespace po = boost::program_options;

bool parseCommandLine(const std::string& usage, po::options_description& options,
    const po::positional_options_description& positional, const std::vector<std::string>& arguments,
    po::variables_map& values)
{
    options.add_options()("help,h", "print this text")("version", "print the version");
    try {
        po::store(po::command_line_parser(arguments).options(options).positional(positional).run(), values);
        if (values.count("help") != 0) {
            std::cout << "usage: " << usage << "\n\n" << options;
            return false;
        }
        if (values.count("version") != 0) {
            std::cout << "celeryline " CELERYLINE_VERSION "\n";
            return false;
        }
        po::notify(values);
    } catch (const po::error& e) {
        throw UsageError(e.what(), "see: " + usage.substr(0, usage.find(" -")) + " --help");
    }
    return true;
}

} // namespace celeryline
