#include "celeryline/fleet/FleetOperations.h"
#include "celeryline/fleet/PoolMembership.h"
#include "celeryline/labels/JsonFields.h"

#include <set>

namespace celeryline::detail {

namespace {

/// Writes an object unless it is as it was.
template <typename T>
bool put(FleetDraft& draft, MapDraft<T>& objects, const std::string& kind, const std::string& name,
    const T& object, const FleetCommand& command)
{
    const auto* before = objects.find(name);
    draft.refuseIfChanged(kind, name, before != nullptr, command.baseRevision);
    if (before && *before == object) {
        return false;
    }
    objects.write().set(name, object);
    draft.touch(kind, name);
    return true;
}

void refuseTwice(std::set<std::string>& seen, const std::string& kind, const std::string& name)
{
    if (!seen.insert(kind + "/" + name).second) {
        throw Error(
            ErrorKind::InvalidInput, kind + " \"" + name + "\" is listed twice", "remove one of the two");
    }
}

void refuseMissingServices(const FleetDraft& draft)
{
    for (const auto& [name, pool] : draft.pools.read()) {
        if (!pool.service.empty() && !draft.services.find(pool.service)) {
            throw Error(ErrorKind::InvalidInput,
                "pool \"" + name + "\" names the service \"" + pool.service + "\", which does not exist",
                "apply the service in the same command or before, or change the pool's \"service\"");
        }
    }
}

/// Lets every instance follow the changed selectors.
void followSelectors(FleetDraft& draft)
{
    // Copied, because following writes the instances.
    std::vector<Instance> changed;
    for (const auto& [name, instance] : draft.instances.read()) {
        auto target = poolFor(draft.pools.read(), instance);
        const auto& heading = instance.nextPool.empty() ? instance.pool : instance.nextPool;
        if (target != heading || instance.phase == InstancePhase::Moving) {
            changed.push_back(instance);
        }
    }
    for (auto& instance : changed) {
        followLabels(draft, std::move(instance));
    }
}

void refuseOwningPool(const FleetDraft& draft, const std::string& pool)
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
void erase(
    FleetDraft& draft, MapDraft<T>& objects, const ObjectReference& reference, const FleetCommand& command)
{
    bool exists = objects.find(reference.name) != nullptr;
    draft.refuseIfChanged(reference.kind, reference.name, exists, command.baseRevision);
    if (!exists) {
        throw Error(ErrorKind::NotFound, reference.kind + " \"" + reference.name + "\" does not exist",
            "list them with: celeryline get " + reference.kind + "s");
    }
    objects.write().erase(reference.name);
    draft.touch(reference.kind, reference.name);
}

} // namespace

OperationResult applyObjects(FleetDraft& draft, const FleetCommand& command)
{
    std::set<std::string> seen;
    std::vector<std::string> changed;
    bool selectorsChanged = false;
    for (const auto& service : command.services) {
        refuseTwice(seen, "service", service.name);
        if (put(draft, draft.services, "service", service.name, service, command)) {
            changed.push_back("service/" + service.name);
        }
    }
    for (const auto& pool : command.pools) {
        refuseTwice(seen, "pool", pool.name);
        const auto* before = draft.pools.find(pool.name);
        selectorsChanged = selectorsChanged || !before || !(before->selector == pool.selector)
            || before->dataCentres != pool.dataCentres;
        if (put(draft, draft.pools, "pool", pool.name, pool, command)) {
            changed.push_back("pool/" + pool.name);
        }
    }
    for (const auto& quota : command.quotas) {
        refuseTwice(seen, "quota", quota.team);
        if (put(draft, draft.quotas, "quota", quota.team, quota, command)) {
            changed.push_back("quota/" + quota.team);
        }
    }
    refuseMissingServices(draft);
    if (selectorsChanged) {
        followSelectors(draft);
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
            refuseOwningPool(draft, reference.name);
            erase(draft, draft.pools, reference, command);
        } else if (reference.kind == "service") {
            erase(draft, draft.services, reference, command);
        } else {
            erase(draft, draft.quotas, reference, command);
        }
    }
    refuseMissingServices(draft);
    return {};
}

} // namespace celeryline::detail
