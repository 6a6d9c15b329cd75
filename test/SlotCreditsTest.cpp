#include "celeryline/calls/SlotCredits.h"

#include "celeryline/base/Error.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <random>

using namespace celeryline;

namespace {

constexpr Millis settlingTime { 100 };
constexpr Millis longestRequest { 400 };

RouteTable tableOf(std::size_t runners, std::uint32_t slots)
{
    RouteTable table;
    for (std::size_t i = 0; i < runners; ++i) {
        table.runners.push_back({ "r" + std::to_string(i), "127.0.0.1:1", 1, slots, 64 });
    }
    return table;
}

/// One simulated entry instance.
struct SimInstance {
    struct Request {
        std::size_t runner;
        RunnerCredits::Source source;
        Millis endsAt;
    };

    std::string name;
    std::uint64_t epoch = 0;
    std::unique_ptr<SlotCredits> credits; ///< Null while the process is down.
    std::vector<std::shared_ptr<RunnerCredits>> runners;
    std::vector<Request> requests;
    std::vector<std::string> live;
    Millis suspendedUntil; ///< Suspended until then.
    std::map<std::string, Millis> lastHeartbeat; ///< Time of the last heartbeat of each other instance.
};

/// Simulates several instances that share runners, with crashes, suspensions and lost messages.
class Simulation {
public:
    /// @param longestWork maximum duration of a request in milliseconds.
    /// @param freezes whether instances are randomly suspended.
    Simulation(unsigned seed, unsigned longestWork, bool withSuspensions)
        : m_random(seed)
        , m_longestWork(longestWork)
        , m_withSuspensions(withSuspensions)
    {
        for (const std::string name : { "a", "b", "c", "d" }) {
            m_instances.push_back({});
            m_instances.back().name = name;
            start(m_instances.back());
        }
    }

    void step()
    {
        m_now.count += 1;
        for (auto& instance : m_instances) {
            endRequests(instance);
            if (!instance.credits && chance(150)) {
                start(instance);
            } else if (instance.credits && m_now >= instance.suspendedUntil) {
                run(instance);
            }
        }
        for (std::size_t r = 0; r < runnerCount; ++r) {
            const auto load = std::count_if(m_onRunners.begin(), m_onRunners.end(),
                [r](const auto& request) { return request.runner == r; });
            m_mostOnRunner = std::max(m_mostOnRunner, static_cast<std::uint32_t>(load));
        }
    }

    std::uint32_t mostOnRunner() const { return m_mostOnRunner; }
    int served() const { return m_served; }
    int borrowed() const { return m_borrowed; }

    static constexpr std::size_t runnerCount = 3;
    static constexpr std::uint32_t slots = 8;

private:
    struct Running {
        std::string instance;
        std::size_t runner;
        Millis endsAt;
    };

    bool chance(unsigned oneIn) { return m_random() % oneIn == 0; }

    void start(SimInstance& instance)
    {
        instance.credits = std::make_unique<SlotCredits>(
            instance.name, ++instance.epoch, settlingTime, longestRequest, m_now);
        instance.runners = instance.credits->updateRoutes(tableOf(runnerCount, slots));
        instance.lastHeartbeat.clear();
    }

    void endRequests(SimInstance& instance)
    {
        m_onRunners.erase(std::remove_if(m_onRunners.begin(), m_onRunners.end(),
                              [this](const Running& r) { return r.endsAt <= m_now; }),
            m_onRunners.end());
        if (m_now < instance.suspendedUntil) {
            return;
        }
        auto& requests = instance.requests;
        for (std::size_t i = requests.size(); i-- > 0;) {
            if (requests[i].endsAt <= m_now) {
                instance.runners[requests[i].runner]->releaseSlot(requests[i].source);
                requests.erase(requests.begin() + static_cast<std::ptrdiff_t>(i));
            }
        }
    }

    void run(SimInstance& instance)
    {
        if (chance(600)) {
            // The process crashes; its connections close, which ends its requests on the runners.
            instance.credits.reset();
            instance.requests.clear();
            m_onRunners.erase(std::remove_if(m_onRunners.begin(), m_onRunners.end(),
                                  [&](const Running& r) { return r.instance == instance.name; }),
                m_onRunners.end());
            return;
        }
        if (m_withSuspensions && chance(400)) {
            instance.suspendedUntil = m_now + Millis { static_cast<std::int64_t>(m_random() % 600) };
            return;
        }
        // A resumed process may continue with requests before it detects the suspension.
        if (chance(2)) {
            serve(instance);
        }
        if (m_now.count % 10 == 0) {
            updateLiveSet(instance);
        }
        serve(instance);
        if (chance(10)) {
            exchangeLoans(instance);
        }
    }

