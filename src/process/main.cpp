#include "celeryline/cli/Subcommand.h"

int main(int argc, char** argv) { return celeryline::runSubcommand({ argv + 1, argv + argc }); }
