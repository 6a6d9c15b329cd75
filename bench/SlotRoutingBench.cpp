#include "celeryline/calls/SlotCredits.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <deque>
#include <random>

using namespace celeryline;

namespace {

constexpr std::size_t runnerCount = 10;
constexpr std::uint32_t slots = 8;
constexpr double workMs = 40;
constexpr double meanPerMs = 0.5; ///< A quarter of the capacity of the runners.
constexpr int durationMs = 10000;
constexpr int peakFrom = 3000;
constexpr int peakTo = 7000; ///< The peak is five times the mean, 25% above the capacity of the runners.
constexpr int maxWaitMs = 2000;
constexpr int seeds = 20;

struct Result {
    std::uint64_t overfilled = 0; ///< Requests sent to a runner without a free slot.
    std::uint64_t refused = 0;
    std::uint64_t served = 0;
    std::vector<int> waits; ///< From arrival to the start on a slot, in ms.

    int p99() { return quantile(0.99); }
    int quantile(double q)
    {
        std::sort(waits.begin(), waits.end());
        return waits.empty() ? 0 : waits[static_cast<std::size_t>(q * static_cast<double>(waits.size() - 1))];
    }
};

/// A runner processes one request per slot and queues the others.
struct Runner {
    std::vector<std::pair<int, int>> running; ///< End time and the index passed to send().
    std::deque<std::pair<int, int>> waiting; ///< Arrival time at the entry instance and the index.

    std::uint32_t load() const { return static_cast<std::uint32_t>(running.size() + waiting.size()); }
};

/// Base of the routing policies: generates requests that are spread unevenly over the entry instances.
class RoutingRun {
public:
    RoutingRun(unsigned seed, std::size_t instances)
        : m_random(seed)
        , m_queues(instances)
    {
    }
    virtual ~RoutingRun() = default;

    Result run()
    {
        for (m_now = 0; m_now < durationMs; ++m_now) {
            for (auto& runner : m_runners) {
                work(runner);
            }
            const bool isPeak = m_now >= peakFrom && m_now < peakTo;
            std::poisson_distribution<int> arrivals(meanPerMs * (isPeak ? 5 : 1));
            for (int i = arrivals(m_random); i > 0; --i) {
                // The load balancer reuses connections, so about half of the requests reach one instance.
                const std::size_t all = m_queues.size();
                const std::size_t instance = m_random() % 2 ? 0 : m_random() % all;
                enqueue(m_queues[instance], m_now);
            }
            onMillisecond();
            for (std::size_t i = 0; i < m_queues.size(); ++i) {
                serve(i);
            }
        }
        return std::move(m_result);
    }

protected:
    virtual void onMillisecond() = 0;
    /// Sends queued requests of an instance.
    virtual void serve(std::size_t instance) = 0;
    virtual void onEnd(int index) = 0;
    virtual std::size_t capacityOf(std::size_t instance) = 0;

    void send(std::size_t runner, int arrival, int index)
    {
        auto& target = m_runners[runner];
        m_result.overfilled += target.running.size() >= slots;
        target.waiting.emplace_back(arrival, index);
        start(target);
    }

    std::mt19937 m_random;
    int m_now = 0;
    std::vector<std::deque<int>> m_queues; ///< Arrival times, by instance.
    std::vector<Runner> m_runners { runnerCount };
    Result m_result;

private:
    void enqueue(std::deque<int>& queue, int arrival)
    {
        const auto instance = static_cast<std::size_t>(&queue - m_queues.data());
        const auto capacity = std::max<std::size_t>(1, capacityOf(instance));
        if (static_cast<double>(queue.size() + 1) * workMs / static_cast<double>(capacity) > maxWaitMs) {
            ++m_result.refused;
            return;
        }
        queue.push_back(arrival);
    }

    void work(Runner& runner)
    {
        for (std::size_t i = runner.running.size(); i-- > 0;) {
            if (runner.running[i].first <= m_now) {
                onEnd(runner.running[i].second);
                runner.running.erase(runner.running.begin() + static_cast<std::ptrdiff_t>(i));
                ++m_result.served;
            }
        }
        start(runner);
    }

