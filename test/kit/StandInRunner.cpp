#include "StandInRunner.h"

#include <Poco/NumberParser.h>
#include <Poco/StreamCopier.h>

#include <chrono>
#include <thread>

namespace celeryline::kit {

StandInRunner::StandInRunner(const RunnerBehaviour& behaviour, Journal& journal, std::string name)
    : m_behaviour(behaviour)
    , m_journal(journal)
    , m_name(std::move(name))
{
}

void StandInRunner::handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
{
    if (++m_inProgress > m_behaviour.slots) {
        ++m_overfills;
    }
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    auto id = request.get("Test-Request-Id", "");
    if (!id.empty()) {
        m_journal.write("ran " + id + " " + request.get("Idempotency-Key", "-") + " " + m_name);
    }
    int workMs = m_behaviour.workMs;
    Poco::NumberParser::tryParse(request.get("Test-Work-Ms", ""), workMs);
    if (workMs > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(workMs));
    }
    ++m_served;
    // Frees the slot before the answer is sent, so that the caller's next request isn't counted as exceeding
    // the slots.
    --m_inProgress;
    response.set("Test-Runner", m_name);
    response.set("Test-Request-Id", id);
    response.sendBuffer(body.data(), body.size());
}

} // namespace celeryline::kit
