#include "celeryline/fleet/FleetOperations.h"
#include "celeryline/fleet/PoolMembership.h"

#include <algorithm>

namespace celeryline::detail {

namespace {

/// Marks a pending instance as completed in the wave of its permit.
void completeInWave(FleetDraft& draft, const std::string& name)
{
    const auto* permit = draft.permits.find(name);
    const auto* found = permit ? draft.waves.find(permit->wave) : nullptr;
    if (!found || found->pending.count(name) == 0) {
        return;
    }
    Wave wave = *found;
    wave.pending.erase(name);
    wave.completed.insert(name);
    draft.update(wave);
}

/// Resumes an instance after its drain was cancelled: to Serving, or to Moving if it must still change pools.
void resumeService(FleetDraft& draft, Instance instance)
{
    endPermit(draft, instance.name);
    auto target = poolFor(draft.pools.read(), instance);
    bool isMoving = !instance.pool.empty() && target != instance.pool;
    draft.setPhase(instance, isMoving ? InstancePhase::Moving : InstancePhase::Serving);
    instance.pool = isMoving ? instance.pool : target;
    instance.nextPool = isMoving ? target : "";
    draft.update(instance);
}

void requireBudget(const FleetDraft& draft, const Instance& instance)
{
    const auto* pool = draft.pools.find(instance.pool);
    const auto* service = pool && pool->guarded ? draft.services.find(pool->service) : nullptr;
    if (!service || isDown(instance, draft.permits.find(instance.name) != nullptr)) {
        return;
    }
    auto budget = budgetOf(draft.pools.read(), draft.instances.read(), draft.permits.read(), *service);
    if (budget.remaining() < 1) {
        throw Error(ErrorKind::Conflict,
            "service \"" + service->name + "\" has " + std::to_string(budget.down) + " of "
                + std::to_string(budget.total) + " instances down and its budget allows "
                + std::to_string(budget.allowedDown),
            "wait until one is back, or repeat with \"force\": true");
    }
}

/// @return the labels, changed where necessary to match the selector.
LabelSet labelsMatching(const Selector& selector, LabelSet labels)
{
    for (const auto& requirement : selector.requirements) {
        const auto& values = requirement.values;
        auto label = labels.find(requirement.label);
        bool isListed
            = label != labels.end() && std::find(values.begin(), values.end(), label->second) != values.end();
        switch (requirement.op) {
        case SelectorOperator::In:
            if (!isListed && !values.empty()) {
                labels[requirement.label] = values.front();
            }
            break;
        case SelectorOperator::Exists:
            if (label == labels.end()) {
                labels[requirement.label] = "true";
            }
            break;
        case SelectorOperator::NotIn:
            if (isListed) {
                labels.erase(requirement.label);
            }
            break;
        case SelectorOperator::NotExists:
            labels.erase(requirement.label);
            break;
        }
    }
    return labels;
}

} // namespace

void endPermit(FleetDraft& draft, const std::string& name)
{
    if (draft.permits.find(name)) {
        draft.permits.write().erase(name);
        draft.recordChange("permit", name);
    }
}

void putIntoService(FleetDraft& draft, Instance instance)
{
    endPermit(draft, instance.name);
    draft.setPhase(instance, InstancePhase::Serving);
    instance.pool = poolFor(draft.pools.read(), instance);
    instance.nextPool.clear();
    draft.update(instance);
}

void reassignPool(FleetDraft& draft, Instance instance)
{
    auto target = poolFor(draft.pools.read(), instance);
    switch (instance.phase) {
    case InstancePhase::Failed:
        instance.pool = target;
        break;
    case InstancePhase::Draining:
    case InstancePhase::Rebooting:
        instance.nextPool = target == instance.pool ? "" : target;
        break;
    case InstancePhase::Serving:
    case InstancePhase::Moving:
        if (target == instance.pool || instance.pool.empty()) {
            putIntoService(draft, std::move(instance));
            return;
        }
        if (instance.phase == InstancePhase::Serving) {
            draft.setPhase(instance, InstancePhase::Moving);
        }
        instance.nextPool = target;
        break;
    }
    draft.update(instance);
}

OperationResult registerInstance(FleetDraft& draft, const FleetCommand& command)
{
    const auto* known = draft.instances.find(command.name);
    if (!known) {
        Instance instance = command.instance;
        instance.phaseSince = draft.now;
        instance.phase = InstancePhase::Serving;
        instance.drained = false;
        putIntoService(draft, std::move(instance));
        return {};
    }
    Instance instance = *known;
    instance.kind = command.instance.kind;
    instance.dataCentre = command.instance.dataCentre;
    instance.rack = command.instance.rack;
    instance.capacity = command.instance.capacity;
    // Labels are not updated: after the first registration only operators change them.
    if (!(instance == *known)) {
        reassignPool(draft, std::move(instance));
    }
    return instanceReturned(draft, command);
}

OperationResult instanceLost(FleetDraft& draft, const FleetCommand& command)
{
    Instance instance = draft.instance(command.name);
    // A stale report about an earlier boot epoch must not fail an instance that has already returned.
    if (instance.bootEpoch != command.bootEpoch) {
        return {};
    }
    const auto* permit = draft.permits.find(command.name);
    bool isDrainedByOperator = instance.phase == InstancePhase::Draining && (!permit || permit->wave.empty());
    if (instance.phase == InstancePhase::Rebooting || instance.phase == InstancePhase::Failed
        || isDrainedByOperator) {
        return {};
    }
    endPermit(draft, command.name);
    draft.setPhase(instance, InstancePhase::Failed);
    instance.pool = poolFor(draft.pools.read(), instance);
    instance.nextPool.clear();
    draft.update(instance);
    return {};
}

OperationResult instanceReturned(FleetDraft& draft, const FleetCommand& command)
{
    Instance instance = draft.instance(command.name);
    bool hasRestarted = instance.bootEpoch != command.bootEpoch;
    instance.bootEpoch = command.bootEpoch;
    if (instance.phase == InstancePhase::Failed) {
        putIntoService(draft, std::move(instance));
    } else if (instance.phase == InstancePhase::Rebooting && hasRestarted) {
        completeInWave(draft, instance.name);
        putIntoService(draft, std::move(instance));
    } else if (hasRestarted) {
        instance.drained = false;
        draft.update(instance);
    }
    return {};
}

OperationResult instanceDrained(FleetDraft& draft, const FleetCommand& command)
{
    Instance instance = draft.instance(command.name);
    bool leaves = instance.phase == InstancePhase::Draining || instance.phase == InstancePhase::Moving;
    if (leaves && instance.bootEpoch == command.bootEpoch) {
        instance.drained = true;
        draft.update(instance);
    }
    return {};
}

OperationResult instanceRebooting(FleetDraft& draft, const FleetCommand& command)
{
    Instance instance = draft.instance(command.name);
    if (instance.phase == InstancePhase::Rebooting) {
        return {};
    }
    const auto* permit = draft.permits.find(command.name);
    if (instance.phase != InstancePhase::Draining || !instance.drained || !permit || permit->wave.empty()) {
        throw Error(ErrorKind::Conflict, "instance \"" + command.name + "\" is not drained for a wave",
            "grant it a permit and wait until it is drained");
    }
    draft.setPhase(instance, InstancePhase::Rebooting);
    draft.update(instance);
    return {};
}

OperationResult removeInstance(FleetDraft& draft, const FleetCommand& command)
{
    const auto& instance = draft.instance(command.name);
    draft.rejectIfChanged("instance", command.name, true, command.baseRevision);
    bool isIdle = instance.phase == InstancePhase::Failed || instance.drained || instance.pool.empty();
    if (!isIdle) {
        throw Error(ErrorKind::Conflict,
            "instance \"" + command.name + "\" still belongs to the capacity of pool \"" + instance.pool
                + "\"",
            "drain it first with: celeryline drain " + command.name);
    }
    endPermit(draft, command.name);
    std::vector<std::string> affected;
    for (const auto& [name, wave] : draft.waves.read()) {
        if (wave.pending.count(command.name) != 0) {
            affected.push_back(name);
        }
    }
    for (const auto& name : affected) {
        Wave wave = draft.wave(name);
        wave.pending.erase(command.name);
        draft.update(wave);
    }
    draft.instances.write().erase(command.name);
    draft.recordChange("instance", command.name);
    return {};
}

OperationResult labelInstance(FleetDraft& draft, const FleetCommand& command)
{
    Instance instance = draft.instance(command.name);
    draft.rejectIfChanged("instance", command.name, true, command.baseRevision);
    for (const auto& label : command.removedLabels) {
        instance.labels.erase(label);
    }
    for (const auto& [label, value] : command.labels) {
        instance.labels[label] = value;
    }
    if (instance.labels != draft.instance(command.name).labels) {
        reassignPool(draft, std::move(instance));
    }
    return {};
}

OperationResult moveInstance(FleetDraft& draft, const FleetCommand& command)
{
    Instance instance = draft.instance(command.name);
    draft.rejectIfChanged("instance", command.name, true, command.baseRevision);
    const auto* pool = draft.pools.find(command.pool);
    if (!pool) {
        throw Error(ErrorKind::NotFound, "pool \"" + command.pool + "\" does not exist",
            "list pools with: celeryline get pools");
    }
    instance.labels = labelsMatching(pool->selector, instance.labels);
    if (poolFor(draft.pools.read(), instance) != command.pool) {
        throw Error(ErrorKind::InvalidInput,
            "no labels put instance \"" + command.name + "\" of data centre \"" + instance.dataCentre
                + "\" into pool \"" + command.pool + "\" by its selector alone",
            "set its labels with: celeryline label " + command.name + " LABEL=VALUE");
    }
    reassignPool(draft, std::move(instance));
    return {};
}

OperationResult finishMove(FleetDraft& draft, const FleetCommand& command)
{
    const auto& instance = draft.instance(command.name);
    if (instance.phase != InstancePhase::Moving) {
        return {};
    }
    if (!instance.drained) {
        throw Error(ErrorKind::Conflict, "instance \"" + command.name + "\" is not drained yet",
            "wait until it announces that it has no work in progress");
    }
    putIntoService(draft, instance);
    return {};
}

OperationResult drainInstance(FleetDraft& draft, const FleetCommand& command)
{
    Instance instance = draft.instance(command.name);
    draft.rejectIfChanged("instance", command.name, true, command.baseRevision);
    const auto* permit = draft.permits.find(command.name);
    if (instance.phase == InstancePhase::Draining && permit && permit->wave.empty()) {
        return {};
    }
    if (instance.phase == InstancePhase::Rebooting) {
        throw Error(ErrorKind::Conflict, "instance \"" + command.name + "\" was told to reboot",
            "drain it when it is back");
    }
    if (!command.force) {
        requireBudget(draft, instance);
    }
    draft.setPhase(instance, InstancePhase::Draining);
    draft.update(instance);
    // The permit has no wave and no expiry: an operator's drain lasts until the operator cancels it.
    draft.permits.write().set(
        command.name, Permit { command.name, "", instance.dataCentre, draft.nextRevision(), Millis {} });
    draft.recordChange("permit", command.name);
    return {};
}

OperationResult undrainInstance(FleetDraft& draft, const FleetCommand& command)
{
    const auto& instance = draft.instance(command.name);
    draft.rejectIfChanged("instance", command.name, true, command.baseRevision);
    if (instance.phase == InstancePhase::Rebooting) {
        throw Error(ErrorKind::Conflict, "instance \"" + command.name + "\" was told to reboot",
            "it serves again by itself when it is back");
    }
    if (instance.phase == InstancePhase::Draining) {
        resumeService(draft, instance);
    }
    return {};
}

} // namespace celeryline::detail
