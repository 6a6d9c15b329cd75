#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <csignal>
#include <cstdio>
#include <cstdlib>

namespace {

/// Prints the number of passed and failed tests as the last line.
class CountingListener : public Catch::TestEventListenerBase {
public:
    using TestEventListenerBase::TestEventListenerBase;

    void testRunEnded(const Catch::TestRunStats& stats) override
    {
        const auto& cases = stats.totals.testCases;
        std::printf("%zu passed, %zu failed\n", static_cast<std::size_t>(cases.passed),
            static_cast<std::size_t>(cases.failed + cases.failedButOk));
    }
};

CATCH_REGISTER_LISTENER(CountingListener)

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    // A fixed seed makes runs reproducible; set RC_PARAMS to use another one.
    setenv("RC_PARAMS", "seed=20261204", 0);
    Catch::Session session;
    // A name that matches no test fails. An unescaped comma in a name separates two filters.
    session.configData().warnings = Catch::WarnAbout::NoTests;
    return session.run(argc, argv);
}