    void start(Runner& runner)
    {
        std::exponential_distribution<double> work(1 / workMs);
        while (runner.running.size() < slots && !runner.waiting.empty()) {
            const auto [arrival, index] = runner.waiting.front();
            runner.waiting.pop_front();
            m_result.waits.push_back(m_now - arrival);
            runner.running.emplace_back(m_now + 1 + static_cast<int>(work(m_random)), index);
        }
    }
};

/// Routes by slot credits, which instances lend to each other.
class CreditRun final : public RoutingRun {
public:
    CreditRun(unsigned seed, std::size_t instances)
        : RoutingRun(seed, instances)
    {
        RouteTable table;
        for (std::size_t r = 0; r < runnerCount; ++r) {
            table.runners.push_back({ "r" + std::to_string(r), "", 1, slots, 64 });
            m_runnerIndexes.push_back(r);
        }
        for (std::size_t i = 0; i < instances; ++i) {
            m_names.push_back("e" + std::to_string(i));
        }
        for (std::size_t i = 0; i < instances; ++i) {
            m_credits.push_back(std::make_unique<SlotCredits>(
                m_names[i], 1, Millis { 2000 }, Millis { 60000 }, Millis { -10000 }));
            m_runnerCredits.push_back(m_credits[i]->updateRoutes(table));
        }
        for (std::int64_t t = -10000; t < 0; t += 500) {
            tick(Millis { t });
        }
    }

private:
    struct Held {
        std::size_t instance;
        std::size_t runner;
        RunnerCredits::Source source;
    };

    void tick(Millis now)
    {
        for (auto& credits : m_credits) {
            credits->tick(now, m_names);
        }
        for (auto& credits : m_credits) {
            for (const auto& peer : credits->reportsNeeded(now)) {
                const auto report = m_credits[indexOf(peer)]->onRequest(now, credits->makeRequest(), {});
                credits->onReport(peer, report, now);
            }
        }
    }

    std::size_t indexOf(const std::string& name) { return std::stoul(name.substr(1)); }

    void onMillisecond() override
    {
        if (m_now % 20 != 0) {
            return;
        }
        const Millis now { m_now };
        tick(now);
        for (std::size_t i = 0; i < m_credits.size(); ++i) {
            for (const auto& loans : m_credits[i]->takeReturns(now)) {
                auto request = m_credits[i]->makeRequest();
                request.returned = loans.second;
                m_credits[indexOf(loans.first)]->onRequest(now, request, {});
            }
            if (!m_queues[i].empty() && m_credits.size() > 1) {
                auto request = m_credits[i]->makeRequest();
                request.service = "intake";
                request.wanted = static_cast<std::uint32_t>(std::min<std::size_t>(m_queues[i].size(), 16));
                const auto peer = (i + 1 + m_random() % (m_credits.size() - 1)) % m_credits.size();
                const auto lendable = m_queues[peer].empty() ? m_runnerIndexes : std::vector<std::size_t>();
                m_credits[i]->onGrant(m_names[peer], m_credits[peer]->onRequest(now, request, lendable), now);
            }
        }
    }

    void serve(std::size_t instance) override
    {
        auto& queue = m_queues[instance];
        auto& runners = m_runnerCredits[instance];
        while (!queue.empty()) {
            const auto best = std::min_element(
                m_runnerIndexes.begin(), m_runnerIndexes.end(), [&](std::size_t a, std::size_t b) {
                    return std::make_pair(runners[a]->free() == 0, runners[a]->inUse())
                        < std::make_pair(runners[b]->free() == 0, runners[b]->inUse());
                });
            Held held { instance, *best, {} };
            if (!runners[*best]->tryAcquireSlot(Millis { m_now }, held.source)) {
                break;
            }
            m_held.push_back(held);
            send(*best, queue.front(), static_cast<int>(m_held.size()) - 1);
            queue.pop_front();
        }
    }

    void onEnd(int index) override
    {
        const auto& held = m_held[static_cast<std::size_t>(index)];
        m_runnerCredits[held.instance][held.runner]->releaseSlot(held.source);
    }

