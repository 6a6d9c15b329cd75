#include "celeryline/fleet/FleetOperations.h"
#include "celeryline/fleet/PoolMembership.h"
#include "celeryline/labels/JsonFields.h"

#include <set>

namespace celeryline::detail {

namespace {

/// Stores an object unless it is equal to the stored one.
/// @return whether the object changed.
template <typename T>
bool storeIfChanged(FleetDraft& draft, CopyOnWriteMap<T>& objects, const std::string& kind,
    const std::string& name, const T& object, const FleetCommand& command)
{
    const auto* before = objects.find(name);
    draft.rejectIfChanged(kind, name, before != nullptr, command.baseRevision);
    if (before && *before == object) {
        return false;
    }
    objects.write().set(name, object);
    draft.recordChange(kind, name);
    return true;
}

void rejectDuplicate(std::set<std::string>& seen, const std::string& kind, const std::string& name)
{
    if (!seen.insert(kind + "/" + name).second) {
        throw Error(
            ErrorKind::InvalidInput, kind + " \"" + name + "\" is listed twice", "remove one of the two");
    }
}

void requireExistingServices(const FleetDraft& draft)
{
    for (const auto& [name, pool] : draft.pools.read()) {
        if (!pool.service.empty() && !draft.services.find(pool.service)) {
            throw Error(ErrorKind::InvalidInput,
                "pool \"" + name + "\" names the service \"" + pool.service + "\", which does not exist",
                "apply the service in the same command or before, or change the pool's \"service\"");
        }
    }
}

/// Reassigns all instances whose pool differs after a change of selectors.
void reassignPools(FleetDraft& draft)
{
    // Copied because reassignPool() modifies the map of instances.
    std::vector<Instance> changed;
    for (const auto& [name, instance] : draft.instances.read()) {
        auto target = poolFor(draft.pools.read(), instance);
        const auto& destination = instance.nextPool.empty() ? instance.pool : instance.nextPool;
        if (target != destination || instance.phase == InstancePhase::Moving) {
            changed.push_back(instance);
        }
    }
    for (auto& instance : changed) {
        reassignPool(draft, std::move(instance));
    }
}

void rejectNonEmptyPool(const FleetDraft& draft, const std::string& pool)
{
    std::size_t count = 0;
    std::string example;
    for (const auto& [name, instance] : draft.instances.read()) {
        if (instance.pool == pool || instance.nextPool == pool) {
            ++count;
            example = name;
        }
    }
    if (count != 0) {
        throw Error(ErrorKind::Conflict,
            "pool \"" + pool + "\" still owns " + std::to_string(count) + " instances, such as \"" + example
                + "\"",
            "move them to another pool first");
    }
}

template <typename T>
void erase(FleetDraft& draft, CopyOnWriteMap<T>& objects, const ObjectReference& reference,
    const FleetCommand& command)
{
    bool exists = objects.find(reference.name) != nullptr;
    draft.rejectIfChanged(reference.kind, reference.name, exists, command.baseRevision);
    if (!exists) {
        throw Error(ErrorKind::NotFound, reference.kind + " \"" + reference.name + "\" does not exist",
            "list them with: celeryline get " + reference.kind + "s");
    }
    objects.write().erase(reference.name);
    draft.recordChange(reference.kind, reference.name);
}

} // namespace

OperationResult applyObjects(FleetDraft& draft, const FleetCommand& command)
{
    std::set<std::string> seen;
    std::vector<std::string> changed;
    bool selectorsChanged = false;
    for (const auto& service : command.services) {
        rejectDuplicate(seen, "service", service.name);
        if (storeIfChanged(draft, draft.services, "service", service.name, service, command)) {
            changed.push_back("service/" + service.name);
        }
    }
    for (const auto& pool : command.pools) {
        rejectDuplicate(seen, "pool", pool.name);
        const auto* before = draft.pools.find(pool.name);
        selectorsChanged = selectorsChanged || !before || !(before->selector == pool.selector)
            || before->dataCentres != pool.dataCentres;
        if (storeIfChanged(draft, draft.pools, "pool", pool.name, pool, command)) {
            changed.push_back("pool/" + pool.name);
        }
    }
    for (const auto& quota : command.quotas) {
        rejectDuplicate(seen, "quota", quota.team);
        if (storeIfChanged(draft, draft.quotas, "quota", quota.team, quota, command)) {
            changed.push_back("quota/" + quota.team);
        }
    }
    requireExistingServices(draft);
    if (selectorsChanged) {
        reassignPools(draft);
    }
    OperationResult result = new Poco::JSON::Object;
    Poco::JSON::Array::Ptr list = new Poco::JSON::Array;
    for (const auto& key : changed) {
        list->add(key);
    }
    result->set("changed", list);
    return result;
}

OperationResult deleteObjects(FleetDraft& draft, const FleetCommand& command)
{
    for (const auto& reference : command.objects) {
        if (reference.kind == "pool") {
            rejectNonEmptyPool(draft, reference.name);
            erase(draft, draft.pools, reference, command);
        } else if (reference.kind == "service") {
            erase(draft, draft.services, reference, command);
        } else {
            erase(draft, draft.quotas, reference, command);
        }
    }
    requireExistingServices(draft);
    return {};
}

} // namespace celeryline::detail
