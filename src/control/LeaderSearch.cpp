#include "celeryline/control/LeaderSearch.h"

#include "celeryline/control/ControlTimes.h"
#include "celeryline/settings/EventLog.h"
#include "celeryline/settings/Logging.h"

namespace celeryline {
namespace {

kj::Duration toKj(Millis time) { return time.count * kj::MILLISECONDS; }

} // namespace

LeaderSearch::LeaderSearch(LeaderClient& client, ControlLinks& links, const LeaderSearchOptions& options)
    : m_client(client)
    , m_links(links)
    , m_options(options)
    , m_tasks(*this)
{
    m_client.setRefusalRule({ options.refuseAfter, options.pause + controlCallTimeout });
    tick();
}

void LeaderSearch::tick()
{
    m_client.noteTime();
    ask();
    noteRefusing();
    auto pause = m_client.silence().isWaiting ? silenceStep : m_options.interval;
    m_tasks.add(m_links.timer().afterDelay(toKj(pause)).then([this] { tick(); }));
}

void LeaderSearch::ask()
{
    if (hasLeader() && !m_client.leader().empty()) {
        askIfDue(m_client.leader());
        return;
    }
    for (const auto& address : m_client.addresses())
        askIfDue(address);
}

void LeaderSearch::askIfDue(const std::string& address)
{
    auto& question = m_questions[address];
    if (question.isOpen || m_links.timer().now() < question.dueAt)
        return;
    question.isOpen = true;
    m_client.noteQuestion();
    // An address that can't be read fails like one that doesn't answer.
    auto answered = kj::evalNow([&] {
        return m_links.to(address).introduce({}, controlCallTimeout);
    }).catch_([](kj::Exception&&) { return CallResult<Introduction> {}; });
    m_tasks.add(answered.then([this, address](CallResult<Introduction>&& call) { onAnswer(address, call); }));
}

void LeaderSearch::onAnswer(const std::string& address, const CallResult<Introduction>& call)
{
    m_client.noteTime();
    bool isLeader
        = call.hasResult && !call.result.leader.empty() && call.result.leader == call.result.address;
    auto pause = isLeader ? m_options.interval : m_options.pause;
    m_questions[address] = { false, m_links.timer().now() + toKj(pause) };
    if (call.hasResult)
        m_client.addAddresses(call.result.members);
    if (isLeader) {
        noteFound(address);
    } else {
        noteNotLeading(address, call.result.leader);
    }
    noteRefusing();
}

void LeaderSearch::noteFound(const std::string& address)
{
    m_client.noteLeader(address);
    if (!hasLeader())
        Event("control-found").with("address", address).writeAlways();
    m_found = address;
}

void LeaderSearch::noteNotLeading(const std::string& address, const std::string& named)
{
    if (m_client.leader() == address)
        m_client.setLeader("");
    if (m_found == address) {
        Event("control-lost").with("address", address).writeAlways();
        m_found.clear();
    }
    if (!named.empty()) {
        // It may have been lost meanwhile, or be out of reach from here; its own answer decides.
        m_client.addAddresses({ named });
        if (m_client.leader().empty())
            m_client.setLeader(named);
    }
    ask();
}

void LeaderSearch::noteRefusing()
{
    if (m_client.isRefusing() == m_isRefusing)
        return;
    m_isRefusing = m_client.isRefusing();
    Event(m_isRefusing ? "refusing" : "not-refusing")
        .with("silentMs", m_client.silence().length)
        .with("leader", m_client.leader())
        .with("asked", static_cast<std::uint64_t>(m_client.addresses().size()))
        .writeAlways();
}

void LeaderSearch::taskFailed(kj::Exception&& exception)
{
    LOG4CXX_ERROR(logger("control"), "search for the leader failed: " << exception.getDescription().cStr());
}

} // namespace celeryline
