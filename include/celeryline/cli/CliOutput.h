/// @file
/// Human-readable output of the command line.
#pragma once

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <iosfwd>
#include <string>
#include <vector>

namespace celeryline {

/// Prints a table with columns as wide as their widest cell.
/// @param out where to print.
/// @param header column names.
/// @param rows the rows, each with one cell per column.
void printTable(std::ostream& out, const std::vector<std::string>& header,
    const std::vector<std::vector<std::string>>& rows);

/// Prints the items of a collection as a table of their most important fields.
/// @param out where to print.
/// @param collection name of the collection, such as "pools".
/// @param items the items of the API response.
void printCollection(std::ostream& out, const std::string& collection, const Poco::JSON::Array::Ptr& items);

/// Prints a list of changes: `+` marks created, `~` changed and `-` deleted objects.
/// @param out where to print.
/// @param difference the "difference" list of the API response.
void printDifference(std::ostream& out, const Poco::JSON::Array::Ptr& difference);

/// Prints all fields of an object, one per line.
/// @param out where to print.
/// @param object the object.
/// @param indent prefix of each line.
void printFields(std::ostream& out, const Poco::JSON::Object::Ptr& object, const std::string& indent = "");

/// Prints an object as JSON, followed by a line break.
/// @param out where to print.
/// @param object the object.
void printJson(std::ostream& out, const Poco::JSON::Object::Ptr& object);

/// @param object an object.
/// @param key a field name, or a path of field names separated by dots.
/// @return the formatted field: a long list as its length, a missing field as "-".
std::string formatField(const Poco::JSON::Object::Ptr& object, const std::string& key);

/// @param key name of a collection or kind; singular or plural, case-insensitive.
/// @return canonical name of the collection, such as "pools".
/// @throws UsageError if there is no such collection.
std::string resolveCollection(const std::string& key);

} // namespace celeryline
