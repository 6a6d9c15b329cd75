#include "celeryline/control/ControlNode.h"

#include "celeryline/base/SocketAddress.h"
#include "celeryline/consensus/LogFormation.h"
#include "celeryline/consensus/VoterReplacement.h"
#include "celeryline/control/ReplicaNames.h"
#include "celeryline/settings/EventLog.h"
#include "celeryline/settings/Logging.h"

#include <functional>

namespace celeryline {
namespace {

constexpr Millis tickInterval { 25 };
constexpr kj::Duration introductionIntervalWithoutLeader = 250 * kj::MILLISECONDS;
constexpr kj::Duration introductionIntervalWithLeader = 2 * kj::SECONDS;
constexpr Millis introductionTimeout { 700 };

kj::Duration toKj(Millis time) { return time.count * kj::MILLISECONDS; }

} // namespace

ControlNode::ControlNode(
    ControlNodeOptions options, kj::Timer& timer, kj::Network& network, const Clock& clock, FileSystem& files)
    : m_options(std::move(options))
    , m_timer(timer)
    , m_clock(clock)
    , m_master(m_options.jobs, m_store, *this, [this] { return moment(); })
    , m_log(logOptions(), files, *this, clock.now())
    , m_formation(m_options.address, m_options.seeds, m_options.isFirstStart, m_options.voters)
    , m_links(timer, network)
    , m_client(m_links, {})
    , m_voterLog(m_options.electionTimeout)
    , m_lag(m_options.maxLag)
    , m_tasks(*this)
    , m_server(timer, network, m_options.address, *this)
{
    m_client.addAddresses(m_options.seeds);
    for (const auto& voter : m_log.core().log().configuration().voters)
        m_client.addAddresses({ voter.name });
    m_log.setDataCentre(m_options.address, m_options.dataCentre);
    warnIfReplacementIsTooSlow();
    scheduleTick();
    scheduleIntroductions();
}

void ControlNode::warnIfReplacementIsTooSlow() const
{
    auto replacementTime = maxVoterReplacementTime(m_options.electionTimeout);
    if (replacementTime <= m_options.lossInterval)
        return;
    Event("voter-replacement-too-slow")
        .with("replacementMs", replacementTime)
        .with("lossIntervalMs", m_options.lossInterval)
        .writeAlways();
}

LogDriverOptions ControlNode::logOptions() const
{
    LogDriverOptions options;
    options.directory = m_options.directory;
    options.raft.self.name = m_options.address;
    options.raft.voterTarget = m_options.voters;
    options.raft.heartbeat = m_options.heartbeat;
    options.raft.electionTimeout = m_options.electionTimeout;
    options.raft.seed = std::hash<std::string>()(m_options.address);
    return options;
}

void ControlNode::manageMachines(MachineProvider& provider, const MachineMasterOptions& options)
{
    CommandLog& log = *this;
    m_machines = std::make_unique<MachineMaster>(
        options, m_master, m_store, log, provider, [this] { return moment(); });
    if (m_log.core().log().baseIndex() != 0)
        m_machines->onSnapshot();
}

kj::Promise<ForwardedResponse> ControlNode::request(ForwardedRequest request, Millis timeout)
{
    if (!isLeading())
        return m_client.forward(std::move(request), timeout, timeout);
    auto promise = m_handler->handle(request);
    return promise.then([this, request = std::move(request), timeout](
                            ForwardedResponse&& response) mutable -> kj::Promise<ForwardedResponse> {
        if (response.outcome == ForwardOutcome::Answered)
            return fulfilled(std::move(response));
        // All requests are idempotent, so this one can be sent to the next leader.
        bool mayHaveRun = response.outcome == ForwardOutcome::Unknown;
        return m_client.forward(std::move(request), timeout, timeout, mayHaveRun);
    });
}

void ControlNode::resign()
{
    if (m_log.transferLeadership(m_clock.now()))
        Event("leadership-handed-over").with("term", term()).writeAlways();
    // The leader replaces this voter before it stops, so that the next loss leaves a majority.
    m_isLeaving = true;
    introduceToAll();
    scheduleRound();
}

bool ControlNode::isLeading() const { return m_log.isLeading(m_clock.now()) && m_startedTerm == term(); }

void ControlNode::onRaft(const RaftMessage& message)
{
    m_log.receive(m_clock.now(), message);
    scheduleRound();
}

Introduction ControlNode::onIntroduction(const Introduction& other)
{
    if (!other.address.empty())
        m_client.addAddresses({ other.address });
    if (parseSocketAddress(other.address)) {
        if (!other.storageId.empty()) {
            m_log.addPeer(other.address);
            m_log.setDataCentre(other.address, other.dataCentre);
            m_log.setLeaving(m_clock.now(), { other.address, other.storageId }, other.isLeaving);
        }
        m_formation.recordPeer(other);
    }
    m_client.addAddresses(other.members);
    if (!other.formation.empty() && m_log.core().log().lastIndex() == 0
        && m_log.form(decodeFormation(other.formation)))
        Event("log-joined").with("founder", other.address).writeAlways();
    if (auto entry = m_formation.formIfReady(ownIntroduction())) {
        Event("log-formed").with("term", entry->term).writeAlways();
        m_log.form(*entry);
    }
    scheduleRound();
    return ownIntroduction();
}

Introduction ControlNode::ownIntroduction() const
{
    Introduction own;
    own.address = m_options.address;
    own.storageId = m_log.self().storageId;
    own.hasLog = m_log.core().log().lastIndex() != 0;
    if (auto entry = m_log.formation())
        own.formation = encodeFormation(*entry);
    own.leader = leader();
    own.isLeaving = m_isLeaving;
    own.dataCentre = m_options.dataCentre;
    own.members = m_client.addresses();
    return own;
}

kj::Promise<ForwardedResponse> ControlNode::onForwarded(ForwardedRequest request)
{
    if (!isLeading()) {
        ForwardedResponse response;
        response.outcome = ForwardOutcome::NotLeading;
        response.leader = leader() == m_options.address ? "" : leader();
        return fulfilled(std::move(response));
    }
    return m_handler->handle(request);
}

void ControlNode::propose(const std::vector<JobCommand>& commands, std::function<void(bool)> done)
{
    std::vector<std::string> payloads;
    payloads.reserve(commands.size());
    for (const auto& command : commands)
        payloads.push_back(encodeJobCommand(command));
    scheduleRound();
    if (!m_log.propose(m_clock.now(), m_clock.wallTime(), payloads, done))
        done(false);
}

void ControlNode::clear()
{
    m_store = {};
    onStateReplaced();
}

void ControlNode::apply(const LogEntry& entry)
{
    auto command = decodeJobCommand(entry.payload);
    m_master.onCommitted(command);
    m_store.apply(command, entry.time);
    if (m_machines)
        m_machines->onCommitted(command);
}

void ControlNode::restoreSnapshot(const std::string& bytes)
{
    m_store.restoreSnapshot(bytes);
    onStateReplaced();
}

void ControlNode::onStateReplaced()
{
    m_master.onSnapshot();
    if (m_machines)
        m_machines->onSnapshot();
}

void ControlNode::scheduleRound()
{
    if (m_isRoundScheduled || m_isRoundRunning)
        return;
    m_isRoundScheduled = true;
    m_tasks.add(kj::evalLast([this] { runRound(); }));
}

void ControlNode::runRound()
{
    m_isRoundScheduled = false;
    m_isRoundRunning = true; // Later proposals belong to the next round.
    for (auto& message : m_log.begin()) {
        auto& link = m_links.to(message.to.name);
        link.sendRaft(std::move(message));
    }
    m_log.applyCommitted();
    tickMasters();
    if (!m_log.mustPersist()) {
        finishRound("");
        return;
    }
    // Persisting takes several milliseconds; on this thread, incoming reports would queue up in the meantime.
    m_tasks.add(m_disk.run([this] { return m_log.persist(); }).then([this](const std::string& error) {
        finishRound(error);
    }));
}

void ControlNode::finishRound(const std::string& storageError)
{
    m_log.complete(storageError);
    m_isRoundRunning = false;
    logStorageChange();
    tickMasters();
    if (m_log.hasWork())
        scheduleRound();
}

void ControlNode::tickMasters()
{
    onRoleChange();
    m_master.tick();
    if (m_machines)
        m_machines->tick();
}

void ControlNode::logStorageChange()
{
    bool isFailed = !m_log.failure().empty();
    if (isFailed == m_wasStorageFailed)
        return;
    m_wasStorageFailed = isFailed;
    Event(isFailed ? "storage-failed" : "storage-recovered")
        .with("term", term())
        .with("reason", m_log.failure())
        .writeAlways();
}

void ControlNode::logVoters()
{
    if (!m_log.failure().empty())
        return;
    for (auto& event : m_voterLog.observe(m_log.core(), m_clock.now()))
        event.writeAlways();
    for (auto& event : m_electionLog.observe(m_log.core(), m_clock.now()))
        event.writeAlways();
}

VoterSummary ControlNode::voterSummary() const
{
    auto summary = m_log.failure().empty() ? summarizeVoters(m_log.core()) : VoterSummary {};
    summary.electionRounds = m_electionLog.roundCount();
    summary.changes = m_voterLog.changeCount();
    return summary;
}

void ControlNode::onRoleChange()
{
    const auto& configuration = m_log.core().log().configuration();
    if (leader() != m_loggedLeader) {
        m_loggedLeader = leader();
        m_client.setLeader(leader() == m_options.address ? "" : leader());
        Event(leader().empty() ? "leader-lost" : "leader-found")
            .with("term", term())
            .with("leader", leader())
            .with("voters", configuration.voters.size())
            .with("voterNames", voterNames(configuration))
            .with("committed", m_log.core().commitIndex())
            .writeAlways();
    }
    if (m_log.isLeading(m_clock.now()) && m_startedTerm != term()) {
        m_startedTerm = term();
        Event("leading")
            .with("term", term())
            .with("voters", configuration.voters.size())
            .with("voterNames", voterNames(configuration))
            .with("openJobs", m_store.openJobs().size())
            .with("configuration", m_store.configuration().version)
            .writeAlways();
        m_master.startTerm();
        if (m_machines)
            m_machines->startTerm();
    }
}

void ControlNode::scheduleTick()
{
    auto due = m_clock.now() + tickInterval;
    m_tasks.add(m_timer.afterDelay(toKj(tickInterval)).then([this, due] {
        recordLag(due);
        m_log.tick(m_clock.now());
        logVoters();
        scheduleRound();
        scheduleTick();
    }));
}

void ControlNode::recordLag(Millis due)
{
    auto now = m_clock.now();
    auto replicationDelay = m_log.failure().empty() ? m_log.core().replicationDelay() : Millis {};
    m_lag.record(now - due, replicationDelay, now);
    m_master.noteLag(lag());
    if (isOverloaded() == m_wasOverloaded)
        return;
    m_wasOverloaded = isOverloaded();
    Event(m_wasOverloaded ? "overloaded" : "not-overloaded")
        .with("lagMs", m_lag.timerDelay(now))
        .with("replicationDelayMs", m_lag.replicationDelay(now))
        .with("term", term())
        .with("isLeading", isLeading())
        .writeAlways();
}

void ControlNode::introduceToAll()
{
    for (const auto& address : m_client.addresses()) {
        if (address == m_options.address)
            continue;
        auto promise = m_links.to(address).introduce(ownIntroduction(), introductionTimeout);
        m_tasks.add(promise
                        .then([this](CallResult<Introduction>&& call) {
                            if (call.hasResult)
                                onIntroduction(call.result);
                        })
                        .catch_([](kj::Exception&& exception) {
                            LOG4CXX_WARN(logger("control"),
                                "introduction failed: " << exception.getDescription().cStr());
                        }));
    }
}

void ControlNode::scheduleIntroductions()
{
    introduceToAll();
    auto interval = leader().empty() ? introductionIntervalWithoutLeader : introductionIntervalWithLeader;
    m_tasks.add(m_timer.afterDelay(interval).then([this] { scheduleIntroductions(); }));
}

void ControlNode::taskFailed(kj::Exception&& exception)
{
    // Each task schedules its successor, so after a failure this process would make no progress.
    LOG4CXX_ERROR(logger("control"), "task failed: " << exception.getDescription().cStr());
    m_failure.fulfiller->reject(kj::mv(exception));
}

} // namespace celeryline
