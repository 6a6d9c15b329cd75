#include "KitCommands.h"

#include "celeryline/base/Error.h"
#include "celeryline/cli/CommandLine.h"

#include <fstream>
#include <iostream>
#include <map>
#include <set>
#include <sstream>

namespace celeryline::kit {

namespace po = boost::program_options;

namespace {

/// Merged contents of the journals of callers and runners.
struct JoinedJournal {
    std::map<std::string, int> runsById;
    std::map<std::string, int> runsByKey;
    std::map<std::string, std::string> outcomeById;
    std::map<std::string, std::set<std::string>> outcomesByKey;
    std::set<std::string> keyed; ///< Ids of requests with an idempotency key, whose answer may be a replay.
};

void readInto(JoinedJournal& joined, const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        throw Error(ErrorKind::NotFound, "journal \"" + path + "\" can't be opened", "check its path");
    }
    std::string line;
    while (std::getline(file, line)) {
        std::istringstream in(line);
        std::string event;
        std::string id;
        std::string key;
        std::string value;
        in >> event >> id >> key >> value;
        if (event == "ran") {
            ++joined.runsById[id];
            if (key != "-") {
                ++joined.runsByKey[key];
            }
        } else if (event == "told") {
            joined.outcomeById[id] = value;
            if (key != "-") {
                joined.outcomesByKey[key].insert(value);
                joined.keyed.insert(id);
            }
        }
    }
}

int countViolations(const JoinedJournal& joined)
{
    int violations = 0;
    auto report = [&](const std::string& what) {
        ++violations;
        std::cout << "VIOLATION: " << what << '\n';
    };
    for (const auto& [key, runs] : joined.runsByKey) {
        if (runs > 1) {
            report("key " + key + " ran " + std::to_string(runs) + " times");
        }
    }
    for (const auto& [id, outcome] : joined.outcomeById) {
        auto found = joined.runsById.find(id);
        int runs = found == joined.runsById.end() ? 0 : found->second;
        if (outcome.compare(0, 7, "not-run") == 0 && runs > 0) {
            report("request " + id + " was told " + outcome + " but ran");
        }
        bool isReplay = joined.keyed.count(id) != 0;
        if (outcome == "done" && runs == 0 && !isReplay) {
            report("request " + id + " was told done but never ran");
        }
    }
    for (const auto& [key, outcomes] : joined.outcomesByKey) {
        if (outcomes.count("done") != 0 && joined.runsByKey.count(key) == 0) {
            report("key " + key + " was told done but never ran");
        }
    }
    return violations;
}

} // namespace

int runCheckJournal(const std::vector<std::string>& arguments)
{
    std::vector<std::string> files;
    po::options_description options("options");
    options.add_options()(
        "file", po::value(&files)->required()->composing(), "journal of a load or of runners");
    po::positional_options_description positional;
    positional.add("file", -1);
    po::variables_map values;
    if (!parseCommandLine(
            "celeryline-testkit check-journal FILE...", options, positional, arguments, values)) {
        return 0;
    }
    JoinedJournal joined;
    for (const auto& file : files) {
        readInto(joined, file);
    }
    int violations = countViolations(joined);
    std::cout << "told " << joined.outcomeById.size() << ", ran " << joined.runsById.size()
              << ", keys that ran " << joined.runsByKey.size() << ", violations " << violations << std::endl;
    return violations == 0 ? 0 : 1;
}

} // namespace celeryline::kit