    void updateLiveSet(SimInstance& instance)
    {
        instance.live = { instance.name };
        for (auto& other : m_instances) {
            if (other.name != instance.name) {
                if (other.credits && m_now >= other.suspendedUntil) {
                    instance.lastHeartbeat[other.name] = m_now;
                }
                if (instance.lastHeartbeat.count(other.name) > 0
                    && m_now - instance.lastHeartbeat[other.name] < settlingTime) {
                    instance.live.push_back(other.name);
                }
            }
        }
        std::sort(instance.live.begin(), instance.live.end());
        instance.credits->tick(m_now, instance.live);
    }

    void serve(SimInstance& instance)
    {
        for (int i = 0; i < 2; ++i) {
            const std::size_t runner = m_random() % runnerCount;
            RunnerCredits::Source source;
            if (!instance.credits->isFresh(m_now)
                || !instance.runners[runner]->tryAcquireSlot(m_now, source)) {
                continue;
            }
            const Millis endsAt
                = m_now + Millis { 1 + static_cast<std::int64_t>(m_random() % m_longestWork) };
            instance.requests.push_back({ runner, source, endsAt });
            m_onRunners.push_back({ instance.name, runner, endsAt });
            ++m_served;
        }
    }

    void exchangeLoans(SimInstance& instance)
    {
        const auto returns = instance.credits->takeReturns(m_now);
        for (auto& lender : m_instances) {
            const bool isReachable
                = lender.name != instance.name && lender.credits && m_now >= lender.suspendedUntil;
            const auto loans = returns.find(lender.name);
            if (isReachable) {
                report(instance, lender);
            }
            if (!isReachable || (loans == returns.end() && !chance(3))) {
                continue;
            }
            auto request = instance.credits->makeRequest();
            request.service = "intake";
            request.wanted = 4;
            if (loans != returns.end()) {
                request.returned = loans->second;
            }
            const auto grant = lender.credits->onRequest(m_now, request, { 0, 1, 2 });
            if (!chance(5)) { // Some responses are lost.
                m_borrowed += static_cast<int>(instance.credits->onGrant(lender.name, grant, m_now));
            }
        }
    }

    void report(SimInstance& instance, SimInstance& other)
    {
        const auto needed = instance.credits->reportsNeeded(m_now);
        if (std::find(needed.begin(), needed.end(), other.name) == needed.end()) {
            return;
        }
        try {
            const auto report = other.credits->onRequest(m_now, instance.credits->makeRequest(), {});
            instance.credits->onReport(other.name, report, m_now);
        } catch (const Error&) {
            ++m_rejectedReports;
        }
    }

    std::mt19937 m_random;
    unsigned m_longestWork;
    bool m_withSuspensions;
    Millis m_now { 1000 };
    std::vector<SimInstance> m_instances;
    std::vector<Running> m_onRunners;
    std::uint32_t m_mostOnRunner = 0;
    int m_served = 0;
    int m_borrowed = 0;
    int m_rejectedReports = 0; ///< Requests to peers that had not detected the instance yet.
};

} // namespace

TEST_CASE("Shares add up to the slots and never grow when an instance joins", "[credits]")
{
    std::vector<std::string> live;
    std::map<std::string, std::uint32_t> before;
    for (int n = 1; n <= 12; ++n) {
        live.push_back("instance" + std::to_string(n));
        for (std::uint32_t slots : { 1u, 3u, 8u, 64u }) {
            std::uint32_t sum = 0;
            for (const auto& name : live) {
                const auto share = shareOf("r", slots, name, live);
                const auto key = name + std::to_string(slots);
                CHECK((before.count(key) == 0 || share <= before[key]));
                before[key] = share;
                CHECK(share + 1 >= slots / live.size());
                sum += share;
            }
            CHECK(sum == slots);
        }
    }
    CHECK(shareOf("r", 8, "unknown", live) == 0);
}

TEST_CASE(
    "A lost instance's slots are used after the settling time; a join takes effect immediately", "[credits]")
{
    const Millis never { -1 };
    CreditShare share("b", settlingTime, longestRequest, Millis { 0 });
    share.updateMembers(Millis { 0 }, { "a", "b" }, never);
    CHECK(share.reportsNeededFrom() == Millis { 0 });
    share.updateMembers(Millis { 99 }, { "a", "b" }, Millis { 10 });
    CHECK(share.allowance("r", 8) == 0);
    share.updateMembers(Millis { 100 }, { "a", "b" }, Millis { 10 });
    CHECK(share.allowance("r", 8) == 4);
    share.updateMembers(Millis { 150 }, { "b", "c" }, Millis { 10 });
    CHECK(share.reportsNeededFrom() == Millis { 250 });
    share.updateMembers(Millis { 245 }, { "b" }, Millis { 245 });
    share.updateMembers(Millis { 340 }, { "b" }, Millis { 340 });
    CHECK(share.allowance("r", 8) == 4);
    share.updateMembers(Millis { 345 }, { "b" }, Millis { 345 });
    CHECK(share.allowance("r", 8) == 8);
    CHECK_FALSE(share.reportsNeededFrom());
    share.updateMembers(Millis { 350 }, { "a", "b" }, never);
    CHECK(share.allowance("r", 8) == 4);
    CHECK_FALSE(share.isFresh(Millis { 450 }));
    share.updateMembers(Millis { 451 }, { "a", "b" }, Millis { 450 });
    CHECK(share.isNew());
    share.updateMembers(Millis { 551 }, { "a", "b" }, Millis { 450 });
    CHECK(share.allowance("r", 8) == 0);
    // Without reports the wait is extended by the maximum request duration.
    for (std::int64_t t = 600; t <= 1050; t += 50) {
        share.updateMembers(Millis { t }, { "a", "b" }, never);
    }
    CHECK(share.allowance("r", 8) == 0);
    share.updateMembers(Millis { 1051 }, { "a", "b" }, never);
    CHECK(share.allowance("r", 8) == 4);
}

