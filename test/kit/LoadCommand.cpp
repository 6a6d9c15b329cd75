#include "Journal.h"
#include "KitCommands.h"

#include "celeryline/cli/CommandLine.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iostream>
#include <map>
#include <thread>

namespace celeryline::kit {

namespace po = boost::program_options;
using SteadyClock = std::chrono::steady_clock;

namespace {

/// Parameters of the load.
struct LoadPlan {
    std::vector<std::string> entries;
    std::string path;
    std::string prefix; ///< Prefix of request ids; keeps those of concurrent load processes distinct.
    std::string caller;
    std::string token;
    int connections = 0;
    double seconds = 0;
    double rate = 0; ///< Requests per second over all connections; 0: as fast as possible.
    int keyedPercent = 0;
    int bodyBytes = 0;
    int resend = 0; ///< Maximum retries of a keyed request with the same key while it isn't done.
};

/// Results of one connection.
struct LoadResult {
    std::vector<double> latenciesMs;
    std::map<std::string, std::uint64_t> outcomes;
    std::uint64_t mismatched = 0; ///< Answers whose body isn't that of the request.
};

/// Sends one request after another over one keep-alive connection.
class LoadConnection {
public:
    LoadConnection(const LoadPlan& plan, int number, Journal& journal)
        : m_plan(plan)
        , m_number(number)
        , m_journal(journal)
    {
    }

    LoadResult run()
    {
        auto start = SteadyClock::now();
        auto end = start
            + std::chrono::duration_cast<SteadyClock::duration>(
                std::chrono::duration<double>(m_plan.seconds));
        double intervalSeconds = m_plan.rate > 0 ? m_plan.connections / m_plan.rate : 0;
        for (std::uint64_t i = 0; SteadyClock::now() < end; ++i) {
            auto due = SteadyClock::now();
            if (intervalSeconds > 0) {
                double offset = (static_cast<double>(i) + static_cast<double>(m_number) / m_plan.connections)
                    * intervalSeconds;
                due = start
                    + std::chrono::duration_cast<SteadyClock::duration>(
                        std::chrono::duration<double>(offset));
                std::this_thread::sleep_until(std::min(due, end));
                if (due >= end) {
                    break;
                }
            }
            sendUntilKnown(i);
            // Latency is measured from the time the request was due, to avoid coordinated omission.
            m_result.latenciesMs.push_back(
                std::chrono::duration<double, std::milli>(SteadyClock::now() - due).count());
        }
        return std::move(m_result);
    }

private:
    void sendUntilKnown(std::uint64_t i)
    {
        std::string key;
        if (static_cast<int>(i * 37 % 100) < m_plan.keyedPercent) {
            key = m_plan.prefix + "-key-" + std::to_string(m_number) + "-" + std::to_string(i);
        }
        int tries = key.empty() ? 1 : 1 + m_plan.resend;
        for (int t = 0; t < tries; ++t) {
            std::string id = m_plan.prefix + "-" + std::to_string(m_number) + "-" + std::to_string(i) + "-"
                + std::to_string(t);
            std::string outcome = sendOnce(id, key);
            ++m_result.outcomes[outcome];
            m_journal.write("told " + id + " " + (key.empty() ? "-" : key) + " " + outcome);
            if (outcome.compare(0, 4, "done") == 0) {
                return;
            }
            if (t + 1 < tries) {
                std::this_thread::sleep_for(std::chrono::milliseconds(50));
            }
        }
    }

    std::string sendOnce(const std::string& id, const std::string& key)
    {
        if (!m_session && !connect()) {
            return "no-entry-instance";
        }
        try {
            return exchange(id, key);
        } catch (const Poco::Exception&) {
            m_session.reset();
            return "connection-error";
        }
    }

    /// Connects to the next entry instance that accepts, like the platform's load balancer.
    bool connect()
    {
        for (std::size_t tries = 0; tries < m_plan.entries.size(); ++tries) {
            const auto& entry = m_plan.entries[m_nextEntry++ % m_plan.entries.size()];
            try {
                Poco::Net::StreamSocket socket { Poco::Net::SocketAddress(entry) };
                socket.setNoDelay(true);
                m_session = std::make_unique<Poco::Net::HTTPClientSession>(socket);
                m_session->setKeepAlive(true);
                m_session->setTimeout(Poco::Timespan(70, 0));
                return true;
            } catch (const Poco::Exception&) {
                continue; // Connection refused; nothing was sent.
            }
        }
        return false;
    }

