#include "celeryline/labels/JsonFields.h"

#include "celeryline/base/EditDistance.h"
#include "celeryline/base/Error.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>

#include <sstream>

namespace celeryline {

using Poco::Dynamic::Var;
using Poco::JSON::Object;

JsonFields::JsonFields(Object::Ptr object, std::string path)
    : m_object(std::move(object))
    , m_path(std::move(path))
{
}

bool JsonFields::has(const std::string& key) const { return m_object->has(key) && !m_object->isNull(key); }

std::string JsonFields::pathOf(const std::string& key) const
{
    return m_path.empty() ? key : m_path + "." + key;
}

void JsonFields::fail(const std::string& key, const std::string& what, const std::string& remedy) const
{
    throw Error(ErrorKind::InvalidInput, "\"" + pathOf(key) + "\" " + what, remedy);
}

Var JsonFields::get(const std::string& key)
{
    m_known.insert(key);
    return has(key) ? m_object->get(key) : Var();
}

std::string JsonFields::requiredString(const std::string& key)
{
    auto value = optionalString(key);
    if (value.empty()) {
        fail(key, "is missing", "give it as a text in double quotes");
    }
    return value;
}

std::string JsonFields::optionalString(const std::string& key, const std::string& defaultString)
{
    Var value = get(key);
    if (value.isEmpty()) {
        return defaultString;
    }
    if (!value.isString()) {
        fail(key, "is not a text", "put its value in double quotes");
    }
    return value.extract<std::string>();
}

std::int64_t JsonFields::integer(
    const std::string& key, std::int64_t defaultValue, std::int64_t minimum, std::int64_t maximum)
{
    Var value = get(key);
    if (value.isEmpty()) {
        return defaultValue;
    }
    const std::string remedy
        = "give a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    if (!value.isInteger() || value.isBoolean()) {
        fail(key, "is not a whole number", remedy);
    }
    std::int64_t number = 0;
    try {
        number = value.convert<std::int64_t>();
    } catch (const Poco::Exception&) {
        fail(key, "is too large", remedy);
    }
    if (number < minimum || number > maximum) {
        fail(key, "is " + std::to_string(number), remedy);
    }
    return number;
}

std::uint64_t JsonFields::unsignedInteger(const std::string& key, std::uint64_t defaultValue)
{
    Var value = get(key);
    if (value.isEmpty()) {
        return defaultValue;
    }
    try {
        if (value.isInteger() && !value.isBoolean()) {
            return value.convert<std::uint64_t>();
        }
    } catch (const Poco::Exception&) {
        fail(key, "is out of range", "give a whole number from 0 to 18446744073709551615");
    }
    fail(key, "is not a whole number", "give a whole number that is not negative, without quotes");
}

bool JsonFields::boolean(const std::string& key, bool defaultValue)
{
    Var value = get(key);
    if (value.isEmpty()) {
        return defaultValue;
    }
    if (!value.isBoolean()) {
        fail(key, "is not true or false", "write true or false without quotes");
    }
    return value.convert<bool>();
}

std::vector<std::string> JsonFields::stringList(const std::string& key)
{
    Var value = get(key);
    std::vector<std::string> result;
    if (value.isEmpty()) {
        return result;
    }
    auto array = m_object->getArray(key);
    if (array.isNull()) {
        fail(key, "is not a list", "write it as [ \"text\", ... ]");
    }
    for (const auto& item : *array) {
        if (!item.isString()) {
            fail(key, "has an entry that is not a text", "put each entry in double quotes");
        }
        result.push_back(item.extract<std::string>());
    }
    return result;
}

LabelSet JsonFields::labels(const std::string& key)
{
    Var value = get(key);
    LabelSet result;
    if (value.isEmpty()) {
        return result;
    }
    auto object = m_object->getObject(key);
    if (object.isNull()) {
        fail(key, "is not an object", "write it as { \"label\": \"value\", ... }");
    }
    for (const auto& [name, item] : *object) {
        if (!item.isString() || name.empty()) {
            fail(
                key, "has the label \"" + name + "\" without a text", "write it as { \"label\": \"value\" }");
        }
        result.emplace(name, item.extract<std::string>());
    }
    return result;
}

Selector JsonFields::selector(const std::string& key)
{
    auto value = optionalString(key);
    if (value.empty()) {
        return {};
    }
    try {
        return parseSelector(value);
    } catch (const Error& e) {
        throw Error(ErrorKind::InvalidInput, "\"" + pathOf(key) + "\" is no selector", e.what());
    }
}

std::vector<JsonFields> JsonFields::objects(const std::string& key)
{
    Var value = get(key);
    std::vector<JsonFields> result;
    if (value.isEmpty()) {
        return result;
    }
    auto array = m_object->getArray(key);
    if (array.isNull()) {
        fail(key, "is not a list", "write it as [ { ... }, ... ]");
    }
    for (std::size_t i = 0; i < array->size(); ++i) {
        auto object = array->getObject(static_cast<unsigned>(i));
        std::string item = key + "[" + std::to_string(i) + "]";
        if (object.isNull()) {
            fail(item, "is not an object", "write it as { ... }");
        }
        result.emplace_back(object, pathOf(item));
    }
    return result;
}

JsonFields JsonFields::object(const std::string& key)
{
    if (get(key).isEmpty()) {
        return { new Object, pathOf(key) };
    }
    auto object = m_object->getObject(key);
    if (object.isNull()) {
        fail(key, "is not an object", "write it as { ... }");
    }
    return { object, pathOf(key) };
}

void JsonFields::rejectUnknownFields() const
{
    for (const auto& name : m_object->getNames()) {
        if (m_known.count(name) == 0) {
            auto nearest = closestMatch(name, { m_known.begin(), m_known.end() });
            fail(name, "is not a known field", "did you mean \"" + nearest + "\"?");
        }
    }
}

JsonFields parseJsonFields(const std::string& text, const std::string& path)
{
    return { parseJsonObject(text, path), path };
}

Object::Ptr parseJsonObject(const std::string& text, const std::string& path)
{
    const std::string name = path.empty() ? "the body" : path;
    try {
        Poco::JSON::Parser parser;
        auto value = parser.parse(text);
        if (value.type() == typeid(Object::Ptr)) {
            return value.extract<Object::Ptr>();
        }
    } catch (const Poco::Exception& e) {
        throw Error(ErrorKind::InvalidInput, name + " is not JSON: " + e.message(),
            "check brackets, quotes and commas");
    }
    throw Error(ErrorKind::InvalidInput, name + " is not a JSON object", "write it as { ... }");
}

std::string toText(const Object::Ptr& object)
{
    std::ostringstream out;
    object->stringify(out);
    return out.str();
}

} // namespace celeryline
