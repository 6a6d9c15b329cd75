#include "celeryline/fleet/FleetCodec.h"
#include "celeryline/fleet/FleetOperations.h"
#include "celeryline/fleet/PoolMembership.h"

#include <algorithm>

namespace celeryline::detail {

namespace {

/// Availability budgets of the services affected by a command; each is counted only once.
class BudgetCounter {
public:
    explicit BudgetCounter(const FleetDraft& draft)
        : m_draft(draft)
    {
    }

    /// @return the budget of the service, to be reduced by the caller for each accepted permit.
    ServiceBudget& budgetFor(const Service& service)
    {
        auto it = m_budgets.find(service.name);
        if (it == m_budgets.end()) {
            auto budget
                = budgetOf(m_draft.pools.read(), m_draft.instances.read(), m_draft.permits.read(), service);
            it = m_budgets.emplace(service.name, budget).first;
        }
        return it->second;
    }

private:
    const FleetDraft& m_draft;
    std::map<std::string, ServiceBudget> m_budgets;
};

std::string describeChangeSince(
    const FleetDraft& draft, const std::string& kind, const std::string& name, std::uint64_t revision)
{
    auto changed = draft.revisionOf(kind, name);
    return changed <= revision ? ""
                               : kind + " \"" + name + "\" changed at revision " + std::to_string(changed)
            + ", after the decision at revision " + std::to_string(revision);
}

std::string waveRejectionReason(const FleetDraft& draft, const PermitRequest& request)
{
    const auto* wave = draft.waves.find(request.wave);
    if (!wave) {
        return "wave \"" + request.wave + "\" does not exist";
    }
    if (wave->state != WaveState::Running) {
        return "wave \"" + request.wave + "\" is " + nameOf(wave->state);
    }
    if (wave->pending.count(request.instance) == 0) {
        return "wave \"" + request.wave + "\" does not wait for it";
    }
    return "";
}

/// Checks a permit request and, if it is acceptable, counts the instance as down in the service's budget.
/// @return why the request is rejected; empty if it is acceptable.
std::string rejectionReason(const FleetDraft& draft, const PermitRequest& request, BudgetCounter& budgets)
{
    const auto* instance = draft.instances.find(request.instance);
    if (!instance) {
        return "it does not exist";
    }
    if (draft.permits.find(request.instance)) {
        return "it has a permit already";
    }
    auto reason = describeChangeSince(draft, "instance", request.instance, request.revision);
    if (!reason.empty()) {
        return reason;
    }
    auto needed = request.wave.empty() ? InstancePhase::Moving : InstancePhase::Serving;
    if (instance->phase != needed) {
        return std::string("its phase is ") + nameOf(instance->phase);
    }
    reason = request.wave.empty() ? "" : waveRejectionReason(draft, request);
    const auto* pool = draft.pools.find(instance->pool);
    if (!reason.empty() || !pool) {
        return reason;
    }
    reason = describeChangeSince(draft, "pool", pool->name, request.revision);
    if (reason.empty()) {
        reason = describeChangeSince(draft, "service", pool->service, request.revision);
    }
    const auto* service = pool->guarded ? draft.services.find(pool->service) : nullptr;
    if (!reason.empty() || !service) {
        return reason;
    }
    // Instances may have failed since the decision, so the budget is checked against the current state.
    auto& budget = budgets.budgetFor(*service);
    if (budget.remaining() < 1) {
        return "service \"" + service->name + "\" has " + std::to_string(budget.down) + " of "
            + std::to_string(budget.total) + " instances down and its budget allows "
            + std::to_string(budget.allowedDown);
    }
    ++budget.down;
    return "";
}

void grant(FleetDraft& draft, const PermitRequest& request)
{
    Instance instance = draft.instance(request.instance);
    if (instance.phase == InstancePhase::Serving) {
        draft.setPhase(instance, InstancePhase::Draining);
    }
    draft.update(instance);
    draft.permits.write().set(request.instance,
        Permit { request.instance, request.wave, instance.dataCentre, draft.nextRevision(),
            draft.now + request.lease });
    draft.recordChange("permit", request.instance);
}

void pruneFinishedWaves(FleetDraft& draft)
{
    std::vector<std::pair<std::int64_t, std::string>> finished;
    for (const auto& [name, wave] : draft.waves.read()) {
        if (wave.state == WaveState::Done) {
            finished.emplace_back(wave.ended.count, name);
        }
    }
    if (finished.size() <= maxFinishedWaves) {
        return;
    }
    std::sort(finished.begin(), finished.end());
    finished.resize(finished.size() - maxFinishedWaves);
    for (const auto& [ended, name] : finished) {
        draft.waves.write().erase(name);
    }
}

} // namespace

OperationResult startWave(FleetDraft& draft, const FleetCommand& command)
{
    if (draft.waves.find(command.name)) {
        throw Error(
            ErrorKind::Conflict, "wave \"" + command.name + "\" exists already", "choose another name");
    }
    Wave wave;
    wave.name = command.name;
    wave.selector = command.selector;
    wave.started = draft.now;
    for (const auto& [name, instance] : draft.instances.read()) {
        if (matches(command.selector, instance.labels)) {
            wave.pending.insert(name);
        }
    }
    if (wave.pending.empty()) {
        throw Error(ErrorKind::InvalidInput,
            "the selector \"" + toText(command.selector) + "\" matches no instance",
            "compare it with the labels shown by: celeryline get instances");
    }
    OperationResult result = new Poco::JSON::Object;
    result->set("instances", wave.pending.size());
    draft.update(wave);
    return result;
}

OperationResult setWaveState(FleetDraft& draft, const FleetCommand& command)
{
    const auto& wave = draft.wave(command.name);
    draft.rejectIfChanged("wave", command.name, true, command.baseRevision);
    if (wave.state == WaveState::Done) {
        throw Error(ErrorKind::Conflict, "wave \"" + command.name + "\" is done", "start a new one");
    }
    auto state = command.operation == FleetOperation::PauseWave ? WaveState::Paused : WaveState::Running;
    if (wave.state != state) {
        Wave changed = wave;
        changed.state = state;
        draft.update(changed);
    }
    return {};
}

OperationResult endWave(FleetDraft& draft, const FleetCommand& command)
{
    const auto& wave = draft.wave(command.name);
    if (wave.state == WaveState::Done) {
        return {};
    }
    if (!wave.pending.empty()) {
        throw Error(ErrorKind::Conflict,
            "wave \"" + command.name + "\" still waits for " + std::to_string(wave.pending.size())
                + " instances",
            "wait for them or abandon them");
    }
    Wave changed = wave;
    changed.state = WaveState::Done;
    changed.ended = draft.now;
    draft.update(changed);
    pruneFinishedWaves(draft);
    return {};
}

OperationResult grantPermits(FleetDraft& draft, const FleetCommand& command)
{
    Poco::JSON::Array::Ptr granted = new Poco::JSON::Array;
    Poco::JSON::Array::Ptr refused = new Poco::JSON::Array;
    // All requests are checked before the first is granted: a grant changes only the revision of its
    // instance, and the budgets are counted once.
    BudgetCounter budgets(draft);
    std::vector<PermitRequest> accepted;
    std::set<std::string> seen;
    std::string firstReason;
    for (const auto& request : command.permits) {
        auto reason = seen.insert(request.instance).second ? rejectionReason(draft, request, budgets)
                                                           : "it is listed twice";
        if (reason.empty()) {
            accepted.push_back(request);
            granted->add(request.instance);
            continue;
        }
        Poco::JSON::Object::Ptr item = new Poco::JSON::Object;
        item->set("instance", request.instance);
        item->set("reason", reason);
        refused->add(item);
        if (firstReason.empty()) {
            firstReason = "instance \"" + request.instance + "\" gets no permit: " + reason;
        }
    }
    if (accepted.empty()) {
        throw Error(ErrorKind::Conflict, firstReason, "decide again on the newest revision");
    }
    for (const auto& request : accepted) {
        grant(draft, request);
    }
    OperationResult result = new Poco::JSON::Object;
    result->set("granted", granted);
    result->set("refused", refused);
    return result;
}

OperationResult abandonInstance(FleetDraft& draft, const FleetCommand& command)
{
    Instance instance = draft.instance(command.name);
    const auto* permit = draft.permits.find(command.name);
    bool hasWavePermit = permit && permit->wave == command.wave;
    if (const auto* wave = draft.waves.find(command.wave); wave && wave->pending.count(command.name) != 0) {
        Wave changed = *wave;
        changed.pending.erase(command.name);
        changed.abandoned.insert(command.name);
        draft.update(changed);
    }
    if (hasWavePermit && instance.phase == InstancePhase::Rebooting) {
        endPermit(draft, command.name);
        draft.setPhase(instance, InstancePhase::Failed);
        instance.pool = poolFor(draft.pools.read(), instance);
        instance.nextPool.clear();
        draft.update(instance);
    } else if (hasWavePermit && instance.phase == InstancePhase::Draining) {
        return undrainInstance(draft, command);
    }
    return {};
}

} // namespace celeryline::detail