TEST_CASE("A borrowed slot is used only within its lease and is returned", "[credits]")
{
    SlotCredits lender("a", 1, settlingTime, longestRequest, Millis { 0 });
    SlotCredits borrower("b", 1, settlingTime, longestRequest, Millis { 0 });
    const auto table = tableOf(1, 8);
    const auto lent = lender.updateRoutes(table);
    const auto own = borrower.updateRoutes(table);
    for (const std::int64_t t : { 0, 50, 100 }) {
        lender.tick(Millis { t }, { "a", "b" });
        borrower.tick(Millis { t }, { "a", "b" });
        lender.onReport("b", borrower.onRequest(Millis { t }, lender.makeRequest(), {}), Millis { t });
        borrower.onReport("a", lender.onRequest(Millis { t }, borrower.makeRequest(), {}), Millis { t });
    }
    std::vector<RunnerCredits::Source> sources(6);
    for (int i = 0; i < 4; ++i) {
        REQUIRE(own[0]->tryAcquireSlot(Millis { 100 }, sources[0]));
    }
    REQUIRE_FALSE(own[0]->tryAcquireSlot(Millis { 100 }, sources[0]));
    auto request = borrower.makeRequest();
    request.wanted = 2;
    const auto grant = lender.onRequest(Millis { 100 }, request, { 0 });
    CHECK(lent[0]->capacity() == 2);
    CHECK(borrower.onGrant("a", grant, Millis { 100 }) == 2);
    REQUIRE(own[0]->tryAcquireSlot(Millis { 199 }, sources[4]));
    REQUIRE_FALSE(own[0]->tryAcquireSlot(Millis { 200 }, sources[5]));
    // The slot in use is returned after its request has ended.
    auto returns = borrower.takeReturns(Millis { 200 });
    REQUIRE(returns["a"].size() == 1);
    CHECK(returns["a"][0].slots == 1);
    own[0]->releaseSlot(sources[4]);
    auto rest = borrower.takeReturns(Millis { 210 });
    REQUIRE(rest["a"].size() == 1);
    request.wanted = 0;
    request.returned = { returns["a"][0], rest["a"][0] };
    lender.onRequest(Millis { 220 }, request, { 0 });
    CHECK(lent[0]->capacity() == 4);
}

TEST_CASE("Loans to a lost borrower end after the settling time", "[credits]")
{
    SlotCredits lender("a", 1, settlingTime, longestRequest, Millis { 0 });
    const auto lent = lender.updateRoutes(tableOf(1, 8));
    lender.tick(Millis { 0 }, { "a", "b" });
    lender.tick(Millis { 99 }, { "a", "b" });
    lender.tick(Millis { 100 }, { "a", "b" });
    CHECK(lent[0]->capacity() == 0);
    lender.onReport("b", {}, Millis { 90 });
    lender.tick(Millis { 100 }, { "a", "b" });
    CreditRequest request;
    request.borrower = "b";
    request.wanted = 2;
    REQUIRE(lender.onRequest(Millis { 100 }, request, { 0 }).lent.size() == 1);
    lender.tick(Millis { 150 }, { "a" });
    CHECK(lent[0]->capacity() == 2);
    lender.tick(Millis { 249 }, { "a" });
    lender.tick(Millis { 260 }, { "a" });
    CHECK(lent[0]->capacity() == 8);
}

TEST_CASE("Slots are never overfilled when instances freeze, join and die", "[credits]")
{
    // The requests of a suspended instance continue at the runners, while its slots are reassigned after
    // twice the settling time, so they must be shorter than that. Without suspensions there is no such limit.
    const bool withSuspensions = GENERATE(false, true);
    int served = 0;
    int borrowed = 0;
    for (unsigned seed = 1; seed <= 40; ++seed) {
        INFO("seed " << seed);
        Simulation simulation(seed, withSuspensions ? 90 : 400, withSuspensions);
        for (int i = 0; i < 4000; ++i) {
            simulation.step();
        }
        CHECK(simulation.mostOnRunner() <= Simulation::slots);
        served += simulation.served();
        borrowed += simulation.borrowed();
    }
    CHECK(served > 10000);
    CHECK(borrowed > 500);
}
