/// @file
/// Checked access to the fields of a JSON object.
#pragma once

#include "celeryline/labels/LabelSet.h"
#include "celeryline/labels/Selector.h"

#include <Poco/JSON/Object.h>

#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <vector>

namespace celeryline {

/// Reads the fields of a JSON object. Every method throws Error of kind InvalidInput that names the field's
/// path and the remedy.
///
/// Example: `JsonFields fields = parseJsonFields(text, "pool"); auto name = fields.requiredText("name");`
class JsonFields {
public:
    /// @param object the object to read.
    /// @param path where it is, for messages; empty for the outermost one.
    JsonFields(Poco::JSON::Object::Ptr object, std::string path);

    /// @param key a field.
    /// @return whether the field is present and not null.
    bool has(const std::string& key) const;

    /// @param key a field that must be a non-empty text.
    std::string requiredText(const std::string& key);

    /// @param key a field that must be a text if present.
    /// @param defaultText what to use otherwise.
    std::string text(const std::string& key, const std::string& defaultText = "");

    /// @param key a field that must be an integer in a range if present.
    std::int64_t integer(const std::string& key, std::int64_t defaultValue, std::int64_t minimum = 0,
        std::int64_t maximum = std::numeric_limits<std::int64_t>::max());

    /// @param key a field that must be a non-negative integer if present.
    std::uint64_t number(const std::string& key, std::uint64_t defaultValue = 0);

    /// @param key a field that must be true or false if present.
    bool boolean(const std::string& key, bool defaultValue);

    /// @param key a field that must be a list of texts if present.
    std::vector<std::string> texts(const std::string& key);

    /// @param key a field that must be an object of texts if present.
    LabelSet labels(const std::string& key);

    /// @param key a field that must be a selector's text form if present.
    Selector selector(const std::string& key);

    /// @param key a field that must be a list of objects if present.
    std::vector<JsonFields> objects(const std::string& key);

    /// @param key a field that must be an object; missing gives one without fields.
    JsonFields object(const std::string& key);

    /// Refuses fields that no method was called for, with the nearest known name.
    void refuseUnknown() const;

    /// @param key a field.
    /// @return the field's path, for messages.
    std::string pathOf(const std::string& key) const;

    /// @throws Error of kind InvalidInput that names a field.
    [[noreturn]] void fail(const std::string& key, const std::string& what, const std::string& remedy) const;

private:
    Poco::Dynamic::Var get(const std::string& key);

    Poco::JSON::Object::Ptr m_object;
    std::string m_path;
    std::set<std::string> m_known;
};

/// @param text JSON text of one object.
/// @param path what it is, for messages; empty for a request's body.
/// @return its fields.
/// @throws Error of kind InvalidInput if the text is not one JSON object.
JsonFields parseJsonFields(const std::string& text, const std::string& path = "");

/// @param text JSON text of one object.
/// @param path what it is, for messages.
/// @return the object.
/// @throws Error of kind InvalidInput if the text is not one JSON object.
Poco::JSON::Object::Ptr parseJsonObject(const std::string& text, const std::string& path = "");

/// @param object a JSON object.
/// @return its text without line breaks.
std::string toText(const Poco::JSON::Object::Ptr& object);

} // namespace celeryline
