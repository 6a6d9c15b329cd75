#include "celeryline/EntryInstance.h"

#include "celeryline/Clock.h"
#include "celeryline/HttpServer.h"
#include "celeryline/Logging.h"
#include "celeryline/Metrics.h"
#include "celeryline/ProbeEndpoint.h"

#include <atomic>

namespace celeryline {

struct EntryInstance::Modules {
    explicit Modules(const Settings& s)
        : settings(s)
        , probes(metrics, [this] { return reasonNotReady(); })
        , http(s.httpListen, s.limits)
    {
    }

    std::string reasonNotReady() const { return isDraining ? "shutting down" : ""; }

    Settings settings;
    SystemClock clock;
    Metrics metrics;
    std::atomic<bool> isDraining { false };
    ProbeEndpoint probes;
    HttpServer http;
};

EntryInstance::EntryInstance(const Settings& settings)
    : m_modules(std::make_unique<Modules>(settings))
{
}

EntryInstance::~EntryInstance() = default;

void EntryInstance::start()
{
    auto& m = *m_modules;
    m.http.route("/healthz", m.probes);
    m.http.route("/readyz", m.probes);
    m.http.route("/metrics", m.probes);
    m.http.start();
    LOG4CXX_INFO(logger("main"), "serving on " << m.settings.httpListen);
}

void EntryInstance::stop()
{
    auto& m = *m_modules;
    m.isDraining = true;
    m.http.stop(m.settings.routing.maxDeadline);
    LOG4CXX_INFO(logger("main"), "stopped");
}

} // namespace celeryline
