#include "celeryline/calls/RouteTable.h"

#include <algorithm>
#include <sstream>

namespace celeryline {

namespace {

const Instance* instanceOf(const FleetState& fleet, const std::string& name)
{
    const auto i = fleet.instances->find(name);
    return i == fleet.instances->end() ? nullptr : &i->second;
}

/// Merges the labels. Those in the fleet state are set by operators and override announced ones.
LabelSet labelsOf(const Instance* instance, const LabelSet& announced)
{
    LabelSet labels = instance ? instance->labels : LabelSet();
    labels.insert(announced.begin(), announced.end());
    return labels;
}

} // namespace

bool canServe(const LabelSet& labels, const std::string& service)
{
    const auto i = labels.find("serves");
    if (i == labels.end()) {
        return false;
    }
    std::istringstream names(i->second);
    std::string name;
    while (std::getline(names, name, '.')) {
        if (name == service || i->second == "any") {
            return true;
        }
    }
    return false;
}

RouteTable makeRouteTable(const FleetState& fleet, const UpstreamSnapshot& upstreams)
{
    RouteTable table;
    table.fleetServices = fleet.services;
    table.fleetInstances = fleet.instances;
    table.upstreamVersion = upstreams.version;
    table.liveInstances = upstreams.liveInstances;
    std::vector<LabelSet> labels;
    for (const auto& upstream : upstreams.upstreams) {
        const auto* instance = instanceOf(fleet, upstream.name);
        const bool isServing = !instance || instance->phase == InstancePhase::Serving;
        if (upstream.kind == UpstreamKind::Runner && !upstream.draining && isServing && upstream.slots > 0
            && !upstream.address.empty()) {
            table.runners.push_back({ upstream.name, upstream.address, upstream.bootEpoch, upstream.slots,
                upstream.connections });
            labels.push_back(labelsOf(instance, upstream.labels));
        }
    }
    std::vector<bool> isSpare(table.runners.size());
    for (const auto& entry : *fleet.services) {
        auto& route = table.services[entry.first];
        route.service = entry.second;
        for (std::size_t i = 0; i < table.runners.size(); ++i) {
            if (matches(entry.second.selector, labels[i])) {
                route.own.push_back(i);
                isSpare[i] = isSpare[i] || entry.second.spare;
            }
        }
        for (const auto& instance : *fleet.instances) {
            if (instance.second.phase == InstancePhase::Serving
                && instance.second.kind == UpstreamKind::Runner
                && matches(entry.second.selector, instance.second.labels)) {
                route.dataCentres.insert(instance.second.dataCentre);
            }
        }
    }
    for (auto& entry : table.services) {
        const auto& own = entry.second.own;
        for (std::size_t i = 0; i < table.runners.size(); ++i) {
            if (isSpare[i] && canServe(labels[i], entry.first)
                && std::find(own.begin(), own.end(), i) == own.end()) {
                entry.second.borrowable.push_back(i);
            }
        }
    }
    return table;
}

} // namespace celeryline
