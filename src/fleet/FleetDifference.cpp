#include "celeryline/fleet/FleetDifference.h"

#include "celeryline/fleet/FleetCodec.h"

#include <Poco/JSON/Stringifier.h>

#include <sstream>

namespace celeryline {

using Poco::JSON::Array;
using Poco::JSON::Object;

namespace {

std::string textOf(const Poco::Dynamic::Var& value)
{
    if (value.isString()) {
        return value.extract<std::string>();
    }
    std::ostringstream out;
    Poco::JSON::Stringifier::stringify(value, out);
    return out.str();
}

Array::Ptr changedFields(const Object::Ptr& before, const Object::Ptr& after)
{
    Array::Ptr fields = new Array;
    for (const auto& [field, value] : **(after.isNull() ? &before : &after)) {
        std::string from = before.isNull() ? "" : textOf(before->get(field));
        std::string to = after.isNull() ? "" : textOf(value);
        if (from != to) {
            Object::Ptr change = new Object;
            change->set("field", field);
            change->set("from", from);
            change->set("to", to);
            fields->add(change);
        }
    }
    return fields;
}

template <typename T>
void addChange(Array& list, const std::string& kind, const std::string& name, const T* before, const T* after)
{
    Object::Ptr change = new Object;
    change->set("kind", kind);
    change->set("name", name);
    change->set("change", std::string(!before ? "created" : !after ? "deleted" : "changed"));
    auto from = before ? toJson(*before) : Object::Ptr();
    auto to = after ? toJson(*after) : Object::Ptr();
    change->set("fields", changedFields(from, to));
    list.add(change);
}

template <typename T>
void addChanges(Array& list, const std::string& kind, const ObjectMap<T>& before, const ObjectMap<T>& after)
{
    if (before == after) {
        return;
    }
    after->forEachDifference(*before,
        [&](const std::string& name, const T* from, const T* to) { addChange(list, kind, name, from, to); });
}

} // namespace

Array::Ptr differenceOf(const FleetState& before, const FleetState& after)
{
    Array::Ptr list = new Array;
    addChanges(*list, "service", before.services, after.services);
    addChanges(*list, "pool", before.pools, after.pools);
    addChanges(*list, "quota", before.quotas, after.quotas);
    addChanges(*list, "instance", before.instances, after.instances);
    return list;
}

} // namespace celeryline
