#include "celeryline/calls/CallEndpoint.h"
#include "celeryline/calls/ResponseParser.h"
#include "celeryline/fleet/ClaimLedger.h"
#include "celeryline/http/HttpServer.h"

#include <benchmark/benchmark.h>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>

#include <algorithm>
#include <thread>

#include <sys/resource.h>

using namespace celeryline;

namespace {

using SteadyClock = std::chrono::steady_clock;

class EchoEndpoint final : public HttpEndpoint {
public:
    void handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
    {
        std::string body;
        Poco::StreamCopier::copyToString(request.stream(), body);
        response.sendBuffer(body.data(), body.size());
    }
};

class NullStore final : public Store {
public:
    CommandResult submit(const Command&, Millis) override { return {}; }
    StoreStatus status() const override { return {}; }
};

/// A fleet with the single service "intake", its runners and one live entry instance.
class SingleServiceFleet final : public FleetReader, public UpstreamView {
public:
    explicit SingleServiceFleet(const std::vector<std::string>& addresses)
    {
        auto services = std::make_shared<std::map<std::string, Service>>();
        (*services)["intake"].name = "intake";
        (*services)["intake"].selector = parseSelector("service=intake");
        m_fleet->services = std::make_shared<const NamedMap<Service>>(*services);
        m_upstreams->liveInstances = { "a" };
        for (const auto& address : addresses) {
            Announcement runner;
            runner.name = "r" + std::to_string(m_upstreams->upstreams.size());
            runner.address = address;
            runner.slots = 64; // At least the number of callers, so that no request queues.
            runner.connections = 128;
            runner.labels = { { "service", "intake" } };
            m_upstreams->upstreams.push_back(runner);
        }
    }
    std::shared_ptr<const FleetState> fleet() const override { return m_fleet; }
    std::shared_ptr<const UpstreamSnapshot> upstreams() const override { return m_upstreams; }

private:
    std::shared_ptr<FleetState> m_fleet = std::make_shared<FleetState>();
    std::shared_ptr<UpstreamSnapshot> m_upstreams = std::make_shared<UpstreamSnapshot>();
};

/// A client with one keep-alive connection.
class Caller {
public:
    explicit Caller(const std::string& address)
        : m_socket(Poco::Net::SocketAddress(address))
    {
        m_socket.setNoDelay(true);
    }

    bool call(const std::string& request)
    {
        m_socket.sendBytes(request.data(), static_cast<int>(request.size()));
        ResponseParser parser(false);
        char buffer[4096];
        while (parser.progress() != ResponseParser::Progress::Complete) {
            const int received = m_socket.receiveBytes(buffer, sizeof buffer);
            if (received <= 0) {
                return false;
            }
            parser.feed(buffer, static_cast<std::size_t>(received));
        }
        return parser.response().status == 200;
    }

private:
    Poco::Net::StreamSocket m_socket;
};

struct LoadResult {
    double perSecond = 0;
    double p50Ms = 0;
    double p99Ms = 0;
    double cpuMicros = 0; ///< CPU time of the whole process per request.
    std::size_t failed = 0;
};

double cpuMicros()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1e6
        + static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

/// @param rate requests per second over all callers; 0 sends as fast as possible.
LoadResult load(const std::string& address, const std::string& path, int callers, double rate, double seconds)
{
    const std::string body(64, 'x');
    const std::string request = "PUT " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 64\r\n\r\n" + body;
    std::vector<std::vector<double>> latencies(static_cast<std::size_t>(callers));
    std::atomic<std::size_t> failed { 0 };
    std::vector<std::thread> threads;
    const double cpuBefore = cpuMicros();
    const auto start = SteadyClock::now();
    const auto end
        = start + std::chrono::duration_cast<SteadyClock::duration>(std::chrono::duration<double>(seconds));
    for (int c = 0; c < callers; ++c) {
        threads.emplace_back([&, c] {
            Caller caller(address);
            for (std::size_t i = 0;; ++i) {
                auto due = SteadyClock::now();
                if (rate > 0) {
                    const double offset = (static_cast<double>(i) * callers + c) / rate;
                    due = start
                        + std::chrono::duration_cast<SteadyClock::duration>(
                            std::chrono::duration<double>(offset));
                    std::this_thread::sleep_until(due);
                }
                if (due >= end) {
                    break;
                }
                failed += !caller.call(request);
                latencies[static_cast<std::size_t>(c)].push_back(
                    std::chrono::duration<double, std::milli>(SteadyClock::now() - due).count());
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    std::vector<double> all;
    for (const auto& part : latencies) {
        all.insert(all.end(), part.begin(), part.end());
    }
    std::sort(all.begin(), all.end());
    const double cpu = cpuMicros() - cpuBefore;
    return { static_cast<double>(all.size()) / seconds, all[all.size() / 2], all[all.size() * 99 / 100],
        cpu / static_cast<double>(all.size()), failed };
}

/// Compares throughput and latency through one entry instance with direct requests to the runner. Callers,
/// entry instance and runner share this process.
void callPath(benchmark::State& state)
{
    auto settings = parseSettings(R"({"name":"a","dataCentre":"dc1","httpListen":"127.0.0.1:0"})", "bench");
    settings.leases.peerTimeout = Millis { 500 };
    EchoEndpoint echo;
    HttpServer runner("127.0.0.1:0", settings.limits);
    runner.route("/", echo);
    runner.start();
    const auto runnerAddress = "127.0.0.1:" + std::to_string(runner.port());
    SingleServiceFleet fleet({ runnerAddress });
    SystemClock clock;
    Metrics metrics;
    NullStore store;
    Router router(settings, 1, clock, fleet, fleet, metrics, {});
    UpstreamPool pool(settings.routing, static_cast<std::size_t>(settings.limits.maxAnswerBytes), clock);
    ClaimClient claims("a", 1, 65536, store, clock, metrics);
    CallHandler handler(settings, router, pool, claims, clock, {});
    CallEndpoint endpoint(settings, handler, clock, metrics);
    HttpServer entry("127.0.0.1:0", settings.limits);
    entry.route("/call/", endpoint);
    router.start();
    entry.start();
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    const auto entryAddress = "127.0.0.1:" + std::to_string(entry.port());
    const auto callers = static_cast<int>(state.range(0));
    for (auto _ : state) {
        const auto direct = load(runnerAddress, "/x", callers, 0, 2);
        const auto through = load(entryAddress, "/call/intake/x", callers, 0, 2);
        const double half = through.perSecond / 2;
        const auto directHalf = load(runnerAddress, "/x", callers, half, 2);
        const auto throughHalf = load(entryAddress, "/call/intake/x", callers, half, 2);
        state.counters["direct_rps"] = direct.perSecond;
        state.counters["entry_rps"] = through.perSecond;
        state.counters["ratio"] = through.perSecond / direct.perSecond;
        state.counters["half_direct_p99_ms"] = directHalf.p99Ms;
        state.counters["half_entry_p99_ms"] = throughHalf.p99Ms;
        state.counters["half_added_p50_ms"] = throughHalf.p50Ms - directHalf.p50Ms;
        state.counters["direct_cpu_us"] = direct.cpuMicros;
        state.counters["entry_cpu_us"] = through.cpuMicros;
        state.counters["failed"] = static_cast<double>(through.failed + throughHalf.failed);
    }
    entry.stop(Millis { 1000 });
    runner.stop(Millis { 1000 });
}

BENCHMARK(callPath)->Arg(8)->Arg(32)->Iterations(1)->Unit(benchmark::kMillisecond)->UseRealTime();

} // namespace
