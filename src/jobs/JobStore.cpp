#include "celeryline/jobs/JobStore.h"

#include <algorithm>

namespace celeryline {

bool isStepReady(const std::vector<StepSpec>& spec, const std::vector<StepState>& steps, std::size_t step)
{
    const auto& after = spec[step].after;
    return std::all_of(after.begin(), after.end(),
        [&](std::uint32_t earlier) { return steps[earlier].done == steps[earlier].tasks.size(); });
}
void JobStore::apply(const JobCommand& command, Millis time)
{
    std::visit([this, time](const auto& alternative) { applyCommand(alternative, time); }, command);
}

void JobStore::applyCommand(const AcceptConfiguration& command, Millis)
{
    if (command.configuration.version <= m_configuration.version
        && !addsCustomers(command.configuration, m_configuration))
        return;
    m_configuration = command.configuration;
    m_apiKeys = ApiKeyIndex(m_configuration.customers);
    m_customerUses.setCustomers(m_configuration.customers);
    for (const auto& id : m_openJobs) {
        auto& job = m_jobs.at(id);
        updateObjective(job);
        updateStartable(job);
    }
    rebuildPoolUses();
}

void JobStore::applyCommand(const SubmitJob& command, Millis time)
{
    if (m_jobs.count(command.job.id) != 0)
        return;
    if (m_cancelledIds.contains(command.job.id)) {
        addCancelled(command, time);
        return;
    }
    auto& job = m_jobs[command.job.id];
    job.spec = command.job;
    job.submittedAt = command.submittedAt;
    job.customer = m_customerUses.numberOf(job.spec.customer);
    updateObjective(job);
    updateRemaining(job);
    m_openJobs.insert(command.job.id);
    countUnstarted(job, true);
    if (job.spec.occurrences == 0)
        openOccurrence(job, 0);
}

void JobStore::addCancelled(const SubmitJob& command, Millis time)
{
    auto& job = m_jobs[command.job.id];
    job.spec = command.job;
    job.submittedAt = command.submittedAt;
    job.phase = JobPhase::Cancelled;
    job.endedAt = time;
    releaseIfIdle(job);
}

void JobStore::applyCommand(const CancelJob& command, Millis time)
{
    auto* job = mutableJob(command.job);
    if (job == nullptr) {
        m_cancelledIds.add(command.job, command.customer, cancelledIdsPart());
    } else if (job->phase == JobPhase::Open) {
        endJob(*job, JobPhase::Cancelled, time);
    }
}

std::size_t JobStore::cancelledIdsPart() const
{
    return CancelledJobIds::partSize(m_configuration.customers.size());
}

void JobStore::applyCommand(const OpenOccurrence& command, Millis)
{
    auto* job = mutableJob(command.job);
    // Occurrences are opened in order, so an occurrence is never opened twice.
    if (job != nullptr && job->phase == JobPhase::Open && command.occurrence == job->opened
        && command.occurrence < occurrenceCount(*job))
        openOccurrence(*job, command.occurrence);
}

void JobStore::applyCommand(const StartRun& command, Millis)
{
    auto* job = mutableJob(command.run.task.job);
    auto* task = mutableTask(command.run.task);
    if (job == nullptr || task == nullptr || job->phase != JobPhase::Open || task->isDone
        || command.run.run <= task->lastRun)
        return;
    task->lastRun = command.run.run;
    if (task->runs.empty())
        ++(*mutableSteps(command.run.task))[command.run.task.step].active;
    task->runs.push_back({ command.run.run, command.incarnation });
    allocate(command.incarnation, command.run);
    if (!job->hasStarted)
        countUnstarted(*job, false);
    job->hasStarted = true;
    updateStartable(*job);
}

void JobStore::applyCommand(const EndRun& command, Millis time)
{
    auto* job = mutableJob(command.run.task.job);
    auto* task = mutableTask(command.run.task);
    if (job == nullptr || task == nullptr)
        return;
    auto isEnded = [&](const TaskRun& run) { return run.number == command.run.run; };
    auto found = std::find_if(task->runs.begin(), task->runs.end(), isEnded);
    if (found == task->runs.end())
        return;
    deallocate(found->incarnation, command.run);
    m_recalledRuns.erase(command.run);
    task->runs.erase(found);
    if (task->runs.empty())
        --(*mutableSteps(command.run.task))[command.run.task.step].active;
    saveCheckpoint(command, *task);
    if (job->phase == JobPhase::Open) {
        if (command.outcome == RunOutcome::Done)
            completeTask(*job, command.run.task, *task);
        if (command.outcome == RunOutcome::Failed)
            recordFailure(*job, command, *task, time);
    }
    if (job->phase == JobPhase::Open)
        completeOccurrences(*job, time);
    releaseIfIdle(*job);
    updateStartable(*job);
}

void JobStore::saveCheckpoint(const EndRun& command, TaskState& task)
{
    if (command.checkpoint.empty())
        return;
    task.checkpoint = command.checkpoint;
    const auto* step = findStep(command.run.task);
    if (!step->isGang)
        return;
    // All tasks of a gang must resume from the same checkpoint.
    for (auto& member : (*mutableSteps(command.run.task))[command.run.task.step].tasks)
        member.checkpoint = command.checkpoint;
}

void JobStore::completeTask(JobState& job, const TaskName& name, TaskState& task)
{
    const auto& spec = job.spec.steps[name.step];
    if (spec.isLongRunning)
        return;
    auto& step = (*mutableSteps(name))[name.step];
    if (spec.isGang) {
        // The completion of one member completes the whole gang.
        for (auto& member : step.tasks)
            member.isDone = true;
        step.done = static_cast<std::uint32_t>(step.tasks.size());
    } else if (!task.isDone) {
        task.isDone = true;
        ++step.done;
    }
    if (step.done == step.tasks.size())
        updateRemaining(job);
}

void JobStore::completeOccurrences(JobState& job, Millis time)
{
    for (auto it = job.occurrences.begin(); it != job.occurrences.end();) {
        bool isComplete = true;
        bool isIdle = true;
        for (const auto& step : it->second) {
            isComplete = isComplete && step.done == step.tasks.size();
            isIdle = isIdle && step.active == 0;
        }
        // The last occurrence is kept, because endJob() needs it; others are kept while a redundant run is
        // active.
        if (isComplete && isIdle && occurrenceCount(job) > 1) {
            ++job.completed;
            it = job.occurrences.erase(it);
            updateRemaining(job);
            continue;
        }
        if (isComplete && occurrenceCount(job) == 1)
            job.completed = 1;
        ++it;
    }
    if (job.completed == occurrenceCount(job))
        endJob(job, JobPhase::Completed, time);
}

void JobStore::recordFailure(JobState& job, const EndRun& command, TaskState& task, Millis time)
{
    const auto& spec = job.spec.steps[command.run.task.step];
    if (spec.isLongRunning)
        return;
    ++task.failures;
    const auto* queue = findQueue(m_configuration, job.spec.queue);
    if (queue != nullptr && task.failures >= queue->attempts && !task.isDone)
        endJob(job, JobPhase::Failed, time);
}

void JobStore::applyCommand(const RemoveJob& command, Millis)
{
    auto* job = mutableJob(command.job);
    if (job == nullptr || job->phase == JobPhase::Open || !job->occurrences.empty())
        return;
    m_idleEndedJobs.erase({ job->endedAt, command.job });
    m_jobs.erase(command.job);
}

void JobStore::applyCommand(const StartWave& command, Millis)
{
    if (m_waves.count(command.wave) == 0)
        m_waves[command.wave].order = command;
}

void JobStore::applyCommand(const NoteUpkeep& command, Millis)
{
    auto found = m_waves.find(command.wave);
    if (found == m_waves.end())
        return;
    found->second.begun.insert(command.machine);
    if (command.isDone) {
        found->second.done.insert(command.machine);
    } else {
        m_machineOrders[command.machine] = command.order;
    }
}

void JobStore::applyCommand(const NoteMove& command, Millis)
{
    m_machineOrders[command.machine] = command.order;
}

void JobStore::applyCommand(const NoteSilence& command, Millis)
{
    auto found = m_allocations.find(command.incarnation);
    if (found != m_allocations.end())
        found->second.silentLeaseLeft = command.leaseLeft;
}

void JobStore::applyCommand(const NoteContact& command, Millis)
{
    auto found = m_allocations.find(command.incarnation);
    if (found != m_allocations.end())
        found->second.silentLeaseLeft.reset();
}

void JobStore::applyCommand(const NoteRecall& command, Millis)
{
    if (isActive(command.run))
        m_recalledRuns.insert(command.run);
}

void JobStore::applyCommand(const ForgetCancelledIds& command, Millis)
{
    m_cancelledIds.forget(command.upTo);
}

void JobStore::openOccurrence(JobState& job, std::uint32_t occurrence)
{
    std::vector<StepState> steps(job.spec.steps.size());
    for (std::size_t i = 0; i < steps.size(); ++i)
        steps[i].tasks.resize(job.spec.steps[i].count);
    job.occurrences[occurrence] = std::move(steps);
    job.opened = occurrence + 1;
    updateStartable(job);
}

void JobStore::endJob(JobState& job, JobPhase phase, Millis time)
{
    job.phase = phase;
    job.endedAt = time;
    m_openJobs.erase(job.spec.id);
    if (!job.hasStarted)
        countUnstarted(job, false);
    updateStartable(job);
    releaseIfIdle(job);
}

void JobStore::releaseIfIdle(JobState& job)
{
    if (job.phase == JobPhase::Open)
        return;
    for (const auto& [number, steps] : job.occurrences) {
        for (const auto& step : steps) {
            if (step.active != 0)
                return;
        }
    }
    job.occurrences.clear();
    job.spec.steps = {};
    job.spec.payload = {};
    m_idleEndedJobs.insert({ job.endedAt, job.spec.id });
}
JobState* JobStore::mutableJob(const JobId& id)
{
    auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

std::vector<StepState>* JobStore::mutableSteps(const TaskName& task)
{
    auto* job = mutableJob(task.job);
    if (job == nullptr)
        return nullptr;
    auto found = job->occurrences.find(task.occurrence);
    return found == job->occurrences.end() ? nullptr : &found->second;
}

TaskState* JobStore::mutableTask(const TaskName& task)
{
    auto* steps = mutableSteps(task);
    if (steps == nullptr || task.step >= steps->size() || task.index >= (*steps)[task.step].tasks.size())
        return nullptr;
    return &(*steps)[task.step].tasks[task.index];
}

const RunnerAllocation* JobStore::findAllocation(const RunnerIncarnation& incarnation) const
{
    auto found = m_allocations.find(incarnation);
    return found == m_allocations.end() ? nullptr : &found->second;
}

const JobState* JobStore::findJob(const JobId& id) const
{
    auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

const StepSpec* JobStore::findStep(const TaskName& task) const
{
    const auto* job = findJob(task.job);
    return job == nullptr || task.step >= job->spec.steps.size() ? nullptr : &job->spec.steps[task.step];
}

const TaskState* JobStore::findTask(const TaskName& task) const
{
    return const_cast<JobStore*>(this)->mutableTask(task);
}

bool JobStore::isActive(const RunName& run) const
{
    const auto* task = findTask(run.task);
    return task != nullptr && std::any_of(task->runs.begin(), task->runs.end(), [&](const TaskRun& known) {
        return known.number == run.run;
    });
}

CustomerUse JobStore::useOfCustomer(const std::string& name) const
{
    auto number = m_customerUses.findNumber(name);
    return number == noCustomer ? CustomerUse {} : m_customerUses.use(number);
}

std::size_t JobStore::unstartedJobs(const std::string& key) const
{
    auto found = m_unstartedCounts.find(key);
    return found == m_unstartedCounts.end() ? 0 : found->second;
}

} // namespace celeryline
