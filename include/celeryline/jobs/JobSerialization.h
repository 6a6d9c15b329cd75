/// @file
/// cereal serialization of the job state and its commands.
#pragma once

#include "celeryline/jobs/CancelledJobIds.h"
#include "celeryline/jobs/JobState.h"

#include <cereal/cereal.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

namespace celeryline {

template <typename Archive> void serialize(Archive& archive, Millis& value) { archive(value.count); }

template <typename Archive> void serialize(Archive& archive, Resources& value)
{
    archive(value.cpuMilli, value.memoryMb, value.accelerators);
}

template <typename Archive> void serialize(Archive& archive, TaskName& value)
{
    archive(value.job, value.occurrence, value.step, value.index);
}

template <typename Archive> void serialize(Archive& archive, RunName& value)
{
    archive(value.task, value.run);
}

template <typename Archive> void serialize(Archive& archive, RunnerIncarnation& value)
{
    archive(value.runner, value.startTime);
}

template <typename Archive> void serialize(Archive& archive, StepSpec& value)
{
    archive(value.count, value.demand, value.estimate, value.after, value.savesProgress, value.isGang);
    archive(value.sameRack, value.requiredLabel, value.dataRack, value.maxPerRunner, value.isSpeculative);
    archive(value.isLongRunning, value.image, value.targetLatency, value.isBestEffort, value.maxUnavailable);
}

template <typename Archive> void serialize(Archive& archive, JobSpec& value)
{
    archive(value.id, value.queue, value.payload, value.steps, value.occurrences, value.firstDue);
    archive(value.period);
}

template <typename Archive> void serialize(Archive& archive, AdviceTiming& value)
{
    archive(value.callDuration, value.durationPerRunner, value.validity);
}

namespace detail {

/// Flags of a queue in one byte. Earlier versions stored a boolean there, which is NeedsAdvice, and later
/// AdviceWithTiming.
enum StoredQueueFlags : std::uint8_t { NeedsAdvice = 1, AdviceWithTiming = 2, RequiresKey = 4 };

/// Fields that commands and snapshots of earlier versions lack. They follow the other bytes.
struct CustomerFields {
    std::vector<CustomerSettings> customers; ///< Of the configuration.
    std::vector<std::pair<JobId, std::string>> jobs; ///< Names of the customers of jobs that have one.
};

inline bool isEmpty(const CustomerFields& fields) { return fields.customers.empty() && fields.jobs.empty(); }

} // namespace detail

template <typename Archive> void save(Archive& archive, const QueueSettings& value)
{
    archive(value.key, value.name, value.service, value.priority, value.attempts, value.stretch);
    archive(value.objective, value.timeout);
    bool hasTiming = value.needsAdvice && value.adviceTiming != AdviceTiming {};
    std::uint8_t flags = 0;
    if (value.needsAdvice)
        flags = hasTiming ? detail::AdviceWithTiming : detail::NeedsAdvice;
    if (value.requiresKey)
        flags |= detail::RequiresKey;
    archive(flags);
    if (hasTiming)
        archive(value.adviceTiming);
}

template <typename Archive> void load(Archive& archive, QueueSettings& value)
{
    archive(value.key, value.name, value.service, value.priority, value.attempts, value.stretch);
    archive(value.objective, value.timeout);
    std::uint8_t flags = 0;
    archive(flags);
    value.requiresKey = (flags & detail::RequiresKey) != 0;
    value.needsAdvice = (flags & (detail::NeedsAdvice | detail::AdviceWithTiming)) != 0;
    if ((flags & detail::AdviceWithTiming) != 0)
        archive(value.adviceTiming);
}

template <typename Archive> void serialize(Archive& archive, CustomerSettings& value)
{
    archive(value.name, value.apiKeys, value.weight, value.priority, value.limit);
}

namespace detail {

template <typename Archive> void serialize(Archive& archive, CustomerFields& value)
{
    archive(value.customers, value.jobs);
}

} // namespace detail

template <typename Archive> void serialize(Archive& archive, PoolSettings& value)
{
    archive(value.service, value.rejectsOverload, value.isStandby);
}

template <typename Archive> void serialize(Archive& archive, QueueConfiguration& value)
{
    archive(value.version, value.queues, value.pools, value.document);
}

template <typename Archive> void serialize(Archive& archive, AcceptConfiguration& value)
{
    archive(value.configuration);
}

template <typename Archive> void serialize(Archive& archive, SubmitJob& value)
{
    archive(value.job, value.submittedAt);
}

template <typename Archive> void serialize(Archive& archive, CancelJob& value) { archive(value.job); }

template <typename Archive> void serialize(Archive& archive, OpenOccurrence& value)
{
    archive(value.job, value.occurrence);
}

template <typename Archive> void serialize(Archive& archive, StartRun& value)
{
    archive(value.run, value.incarnation);
}

template <typename Archive> void serialize(Archive& archive, EndRun& value)
{
    archive(value.run, value.outcome, value.checkpoint);
}

template <typename Archive> void serialize(Archive& archive, RemoveJob& value) { archive(value.job); }

template <typename Archive> void serialize(Archive& archive, StartWave& value)
{
    archive(value.wave, value.machines, value.deadline, value.maxAtOnce, value.startedAt);
}

template <typename Archive> void serialize(Archive& archive, MachineOrder& value)
{
    archive(value.holder, value.fence, value.at);
}

template <typename Archive> void serialize(Archive& archive, NoteUpkeep& value)
{
    archive(value.wave, value.machine, value.isDone, value.order);
}

template <typename Archive> void serialize(Archive& archive, NoteMove& value)
{
    archive(value.machine, value.pool, value.order);
}

template <typename Archive> void serialize(Archive& archive, NoteSilence& value)
{
    archive(value.incarnation, value.leaseLeft);
}

template <typename Archive> void serialize(Archive& archive, NoteContact& value)
{
    archive(value.incarnation);
}

template <typename Archive> void serialize(Archive& archive, NoteRecall& value) { archive(value.run); }

template <typename Archive> void serialize(Archive& archive, ForgetCancelledIds& value)
{
    archive(value.upTo);
}

template <typename Archive> void serialize(Archive& archive, TaskRun& value)
{
    archive(value.number, value.incarnation);
}

template <typename Archive> void serialize(Archive& archive, TaskState& value)
{
    archive(value.lastRun, value.failures, value.isDone, value.runs, value.checkpoint);
}

template <typename Archive> void serialize(Archive& archive, StepState& value)
{
    archive(value.tasks, value.done, value.active);
}

template <typename Archive> void serialize(Archive& archive, JobState& value)
{
    archive(value.spec, value.phase, value.hasStarted, value.submittedAt, value.endedAt);
    archive(value.occurrences, value.opened, value.completed);
}

template <typename Archive> void serialize(Archive& archive, WaveState& value)
{
    archive(value.order, value.begun, value.done);
}

template <typename Archive> void save(Archive& archive, const CancelledJobIds& value)
{
    archive(value.ids(), value.forgotten());
}

template <typename Archive> void load(Archive& archive, CancelledJobIds& value)
{
    std::vector<JobId> ids;
    std::uint64_t forgotten = 0;
    archive(ids, forgotten);
    value = CancelledJobIds::restore(ids, forgotten);
}

} // namespace celeryline
