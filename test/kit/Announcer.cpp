#include "Announcer.h"

#include "celeryline/base/Clock.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <iostream>
#include <sstream>

namespace celeryline::kit {

namespace {

Poco::JSON::Object resourcesAsJson(const Resources& resources)
{
    Poco::JSON::Object object;
    object.set("cpuMilli", resources.cpuMilli);
    object.set("memoryMb", resources.memoryMb);
    object.set("accelerators", resources.accelerators);
    return object;
}

std::string asJson(const Announcement& a)
{
    Poco::JSON::Object labels;
    for (const auto& [name, value] : a.labels) {
        labels.set(name, value);
    }
    Poco::JSON::Object object;
    object.set("name", a.name);
    object.set("kind", a.kind == UpstreamKind::Runner ? "runner" : "worker");
    if (!a.address.empty()) {
        object.set("address", a.address);
    }
    object.set("dataCentre", a.dataCentre);
    object.set("rack", a.rack);
    object.set("labels", labels);
    object.set("slots", a.slots);
    object.set("connections", a.connections);
    object.set("bootId", a.bootEpoch);
    object.set("leaseMs", a.lease.count);
    object.set("draining", a.draining);
    object.set("capacity", resourcesAsJson(a.capacity));
    object.set("usage", resourcesAsJson(a.usage));
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

} // namespace

Announcer::Announcer(Announcement announcement, std::vector<std::string> entries, std::string token,
    int rebootMs, std::function<int()> inProgress)
    : m_announcement(std::move(announcement))
    , m_entries(std::move(entries))
    , m_token(std::move(token))
    , m_rebootMs(rebootMs)
    , m_inProgress(std::move(inProgress))
    , m_thread([this] { run(); })
{
}

Announcer::~Announcer() { stop(); }

void Announcer::stop()
{
    if (!m_thread.joinable()) {
        return;
    }
    m_isStopping = true;
    m_thread.join();
    deregister();
}

void Announcer::run()
{
    while (!m_isStopping) {
        std::string instruction = announce();
        applyInstruction(instruction);
        sleepFor(static_cast<int>(m_announcement.lease.count / 6));
    }
}

void Announcer::applyInstruction(const std::string& instruction)
{
    m_isInstructedToDrain = instruction == "drain";
    if (instruction != "reboot" || m_inProgress() > 0) {
        return;
    }
    deregister();
    sleepFor(m_rebootMs);
    m_announcement.bootEpoch = static_cast<std::uint64_t>(SystemClock().wallTime().count);
    m_isInstructedToDrain = false;
    ++m_reboots;
}

std::string Announcer::announce()
{
    m_announcement.draining = m_isDraining || m_isInstructedToDrain;
    m_announcement.usage.cpuMilli = m_inProgress() * 1000;
    std::string answer = send("POST", "/v1/upstreams", asJson(m_announcement));
    if (answer.empty()) {
        return "";
    }
    try {
        auto object = Poco::JSON::Parser().parse(answer).extract<Poco::JSON::Object::Ptr>();
        if (object->has("error")) {
            std::cerr << m_announcement.name << ": " << answer << '\n';
        }
        return object->optValue<std::string>("instruction", "");
    } catch (const Poco::Exception& e) {
        std::cerr << m_announcement.name << ": " << e.displayText() << '\n';
        return "";
    }
}

void Announcer::deregister()
{
    // The boot id lets any entry instance accept this, even one that doesn't know the upstream yet.
    send("DELETE",
        "/v1/upstreams/" + m_announcement.name + "?bootId=" + std::to_string(m_announcement.bootEpoch), "");
}

std::string Announcer::send(const std::string& method, const std::string& path, const std::string& body)
{
    for (std::size_t tries = 0; tries < m_entries.size(); ++tries) {
        // Round robin over the entry instances, like the platform's load balancer.
        const auto& entry = m_entries[m_nextEntry++ % m_entries.size()];
        try {
            Poco::Net::HTTPClientSession session { Poco::Net::SocketAddress(entry) };
            session.setTimeout(Poco::Timespan(500 * 1000));
            Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPRequest::HTTP_1_1);
            request.setContentType("application/json");
            request.setContentLength(static_cast<std::streamsize>(body.size()));
            if (!m_token.empty()) {
                request.set("Authorization", "Bearer " + m_token);
            }
            session.sendRequest(request) << body;
            Poco::Net::HTTPResponse response;
            std::string answer;
            Poco::StreamCopier::copyToString(session.receiveResponse(response), answer);
            return answer;
        } catch (const Poco::Exception&) {
            continue; // Try the next entry instance.
        }
    }
    return "";
}

void Announcer::sleepFor(int ms) const
{
    for (int slept = 0; slept < ms && !m_isStopping; slept += 10) {
        std::this_thread::sleep_for(std::chrono::milliseconds(std::min(10, ms - slept)));
    }
}

} // namespace celeryline::kit
