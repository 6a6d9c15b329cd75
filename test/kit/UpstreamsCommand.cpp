#include "Announcer.h"
#include "KitCommands.h"
#include "StandInRunner.h"

#include "celeryline/base/Clock.h"
#include "celeryline/base/Error.h"
#include "celeryline/cli/CommandLine.h"
#include "celeryline/http/HttpServer.h"

#include <csignal>
#include <iostream>
#include <memory>
#include <sstream>

namespace celeryline::kit {

namespace po = boost::program_options;

namespace {

/// One stand-in upstream: a runner with its listener, or a worker without one.
struct StandIn {
    std::unique_ptr<StandInRunner> runner;
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<Announcer> announcer;
};

LabelSet parseLabels(const std::string& text)
{
    LabelSet labels;
    std::istringstream in(text);
    std::string part;
    while (std::getline(in, part, ',')) {
        auto equals = part.find('=');
        if (equals == std::string::npos) {
            throw Error(
                ErrorKind::InvalidInput, "label \"" + part + "\" has no value", "write it as name=value");
        }
        labels[part.substr(0, equals)] = part.substr(equals + 1);
    }
    return labels;
}

LimitSettings runnerLimits(int connections)
{
    LimitSettings limits;
    limits.maxConnections = connections;
    limits.receiveTimeout = Millis { 60000 };
    limits.keepAliveTimeout = Millis { 60000 };
    return limits;
}

StandIn startOne(const po::variables_map& values, int index, Journal& journal)
{
    Announcement a;
    bool isWorker = values["kind"].as<std::string>() == "worker";
    a.kind = isWorker ? UpstreamKind::Worker : UpstreamKind::Runner;
    a.name = values["name"].as<std::string>() + "-" + std::to_string(index);
    a.dataCentre = values["data-centre"].as<std::string>();
    int perRack = values["per-rack"].as<int>();
    a.rack = a.dataCentre + "-" + values["name"].as<std::string>() + "-r" + std::to_string(index / perRack);
    a.labels = parseLabels(values["labels"].as<std::string>());
    a.lease = Millis { values["lease-ms"].as<int>() };
    a.bootEpoch = static_cast<std::uint64_t>(SystemClock().wallTime().count);
    a.capacity.cpuMilli = values["cpu-milli"].as<int>();
    a.capacity.memoryMb = values["memory-mb"].as<int>();
    a.capacity.accelerators = values["accelerators"].as<int>();
    StandIn standIn;
    std::function<int()> inProgress = [] { return 0; };
    if (!isWorker) {
        a.slots = static_cast<std::uint32_t>(values["slots"].as<int>());
        a.connections = static_cast<std::uint32_t>(values["connections"].as<int>());
        RunnerBehaviour behaviour { values["slots"].as<int>(), values["work-ms"].as<int>() };
        standIn.runner = std::make_unique<StandInRunner>(behaviour, journal, a.name);
        int basePort = values["port"].as<int>();
        int port = basePort == 0 ? 0 : basePort + index;
        standIn.server = std::make_unique<HttpServer>(
            "127.0.0.1:" + std::to_string(port), runnerLimits(values["connections"].as<int>()));
        standIn.server->route("/", *standIn.runner);
        standIn.server->start();
        a.address = "127.0.0.1:" + std::to_string(standIn.server->port());
        inProgress = [runner = standIn.runner.get()] { return runner->inProgress(); };
    }
    auto entries = values["entry"].as<std::vector<std::string>>();
    standIn.announcer = std::make_unique<Announcer>(
        a, entries, values["token"].as<std::string>(), values["reboot-ms"].as<int>(), inProgress);
    return standIn;
}

/// Deregisters all upstreams, waits for requests in progress and prints totals.
int stopAll(std::vector<StandIn>& standIns)
{
    std::uint64_t served = 0;
    std::uint64_t overfills = 0;
    int reboots = 0;
    for (auto& standIn : standIns) {
        standIn.announcer->stop();
        reboots += standIn.announcer->reboots();
        if (standIn.server) {
            standIn.server->stop(Millis { 5000 });
            served += standIn.runner->served();
            overfills += standIn.runner->overfills();
        }
    }
    std::cout << "served " << served << ", overfilled slots " << overfills << ", reboots " << reboots
              << std::endl;
    return 0;
}

} // namespace

int runUpstreams(const std::vector<std::string>& arguments)
{
    po::options_description options("options");
    auto add = options.add_options();
    add("kind", po::value<std::string>()->default_value("runner"), "runner or worker");
    add("name", po::value<std::string>()->required(), "name prefix");
    add("count", po::value<int>()->default_value(1), "number of upstreams");
    add("entry", po::value<std::vector<std::string>>()->required()->composing(),
        "IP:port of an entry instance");
    add("data-centre", po::value<std::string>()->required(), "data centre");
    add("labels", po::value<std::string>()->default_value(""), "name=value,...");
    add("per-rack", po::value<int>()->default_value(4), "upstreams in a rack");
    add("slots", po::value<int>()->default_value(8), "requests at once");
    add("connections", po::value<int>()->default_value(64), "connections at once");
    add("work-ms", po::value<int>()->default_value(0), "time a request takes");
    add("lease-ms", po::value<int>()->default_value(3000), "lease");
    add("reboot-ms", po::value<int>()->default_value(500), "time a reboot takes");
    add("cpu-milli", po::value<int>()->default_value(16000), "processors in thousandths");
    add("memory-mb", po::value<int>()->default_value(32768), "memory");
    add("accelerators", po::value<int>()->default_value(0), "accelerators");
    add("port", po::value<int>()->default_value(0), "first listener port; 0 picks free ones");
    add("token", po::value<std::string>()->default_value(""), "upstream token");
    add("journal", po::value<std::string>()->default_value(""), "journal file");
    po::variables_map values;
    if (!parseCommandLine("celeryline-testkit upstreams --name N --entry IP:port --data-centre D [options]",
            options, {}, arguments, values)) {
        return 0;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    Journal journal(values["journal"].as<std::string>());
    std::vector<StandIn> standIns;
    for (int i = 0; i < values["count"].as<int>(); ++i) {
        standIns.push_back(startOne(values, i, journal));
    }
    int signal = 0;
    sigwait(&signals, &signal);
    return stopAll(standIns);
}

} // namespace celeryline::kit
