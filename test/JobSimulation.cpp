#include "JobSimulationParts.h"

#include "celeryline/consensus/LogFormation.h"

#include <sstream>
#include <stdexcept>

namespace celeryline::test {
namespace {

constexpr std::int64_t stepMs = 5;

} // namespace

void JobSimulation::fail(const std::string& what) { throw std::runtime_error(what); }

std::string JobSimulation::textOf(const TaskName& task)
{
    return task.job.text() + "." + std::to_string(task.step) + "." + std::to_string(task.index);
}

JobSimulation::JobSimulation(std::uint64_t seed, int replicas, int runners)
    : m_random(seed)
{
    for (int i = 0; i < replicas; ++i)
        m_replicas.push_back(std::make_unique<Replica>(*this, i));
    VoterConfiguration founders;
    for (auto& replica : m_replicas) {
        replica->start();
        if (founders.voters.size() < 3)
            founders.voters.push_back(replica->log().self());
    }
    auto entry = makeFirstEntry(founders);
    for (auto& replica : m_replicas)
        replica->log().form(entry);
    for (int i = 0; i < runners; ++i) {
        m_runners.push_back(std::make_unique<Runner>());
        m_runners.back()->id = "r" + std::to_string(i);
    }
}

JobSimulation::~JobSimulation() = default;

void JobSimulation::after(std::int64_t delay, std::function<void()> action)
{
    m_events.emplace(m_now + delay, std::move(action));
}

void JobSimulation::run(std::int64_t milliseconds)
{
    for (auto end = m_now + milliseconds; m_now < end; m_now += stepMs) {
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            auto action = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            action();
        }
        for (auto& replica : m_replicas)
            replica->step();
        for (auto& runner : m_runners)
            stepRunner(*runner);
        check();
    }
}

void JobSimulation::sendRaft(int from, const RaftMessage& message)
{
    auto found = std::find_if(m_replicas.begin(), m_replicas.end(),
        [&](const auto& replica) { return replica->name() == message.to.name; });
    bool isPartitioned = m_replicas[from]->partitionedUntil > m_now || (*found)->partitionedUntil > m_now;
    if (isLost() || isPartitioned)
        return;
    after(networkDelay(), [this, target = found->get(), message] {
        if (target->isUp()) {
            target->inbox.push_back([this, target, message] {
                if (target->isUp())
                    target->log().receive({ m_now }, message);
            });
        }
    });
}

void JobSimulation::submit(const JobSpec& job)
{
    if (!job.customer.empty())
        m_specs[job.id] = job;
    auto submission = std::make_shared<Submission>();
    submission->command = SubmitJob { job, { m_now } };
    submission->job = job.id.text();
    trySubmission(submission);
}

void JobSimulation::submitAfterCancellation(const JobSpec& job, std::int64_t delay)
{
    auto cancellation = std::make_shared<Submission>();
    cancellation->command = CancelJob { job.id };
    cancellation->onDone = [this, job, delay] {
        m_cancelled.insert(job.id);
        after(delay, [this, job] { submit(job); });
    };
    trySubmission(cancellation);
}

void JobSimulation::configure(const QueueConfiguration& configuration)
{
    for (const auto& customer : configuration.customers) {
        auto& highest = m_highestLimits[customer.name];
        highest = std::max(highest, customer.limit.cpuMilli);
    }
    auto submission = std::make_shared<Submission>();
    submission->command = AcceptConfiguration { configuration };
    trySubmission(submission);
}

void JobSimulation::trySubmission(const std::shared_ptr<Submission>& submission)
{
    if (submission->isDone)
        return;
    auto* target = m_replicas[below(m_replicas.size())].get();
    if (target->isUp()) {
        target->inbox.push_back([this, target, submission] {
            if (!target->isUp())
                return;
            target->master().request(submission->command, [this, submission](RequestOutcome outcome) {
                if (outcome != RequestOutcome::Done)
                    return;
                if (!submission->isDone && submission->onDone)
                    submission->onDone();
                submission->isDone = true;
                if (!submission->job.empty())
                    m_accepted.insert(submission->job);
                if (const auto* accepted = std::get_if<AcceptConfiguration>(&submission->command))
                    m_acceptedVersion = std::max(m_acceptedVersion, accepted->configuration.version);
            });
        });
    }
    after(200, [this, submission] { trySubmission(submission); });
}

void JobSimulation::kill(int replica, std::int64_t downFor)
{
    auto& target = *m_replicas[replica];
    if (!target.isUp())
        return;
    target.stop();
    target.files()->powerLoss();
    target.inbox.clear();
    target.downUntil = m_now + downFor;
}

void JobSimulation::loseDisk(int replica, std::int64_t downFor)
{
    kill(replica, downFor);
    m_replicas[replica]->files() = std::make_unique<MemoryFileSystem>(m_random());
}

void JobSimulation::fillDisk(int replica, std::int64_t forMs, std::uint64_t freeBytes)
{
    m_replicas[replica]->files()->setFreeBytes(freeBytes);
    m_replicas[replica]->diskFullUntil = m_now + forMs;
}

void JobSimulation::freeze(int replica, std::int64_t forMs)
{
    m_replicas[replica]->frozenUntil = m_now + forMs;
}

void JobSimulation::partition(int replica, std::int64_t forMs)
{
    m_replicas[replica]->partitionedUntil = m_now + forMs;
}