    std::size_t capacityOf(std::size_t instance) override
    {
        std::size_t sum = 0;
        for (const auto& runner : m_runnerCredits[instance]) {
            sum += runner->capacity();
        }
        return sum;
    }

    std::vector<std::string> m_names;
    std::vector<std::size_t> m_runnerIndexes;
    std::vector<std::unique_ptr<SlotCredits>> m_credits;
    std::vector<std::vector<std::shared_ptr<RunnerCredits>>> m_runnerCredits;
    std::vector<Held> m_held;
};

/// Power of two choices: picks the less loaded of two random runners, by the last load report plus the
/// requests that the instance has sent since.
class TwoChoicesRun final : public RoutingRun {
public:
    TwoChoicesRun(unsigned seed, std::size_t instances, int reportMs)
        : RoutingRun(seed, instances)
        , m_reportMs(reportMs)
        , m_knownLoads(instances, std::vector<std::uint32_t>(runnerCount))
    {
    }

private:
    void onMillisecond() override
    {
        if (m_now % m_reportMs == 0) {
            for (auto& known : m_knownLoads) {
                for (std::size_t r = 0; r < runnerCount; ++r) {
                    known[r] = m_runners[r].load();
                }
            }
        }
    }

    void serve(std::size_t instance) override
    {
        auto& known = m_knownLoads[instance];
        auto& queue = m_queues[instance];
        for (std::size_t tries = queue.size(); tries > 0 && !queue.empty(); --tries) {
            const std::size_t a = m_random() % runnerCount;
            const std::size_t b = m_random() % runnerCount;
            const auto best = known[a] <= known[b] ? a : b;
            if (known[best] >= slots) {
                continue;
            }
            ++known[best];
            m_sent.emplace_back(instance, best);
            send(best, queue.front(), static_cast<int>(m_sent.size()) - 1);
            queue.pop_front();
        }
    }

    void onEnd(int index) override
    {
        const auto [instance, runner] = m_sent[static_cast<std::size_t>(index)];
        auto& known = m_knownLoads[instance][runner];
        known -= known > 0 ? 1 : 0;
    }

    std::size_t capacityOf(std::size_t) override { return runnerCount * slots / m_knownLoads.size(); }

    int m_reportMs;
    std::vector<std::vector<std::uint32_t>> m_knownLoads;
    std::vector<std::pair<std::size_t, std::size_t>> m_sent;
};

template <typename MakeRun> void measure(benchmark::State& state, MakeRun makeRun)
{
    for (auto _ : state) {
        std::vector<double> p99;
        double overfilled = 0;
        double refused = 0;
        double served = 0;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            auto result = makeRun(seed)->run();
            p99.push_back(result.p99());
            overfilled += static_cast<double>(result.overfilled);
            refused += static_cast<double>(result.refused);
            served += static_cast<double>(result.served);
        }
        std::sort(p99.begin(), p99.end());
        state.counters["wait_p99_ms"] = p99[p99.size() / 2];
        state.counters["wait_p99_worst_ms"] = p99.back();
        state.counters["overfilled"] = overfilled / seeds;
        state.counters["refused"] = refused / seeds;
        state.counters["served"] = served / seeds;
    }
}

void slotCredits(benchmark::State& state)
{
    const auto instances = static_cast<std::size_t>(state.range(0));
    measure(state, [=](unsigned seed) { return std::make_unique<CreditRun>(seed, instances); });
}

void twoChoices(benchmark::State& state)
{
    const auto instances = static_cast<std::size_t>(state.range(0));
    const auto reportMs = static_cast<int>(state.range(1));
    measure(state, [=](unsigned seed) { return std::make_unique<TwoChoicesRun>(seed, instances, reportMs); });
}

BENCHMARK(slotCredits)->Arg(2)->Arg(3)->Arg(8)->Iterations(1)->Unit(benchmark::kMillisecond);
BENCHMARK(twoChoices)
    ->ArgsProduct({ { 2, 3, 8 }, { 250, 1000 } })
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

} // namespace
