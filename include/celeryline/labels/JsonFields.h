/// @file
/// Validated access to the fields of a JSON object.
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

/// Reads and validates the fields of a JSON object. If a field is invalid, the methods throw Error of kind
/// InvalidInput that names the path of the field and how to correct it.
///
/// Example: `JsonFields fields = parseJsonFields(text, "pool"); auto name = fields.requiredString("name");`
class JsonFields {
public:
    /// @param object the object to read.
    /// @param path path of the object for messages; empty for the root object.
    JsonFields(Poco::JSON::Object::Ptr object, std::string path);

    /// @return whether the field is present and not null.
    bool has(const std::string& key) const;

    /// Reads a required field that must be a non-empty string.
    std::string requiredString(const std::string& key);

    /// Reads an optional string.
    std::string optionalString(const std::string& key, const std::string& defaultString = "");

    /// Reads an optional integer within the given range.
    std::int64_t integer(const std::string& key, std::int64_t defaultValue, std::int64_t minimum = 0,
        std::int64_t maximum = std::numeric_limits<std::int64_t>::max());

    /// Reads an optional non-negative integer.
    std::uint64_t unsignedInteger(const std::string& key, std::uint64_t defaultValue = 0);

    /// Reads an optional boolean.
    bool boolean(const std::string& key, bool defaultValue);

    /// Reads an optional list of strings.
    std::vector<std::string> stringList(const std::string& key);

    /// Reads an optional object whose values are strings.
    LabelSet labels(const std::string& key);

    /// Reads an optional selector in text form.
    Selector selector(const std::string& key);

    /// Reads an optional list of objects.
    std::vector<JsonFields> objects(const std::string& key);

    /// Reads an optional object; an absent field yields an empty object.
    JsonFields object(const std::string& key);

    /// Rejects fields that no method has read. The error suggests the most similar known name.
    void rejectUnknownFields() const;

    /// @return the path of the field for messages.
    std::string pathOf(const std::string& key) const;

    /// Reports an invalid field.
    /// @param what why the field is invalid.
    /// @param remedy how to correct it.
    /// @throws Error of kind InvalidInput.
    [[noreturn]] void fail(const std::string& key, const std::string& what, const std::string& remedy) const;

private:
    Poco::Dynamic::Var get(const std::string& key);

    Poco::JSON::Object::Ptr m_object;
    std::string m_path;
    std::set<std::string> m_known;
};

/// Parses JSON text that must contain a single object.
/// @param path name of the text for messages; empty for a request body.
/// @throws Error of kind InvalidInput if the text is not a JSON object.
JsonFields parseJsonFields(const std::string& text, const std::string& path = "");

/// Parses JSON text that must contain a single object.
/// @param path name of the text for messages; empty for a request body.
/// @throws Error of kind InvalidInput if the text is not a JSON object.
Poco::JSON::Object::Ptr parseJsonObject(const std::string& text, const std::string& path = "");

/// @return the object as JSON text without line breaks.
std::string toText(const Poco::JSON::Object::Ptr& object);

} // namespace celeryline
