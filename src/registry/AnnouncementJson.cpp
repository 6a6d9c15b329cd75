#include "celeryline/registry/AnnouncementJson.h"

#include "celeryline/base/EditDistance.h"
#include "celeryline/base/Error.h"
#include "celeryline/base/SocketAddress.h"
#include "celeryline/labels/Selector.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <sstream>

namespace celeryline {

namespace {

using Poco::Dynamic::Var;
using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr std::int64_t maxExactInteger
    = 9007199254740991; // 2^53 - 1; larger integers are not exact in all JSON parsers.
constexpr std::int64_t maxLabels = 64;
constexpr std::size_t maxTasks = 1024;

[[noreturn]] void throwInvalidField(
    const std::string& field, const std::string& what, const std::string& remedy)
{
    throw Error(ErrorKind::InvalidInput, "announcement field \"" + field + "\" " + what, remedy);
}

/// Reads the fields of one JSON object and rejects unknown ones.
class FieldReader {
public:
    FieldReader(Object::Ptr object, std::string path)
        : m_object(std::move(object))
        , m_path(std::move(path))
    {
    }

    std::string pathOf(const std::string& key) const { return m_path + key; }

    bool has(const std::string& key)
    {
        m_known.push_back(key);
        return m_object->has(key) && !m_object->get(key).isEmpty();
    }

    std::string text(const std::string& key, const std::string& remedy)
    {
        if (!has(key)) {
            throwInvalidField(pathOf(key), "is missing", remedy);
        }
        Var value = m_object->get(key);
        if (!value.isString()) {
            throwInvalidField(pathOf(key), "is not a string", remedy);
        }
        return value.extract<std::string>();
    }

    std::string label(const std::string& key)
    {
        std::string remedy = "give 1 to 128 letters, digits or \"._-/:\"";
        std::string value = text(key, remedy);
        if (!isLabelText(value)) {
            throwInvalidField(pathOf(key), "is not a valid name: \"" + value + "\"", remedy);
        }
        return value;
    }

    std::string choice(const std::string& key, const std::vector<std::string>& choices)
    {
        std::string remedy = "give one of:";
        for (const auto& choice : choices) {
            remedy += " \"" + choice + "\"";
        }
        std::string value = text(key, remedy);
        if (std::find(choices.begin(), choices.end(), value) == choices.end()) {
            throwInvalidField(pathOf(key), "is \"" + value + "\"", remedy);
        }
        return value;
    }

    std::int64_t integer(const std::string& key, std::int64_t minimum, std::int64_t maximum)
    {
        std::string remedy
            = "give an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum);
        if (!has(key)) {
            throwInvalidField(pathOf(key), "is missing", remedy);
        }
        Var value = m_object->get(key);
        if (!value.isInteger() || value.isBoolean()) {
            throwInvalidField(pathOf(key), "is not an integer", remedy);
        }
        // A value that does not fit is also reported as out of range.
        std::int64_t number = minimum - 1;
        try {
            number = value.convert<std::int64_t>();
        } catch (const Poco::Exception&) {
            number = minimum - 1;
        }
        if (number < minimum || number > maximum) {
            throwInvalidField(pathOf(key), "is " + value.toString(), remedy);
        }
        return number;
    }

    std::int64_t integerOr(
        const std::string& key, std::int64_t minimum, std::int64_t maximum, std::int64_t defaultValue)
    {
        return has(key) ? integer(key, minimum, maximum) : defaultValue;
    }

    bool booleanOr(const std::string& key, bool defaultValue)
    {
        if (!has(key)) {
            return defaultValue;
        }
        Var value = m_object->get(key);
        if (!value.isBoolean()) {
            throwInvalidField(pathOf(key), "is not a boolean", "give true or false");
        }
        return value.extract<bool>();
    }

    Object::Ptr objectOr(const std::string& key)
    {
        if (!has(key)) {
            return new Object;
        }
        auto object = m_object->getObject(key);
        if (!object) {
            throwInvalidField(pathOf(key), "is not an object", "give a JSON object");
        }
        return object;
    }

    Array::Ptr arrayOr(const std::string& key)
    {
        if (!has(key)) {
            return new Array;
        }
        auto array = m_object->getArray(key);
        if (!array) {
            throwInvalidField(pathOf(key), "is not an array", "give a JSON array");
        }
        return array;
    }