    std::string exchange(const std::string& id, const std::string& key)
    {
        // Requests with the same key must have the same body, so the body is derived from the key if there is
        // one.
        std::string body = key.empty() ? id : key;
        body.resize(std::max<std::size_t>(body.size(), static_cast<std::size_t>(m_plan.bodyBytes)), '.');
        Poco::Net::HTTPRequest request(
            key.empty() ? "PUT" : "POST", m_plan.path, Poco::Net::HTTPRequest::HTTP_1_1);
        request.setKeepAlive(true);
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        request.set("Test-Request-Id", id);
        request.set("Celeryline-Caller", m_plan.caller);
        if (!key.empty()) {
            request.set("Idempotency-Key", key);
        }
        if (!m_plan.token.empty()) {
            request.set("Authorization", "Bearer " + m_plan.token);
        }
        m_session->sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        std::string answer;
        Poco::StreamCopier::copyToString(m_session->receiveResponse(response), answer);
        if (!response.getKeepAlive()) {
            m_session.reset();
        }
        std::string outcome = response.get("Celeryline-Outcome", "direct");
        bool isDone = outcome == "done" || outcome == "direct";
        if (!isDone) {
            return outcome + "-" + std::to_string(response.getStatus());
        }
        if (answer != body) {
            ++m_result.mismatched;
            return outcome + "-wrong-answer";
        }
        return outcome;
    }

    const LoadPlan& m_plan;
    int m_number;
    Journal& m_journal;
    std::size_t m_nextEntry = static_cast<std::size_t>(m_number);
    std::unique_ptr<Poco::Net::HTTPClientSession> m_session;
    LoadResult m_result;
};

double quantile(std::vector<double>& values, double q)
{
    if (values.empty()) {
        return 0;
    }
    auto n = static_cast<std::size_t>(q * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(n), values.end());
    return values[n];
}

int report(std::vector<LoadResult>& results, double seconds)
{
    LoadResult total;
    for (auto& result : results) {
        total.latenciesMs.insert(
            total.latenciesMs.end(), result.latenciesMs.begin(), result.latenciesMs.end());
        total.mismatched += result.mismatched;
        for (const auto& [outcome, count] : result.outcomes) {
            total.outcomes[outcome] += count;
        }
    }
    auto count = static_cast<double>(total.latenciesMs.size());
    std::cout << "requests " << total.latenciesMs.size() << ", per second "
              << static_cast<long>(count / seconds) << ", p50 ms " << quantile(total.latenciesMs, 0.5)
              << ", p99 ms " << quantile(total.latenciesMs, 0.99) << ", max ms "
              << quantile(total.latenciesMs, 1.0) << ", wrong answers " << total.mismatched;
    for (const auto& [outcome, n] : total.outcomes) {
        std::cout << ", " << outcome << " " << n;
    }
    std::cout << std::endl;
    return total.mismatched == 0 ? 0 : 1;
}

} // namespace

int runLoad(const std::vector<std::string>& arguments)
{
    LoadPlan plan;
    std::string journalPath;
    po::options_description options("options");
    auto add = options.add_options();
    add("entry", po::value(&plan.entries)->required()->composing(), "IP:port of an entry instance or runner");
    add("path", po::value(&plan.path)->required(), "request path, such as /call/intake/bins");
    add("connections", po::value(&plan.connections)->default_value(8), "connections at once");
    add("seconds", po::value(&plan.seconds)->default_value(5), "length of the run");
    add("rate", po::value(&plan.rate)->default_value(0), "requests a second; 0: as fast as possible");
    add("keyed-percent", po::value(&plan.keyedPercent)->default_value(0), "share of non-repeatable requests");
    add("body-bytes", po::value(&plan.bodyBytes)->default_value(64), "size of a body");
    add("resend", po::value(&plan.resend)->default_value(0),
        "resends of a keyed request with an unknown outcome");
    add("prefix", po::value(&plan.prefix)->default_value("load"), "start of request ids");
    add("caller", po::value(&plan.caller)->default_value("load"), "caller name");
    add("token", po::value(&plan.token)->default_value(""), "caller token");
    add("journal", po::value(&journalPath)->default_value(""), "journal file");
    po::variables_map values;
    if (!parseCommandLine("celeryline-testkit load --entry IP:port --path PATH [options]", options, {},
            arguments, values)) {
        return 0;
    }
    Journal journal(journalPath);
    std::vector<LoadResult> results(static_cast<std::size_t>(plan.connections));
    std::vector<std::thread> threads;
    for (int i = 0; i < plan.connections; ++i) {
        threads.emplace_back(
            [&, i] { results[static_cast<std::size_t>(i)] = LoadConnection(plan, i, journal).run(); });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    return report(results, plan.seconds);
}

} // namespace celeryline::kit