void JobSimulation::partitionRunner(int runner, std::int64_t forMs)
{
    m_runners[runner]->partitionedUntil = m_now + forMs;
}

void JobSimulation::restartRunner(int runner)
{
    auto& old = *m_runners[runner];
    Runner restarted;
    restarted.id = old.id;
    restarted.born = m_now;
    restarted.reportNumber = old.reportNumber; // Answers to reports of the old incarnation are ignored.
    restarted.nextReport = m_now;
    old = restarted;
}

int JobSimulation::leader() const
{
    for (const auto& replica : m_replicas) {
        if (replica->isLeading())
            return replica->index();
    }
    return -1;
}

std::set<std::string> JobSimulation::voters() const
{
    std::set<std::string> names;
    if (leader() < 0)
        return names;
    for (const auto& voter : m_replicas[leader()]->log().core().log().configuration().voters)
        names.insert(voter.name);
    return names;
}

bool JobSimulation::isComplete() const
{
    auto leading = leader();
    if (leading < 0)
        return false;
    const auto& store = m_replicas[leading]->store();
    return std::all_of(m_accepted.begin(), m_accepted.end(), [&](const std::string& id) {
        const auto* job = store.findJob(id);
        return job != nullptr && job->phase != JobPhase::Open;
    });
}

bool JobSimulation::isConverged() const
{
    std::uint64_t commit = 0;
    for (const auto& replica : m_replicas) {
        if (!replica->isUp() || replica->log().leader().empty())
            return false;
        auto index = replica->log().core().commitIndex();
        if (commit != 0 && index != commit)
            return false;
        commit = index;
    }
    return true;
}

std::string JobSimulation::describe() const
{
    std::ostringstream text;
    for (const auto& replica : m_replicas) {
        text << replica->name() << ": ";
        if (!replica->isUp()) {
            text << "down\n";
            continue;
        }
        const auto& core = replica->log().core();
        text << "term " << core.term() << ", commit " << core.commitIndex() << ", last "
             << core.log().lastIndex() << ", leader " << core.leader() << ", leads " << replica->isLeading()
             << ", voters";
        for (const auto& voter : core.log().configuration().voters)
            text << " " << voter.name << "/" << voter.storageId.substr(0, 4);
        text << ", own " << replica->log().self().storageId.substr(0, 4) << "\n";
    }
    if (leader() < 0)
        return text.str();
    const auto& store = m_replicas[leader()]->store();
    for (const auto& id : store.openJobs())
        text << "open: " << id << "\n";
    for (const auto& [life, held] : store.allocations()) {
        for (const auto& run : held.runs) {
            text << "run: " << textOf(run.task) << " on " << life.runner << " born " << life.startTime.count
                 << "\n";
        }
    }
    return text.str();
}

void JobSimulation::check() const
{
    checkRuns();
    checkJobs();
    checkLimits();
}

void JobSimulation::checkRuns() const
{
    std::set<TaskName> runningTasks;
    for (const auto& runner : m_runners) {
        for (const auto& work : runner->work) {
            if (!runningTasks.insert(work.run.task).second)
                fail(textOf(work.run.task) + " has two concurrent runs at " + std::to_string(m_now));
        }
    }
}

void JobSimulation::checkJobs() const
{
    int leaders = 0;
    for (const auto& replica : m_replicas) {
        if (!replica->isLeading())
            continue;
        ++leaders;
        checkConfiguration(replica->store());
        checkUses(replica->store());
        for (const auto& id : m_accepted) {
            if (replica->store().findJob(id) == nullptr)
                fail("job " + id + " was accepted and is unknown to the leader at " + std::to_string(m_now));
        }
    }
    if (leaders > 1)
        fail("two replicas lead at " + std::to_string(m_now));
}

void JobSimulation::checkLimits() const
{
    std::map<std::string, std::int64_t> running;
    for (const auto& runner : m_runners) {
        for (const auto& work : runner->work) {
            auto spec = m_specs.find(work.run.task.job);
            if (spec != m_specs.end())
                running[spec->second.customer] += spec->second.steps[work.run.task.step].demand.cpuMilli;
        }
    }
    for (const auto& [customer, limit] : m_highestLimits) {
        if (running[customer] > limit) {
            fail("customer " + customer + " runs " + std::to_string(running[customer]) + " of "
                + std::to_string(limit) + " at " + std::to_string(m_now));
        }
    }
}

void JobSimulation::checkUses(const JobStore& store) const
{
    std::map<std::string, Resources> running;
    for (const auto& [incarnation, allocation] : store.allocations()) {
        for (const auto& run : allocation.runs)
            running[store.findJob(run.task.job)->spec.customer] += store.findStep(run.task)->demand;
    }
    for (const auto& [customer, limit] : m_highestLimits) {
        if (!(store.useOfCustomer(customer).running == running[customer]))
            fail("the sum of customer " + customer + " is wrong at " + std::to_string(m_now));
    }
}

void JobSimulation::checkConfiguration(const JobStore& store) const
{
    const auto& held = store.configuration();
    if (held.version < m_acceptedVersion) {
        fail("a leader has configuration " + std::to_string(held.version) + " after "
            + std::to_string(m_acceptedVersion) + " was accepted, at " + std::to_string(m_now));
    }
    if (held.version != 0 && held.document != "document " + std::to_string(held.version))
        fail("configuration " + std::to_string(held.version) + " differs from the document that was sent");
}

} // namespace celeryline::test
