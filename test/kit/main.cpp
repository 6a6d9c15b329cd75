#include "KitCommands.h"

#include "celeryline/base/Error.h"

#include <csignal>
#include <iostream>

int main(int argc, char** argv)
{
    using namespace celeryline;
    std::signal(SIGPIPE, SIG_IGN);
    std::vector<std::string> arguments(argv + std::min(argc, 2), argv + argc);
    std::string name = argc > 1 ? argv[1] : "";
    try {
        if (name == "upstreams") {
            return kit::runUpstreams(arguments);
        }
        if (name == "load") {
            return kit::runLoad(arguments);
        }
        if (name == "check-journal") {
            return kit::runCheckJournal(arguments);
        }
    } catch (const Error& e) {
        std::cerr << "celeryline-testkit " << name << ": " << e.what() << '\n';
        return 3;
    }
    std::cerr << "usage: celeryline-testkit upstreams|load|check-journal [options]\n";
    return 2;
}