    /// @throws Error if the object has a key that was not read.
    void rejectUnknownFields() const
    {
        for (const auto& [key, value] : *m_object) {
            if (std::find(m_known.begin(), m_known.end(), key) == m_known.end()) {
                throwInvalidField(
                    pathOf(key), "is unknown", "did you mean \"" + closestMatch(key, m_known) + "\"?");
            }
        }
    }

private:
    Object::Ptr m_object;
    std::string m_path;
    std::vector<std::string> m_known;
};

void checkAddress(const std::string& address)
{
    if (!parseSocketAddress(address)) {
        throwInvalidField("address", "is \"" + address + "\"",
            R"(give the IP address and port of its HTTP listener, such as "10.1.2.3:8080" or "[fd00::1]:8080")");
    }
}

LabelSet readLabels(const Object::Ptr& object)
{
    if (object->size() > static_cast<std::size_t>(maxLabels)) {
        throwInvalidField("labels", "has more than " + std::to_string(maxLabels) + " entries", "remove some");
    }
    FieldReader reader(object, "labels.");
    LabelSet labels;
    for (const auto& key : object->getNames()) {
        if (!isLabelText(key)) {
            throwInvalidField("labels", "has the invalid name \"" + key + "\"",
                "use 1 to 128 letters, digits or \"._-/:\" for names and values");
        }
        labels[key] = reader.label(key);
    }
    return labels;
}

Resources readResources(const Object::Ptr& object, const std::string& path)
{
    FieldReader reader(object, path + ".");
    Resources resources;
    resources.cpuMilli = reader.integerOr("cpuMilli", 0, 100000000, 0);
    resources.memoryMb = reader.integerOr("memoryMb", 0, 1000000000, 0);
    resources.accelerators = reader.integerOr("accelerators", 0, 100000, 0);
    reader.rejectUnknownFields();
    return resources;
}

std::vector<ReportedTask> readTasks(const Array::Ptr& array)
{
    if (array->size() > maxTasks) {
        throwInvalidField("tasks", "has more than " + std::to_string(maxTasks) + " entries",
            "report finished tasks in several announcements");
    }
    std::vector<ReportedTask> tasks;
    for (unsigned i = 0; i < array->size(); ++i) {
        std::string path = "tasks[" + std::to_string(i) + "]";
        auto object = array->getObject(i);
        if (!object) {
            throwInvalidField(path, "is not an object", "give {\"id\":..., \"state\":..., \"fence\":...}");
        }
        FieldReader reader(object, path + ".");
        ReportedTask task;
        task.id = reader.label("id");
        task.state = reader.choice("state", { "running", "throttled", "checkpointed", "done", "failed" });
        task.fence = static_cast<std::uint64_t>(reader.integer("fence", 0, maxExactInteger));
        task.usage = readResources(reader.objectOr("usage"), path + ".usage");
        reader.rejectUnknownFields();
        tasks.push_back(std::move(task));
    }
    return tasks;
}

Object::Ptr parseObject(const std::string& json)
{
    const char* remedy = R"(send an object such as {"name":"r1","kind":"runner",...}; see docs/design.md)";
    try {
        Poco::JSON::Parser parser;
        auto value = parser.parse(json);
        if (value.type() == typeid(Object::Ptr)) {
            return value.extract<Object::Ptr>();
        }
    } catch (const Poco::Exception& e) {
        throw Error(ErrorKind::InvalidInput, "the announcement is not JSON: " + e.message(), remedy);
    }
    throw Error(ErrorKind::InvalidInput, "the announcement is not a JSON object", remedy);
}

Object resourcesToJson(const Resources& resources)
{
    Object object;
    object.set("cpuMilli", resources.cpuMilli);
    object.set("memoryMb", resources.memoryMb);
    object.set("accelerators", resources.accelerators);
    return object;
}

} // namespace

AnnounceRequest parseAnnouncement(const std::string& json, const std::string& dataCentre, Millis defaultLease)
{
    FieldReader reader(parseObject(json), "");
    AnnounceRequest request;
    auto& upstream = request.upstream;
    upstream.name = reader.label("name");
    bool isRunner = reader.choice("kind", { "runner", "worker" }) == "runner";
    upstream.kind = isRunner ? UpstreamKind::Runner : UpstreamKind::Worker;
    if (isRunner || reader.has("address")) {
        upstream.address = reader.text("address", "give the IP:port of its HTTP listener");
        checkAddress(upstream.address);
    }
    upstream.dataCentre = reader.label("dataCentre");
    if (upstream.dataCentre != dataCentre) {
        throwInvalidField("dataCentre",
            "is \"" + upstream.dataCentre + "\" but this entry instance serves \"" + dataCentre + "\"",
            "announce the upstream to an entry instance of its own data centre");
    }
    upstream.rack = reader.label("rack");
    upstream.labels = readLabels(reader.objectOr("labels"));
    std::int64_t minimum = isRunner ? 1 : 0;
    auto count = [&](const char* key, std::int64_t maximum) {
        return static_cast<std::uint32_t>(
            isRunner ? reader.integer(key, minimum, maximum) : reader.integerOr(key, minimum, maximum, 0));
    };
    upstream.slots = count("slots", 10000);
    upstream.connections = count("connections", 100000);
    upstream.bootEpoch = static_cast<std::uint64_t>(reader.integer("bootId", 1, maxExactInteger));
    upstream.lease = { reader.integerOr("leaseMs", 100, 600000, defaultLease.count) };
    upstream.draining = reader.booleanOr("draining", false);
    upstream.capacity = readResources(reader.objectOr("capacity"), "capacity");
    upstream.usage = readResources(reader.objectOr("usage"), "usage");
    request.tasks = readTasks(reader.arrayOr("tasks"));
    reader.rejectUnknownFields();
    return request;
}

std::string toJson(const AnnounceRequest& request)
{
    const auto& upstream = request.upstream;
    Object object;
    object.set("name", upstream.name);
    object.set("kind", upstream.kind == UpstreamKind::Runner ? "runner" : "worker");
    if (!upstream.address.empty()) {
        object.set("address", upstream.address);
    }
    object.set("dataCentre", upstream.dataCentre);
    object.set("rack", upstream.rack);
    Object labels;
    for (const auto& [name, value] : upstream.labels) {
        labels.set(name, value);
    }
    object.set("labels", labels);
    object.set("slots", upstream.slots);
    object.set("connections", upstream.connections);
    object.set("bootId", upstream.bootEpoch);
    object.set("leaseMs", upstream.lease.count);
    object.set("draining", upstream.draining);
    object.set("capacity", resourcesToJson(upstream.capacity));
    object.set("usage", resourcesToJson(upstream.usage));
    Array tasks;
    for (const auto& task : request.tasks) {
        Object item;
        item.set("id", task.id);
        item.set("state", task.state);
        item.set("fence", task.fence);
        item.set("usage", resourcesToJson(task.usage));
        tasks.add(item);
    }
    object.set("tasks", tasks);
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

} // namespace celeryline
