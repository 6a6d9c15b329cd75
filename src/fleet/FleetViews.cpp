#include "celeryline/fleet/FleetViews.h"

#include "celeryline/base/EditDistance.h"
#include "celeryline/base/Error.h"
#include "celeryline/fleet/FleetCodec.h"
#include "celeryline/fleet/PoolMembership.h"

#include <algorithm>
#include <functional>

namespace celeryline {

using Poco::JSON::Array;
using Poco::JSON::Object;

namespace {

const Announcement* findUpstream(const UpstreamSnapshot& upstreams, const std::string& name)
{
    const auto& all = upstreams.upstreams;
    auto it = std::lower_bound(all.begin(), all.end(), name,
        [](const Announcement& upstream, const std::string& wanted) { return upstream.name < wanted; });
    return it != all.end() && it->name == name ? &*it : nullptr;
}

void setRevision(Object& json, const FleetState& fleet, const std::string& kind, const std::string& name)
{
    auto it = fleet.objectRevisions->find(kind + "/" + name);
    json.set("revision", it == fleet.objectRevisions->end() ? 0 : it->second);
}

Object::Ptr instanceView(const FleetState& fleet, const UpstreamSnapshot& upstreams, const Instance& instance)
{
    auto json = toJson(instance);
    setRevision(*json, fleet, "instance", instance.name);
    if (const auto* upstream = findUpstream(upstreams, instance.name)) {
        Object::Ptr announced = new Object;
        announced->set("address", upstream->address);
        announced->set("slots", upstream->slots);
        announced->set("draining", upstream->draining);
        announced->set("capacity", toJson(upstream->capacity));
        announced->set("usage", toJson(upstream->usage));
        json->set("announced", announced);
    }
    return json;
}

/// A collection that can be listed; forEach passes the name and a function that builds the JSON of each
/// object.
struct Collection {
    std::string name;
    std::string kind;
    std::function<void(const FleetState&, const UpstreamSnapshot&,
        const std::function<void(const std::string&, const std::function<Object::Ptr()>&)>&)>
        forEach;
};

/// A collection backed by a map of the fleet state; jobs contain their revision, others get it from
/// objectRevisions.
template <typename T>
Collection mapCollection(const std::string& name, const std::string& kind, ObjectMap<T> FleetState::*map)
{
    return { name, kind, [kind, map](const FleetState& fleet, const UpstreamSnapshot&, const auto& visit) {
                for (const auto& [key, object] : *(fleet.*map)) {
                    visit(key, [&, &key = key, &object = object] {
                        auto json = toJson(object);
                        if (kind != "job") {
                            setRevision(*json, fleet, kind, key);
                        }
                        return json;
                    });
                }
            } };
}

Collection instanceCollection(const std::string& name, bool onlyWorkers)
{
    return { name, "instance",
        [onlyWorkers](const FleetState& fleet, const UpstreamSnapshot& upstreams, const auto& visit) {
            for (const auto& [key, instance] : *fleet.instances) {
                if (!onlyWorkers || instance.kind == UpstreamKind::Worker) {
                    visit(key, [&, &object = instance] { return instanceView(fleet, upstreams, object); });
                }
            }
        } };
}

const std::vector<Collection>& collections()
{
    static const std::vector<Collection> all { mapCollection("pools", "pool", &FleetState::pools),
        mapCollection("services", "service", &FleetState::services), instanceCollection("instances", false),
        instanceCollection("workers", true), mapCollection("jobs", "job", &FleetState::jobs),
        mapCollection("waves", "wave", &FleetState::waves),
        mapCollection("quotas", "quota", &FleetState::quotas),
        mapCollection("permits", "permit", &FleetState::permits) };
    return all;
}

const Collection& collectionNamed(const std::string& name)
{
    std::vector<std::string> names;
    for (const auto& collection : collections()) {
        if (collection.name == name) {
            return collection;
        }
        names.push_back(collection.name);
    }
    throw Error(ErrorKind::NotFound, "collection \"" + name + "\" does not exist",
        "did you mean \"" + closestMatch(name, names) + "\"?");
}

template <typename T> Object::Ptr objectOf(const ObjectMap<T>& map, const std::string& name)
{
    auto it = map->find(name);
    return it == map->end() ? Object::Ptr() : toJson(it->second);
}

Object::Ptr objectByKind(const FleetState& fleet, const std::string& kind, const std::string& name)
{
    if (kind == "service") {
        return objectOf(fleet.services, name);
    }
    if (kind == "pool") {
        return objectOf(fleet.pools, name);
    }
    if (kind == "instance") {
        return objectOf(fleet.instances, name);
    }
    if (kind == "wave") {
        return objectOf(fleet.waves, name);
    }
    return kind == "permit" ? objectOf(fleet.permits, name) : objectOf(fleet.quotas, name);
}

Object::Ptr changeOf(
    const std::string& kind, const std::string& name, std::uint64_t revision, const Object::Ptr& object)
{
    Object::Ptr change = new Object;
    change->set("kind", kind);
    change->set("name", name);
    change->set("revision", revision);
    if (!object.isNull()) {
        change->set("object", object);
    }
    return change;
}

Array::Ptr budgetsView(const FleetState& fleet)
{
    Array::Ptr list = new Array;
    for (const auto& [name, service] : *fleet.services) {
        auto budget = budgetOf(*fleet.pools, *fleet.instances, *fleet.permits, service);
        Object::Ptr json = new Object;
        json->set("name", name);
        json->set("instances", budget.total);
        json->set("down", budget.down);
        json->set("allowedDown", budget.allowedDown);
        list->add(json);
    }
    return list;
}

Array::Ptr openWavesView(const FleetState& fleet)
{
    Array::Ptr list = new Array;
    for (const auto& [name, wave] : *fleet.waves) {
        if (wave.state != WaveState::Done) {
            Object::Ptr json = new Object;
            json->set("name", name);
            json->set("state", std::string(nameOf(wave.state)));
            json->set("pending", wave.pending.size());
            json->set("completed", wave.completed.size());
            json->set("abandoned", wave.abandoned.size());
            list->add(json);
        }
    }
    return list;
}

Object::Ptr phasesView(const FleetState& fleet)
{
    std::map<std::string, int> counts;
    for (const auto& [name, instance] : *fleet.instances) {
        ++counts[nameOf(instance.phase)];
    }
    Object::Ptr json = new Object;
    for (const auto& [phase, count] : counts) {
        json->set(phase, count);
    }
    return json;
}

Array::Ptr replicasView(const StoreStatus& status)
{
    Array::Ptr list = new Array;
    for (const auto& replica : status.replicas) {
        Object::Ptr json = new Object;
        json->set("name", replica.name);
        json->set("matchIndex", replica.matchIndex);
        json->set("voter", replica.isVoter);
        json->set("reachable", replica.isReachable);
        list->add(json);
    }
    return list;
}

} // namespace

const char* nameOf(ConsensusRole role)
{
    switch (role) {
    case ConsensusRole::Learner:
        return "learner";
    case ConsensusRole::Follower:
        return "follower";
    case ConsensusRole::Candidate:
        return "candidate";
    case ConsensusRole::Leader:
        return "leader";
    }
    return "unknown";
}

Object::Ptr listView(
    const FleetState& fleet, const UpstreamSnapshot& upstreams, const std::string& collection)
{
    Array::Ptr items = new Array;
    collectionNamed(collection).forEach(fleet, upstreams, [&](const std::string&, const auto& json) {
        items->add(json());
    });
    Object::Ptr view = new Object;
    view->set("revision", fleet.revision);
    view->set("items", items);
    return view;
}

Object::Ptr objectView(const FleetState& fleet, const UpstreamSnapshot& upstreams,
    const std::string& collection, const std::string& name)
{
    Object::Ptr found;
    const auto& wanted = collectionNamed(collection);
    std::vector<std::string> names;
    wanted.forEach(fleet, upstreams, [&](const std::string& key, const auto& json) {
        if (key == name) {
            found = json();
        }
        names.push_back(key);
    });
    if (found.isNull()) {
        auto nearest = closestMatch(name, names);
        throw Error(ErrorKind::NotFound, wanted.kind + " \"" + name + "\" does not exist",
            nearest.empty() ? "list them with: celeryline get " + collection
                            : "did you mean \"" + nearest + "\"?");
    }
    return found;
}

Object::Ptr changesView(const FleetState& fleet, std::uint64_t since)
{
    std::vector<std::pair<std::uint64_t, Object::Ptr>> changes;
    for (const auto& [key, revision] : *fleet.objectRevisions) {
        if (revision > since) {
            auto slash = key.find('/');
            auto kind = key.substr(0, slash);
            auto name = key.substr(slash + 1);
            changes.emplace_back(revision, changeOf(kind, name, revision, objectByKind(fleet, kind, name)));
        }
    }
    for (const auto& [id, job] : *fleet.jobs) {
        if (job.revision > since) {
            changes.emplace_back(job.revision, changeOf("job", id, job.revision, toJson(job)));
        }
    }
    std::stable_sort(
        changes.begin(), changes.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    Array::Ptr list = new Array;
    for (const auto& change : changes) {
        list->add(change.second);
    }
    Object::Ptr view = new Object;
    view->set("revision", fleet.revision);
    view->set("changes", list);
    return view;
}

Object::Ptr inForceView(const std::vector<InForceEntry>& entries, std::uint64_t revision)
{
    Array::Ptr list = new Array;
    Array::Ptr notReached = new Array;
    for (const auto& entry : entries) {
        bool isInForce = entry.appliedRevision >= revision;
        Object::Ptr json = new Object;
        json->set("name", entry.name);
        json->set("dataCentre", entry.dataCentre);
        json->set("appliedRevision", entry.appliedRevision);
        json->set("reachable", entry.isReachable);
        json->set("inForce", isInForce);
        list->add(json);
        if (!isInForce) {
            notReached->add(entry.name);
        }
    }
    Object::Ptr view = new Object;
    view->set("revision", revision);
    view->set("inForce", notReached->size() == 0);
    view->set("entries", list);
    view->set("notReached", notReached);
    return view;
}

Object::Ptr statusView(const FleetState& fleet, const StoreStatus& status, const UpstreamSnapshot& upstreams)
{
    auto queued = std::count_if(fleet.jobs->begin(), fleet.jobs->end(),
        [](const auto& job) { return job.second.phase == JobPhase::Queued; });
    Object::Ptr view = new Object;
    view->set("role", std::string(nameOf(status.role)));
    view->set("leader", status.leader);
    view->set("hasQuorum", status.hasQuorum);
    view->set("term", status.term);
    view->set("lastIndex", status.lastIndex);
    view->set("commitIndex", status.commitIndex);
    view->set("appliedIndex", status.appliedIndex);
    view->set("revision", fleet.revision);
    view->set("voters", toJsonList(status.voters));
    view->set("replicas", replicasView(status));
    view->set("liveInstances", toJsonList(upstreams.liveInstances));
    view->set("liveUpstreams", upstreams.upstreams.size());
    view->set("instances", fleet.instances->size());
    view->set("phases", phasesView(fleet));
    view->set("pools", fleet.pools->size());
    view->set("services", budgetsView(fleet));
    view->set("waves", openWavesView(fleet));
    view->set("queuedJobs", queued);
    return view;
}

} // namespace celeryline
