/// @file
/// Output of the command line for people.
#pragma once

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <iosfwd>
#include <string>
#include <vector>

namespace celeryline {

/// Prints rows in columns that are as wide as their widest cell.
/// @param out where to print.
/// @param header names of the columns.
/// @param rows one cell for each column.
void printTable(std::ostream& out, const std::vector<std::string>& header,
    const std::vector<std::vector<std::string>>& rows);

/// Prints the items of a collection with the columns that matter most.
/// @param out where to print.
/// @param collection such as "pools".
/// @param items the items of the API's response.
void printCollection(std::ostream& out, const std::string& collection, const Poco::JSON::Array::Ptr& items);

/// Prints a difference: `+` for created, `~` for changed and `-` for deleted objects.
/// @param out where to print.
/// @param difference the list of the API's response.
void printDifference(std::ostream& out, const Poco::JSON::Array::Ptr& difference);

/// Prints all fields of an object, one a line.
/// @param out where to print.
/// @param object the object.
/// @param indent blanks before each line.
void printFields(std::ostream& out, const Poco::JSON::Object::Ptr& object, const std::string& indent = "");

/// Prints JSON with a line break at its end.
/// @param out where to print.
/// @param object the object.
void printJson(std::ostream& out, const Poco::JSON::Object::Ptr& object);

/// @param object an object.
/// @param key a field, or fields joined by dots.
/// @return the field as text: lists as their length unless short, a missing field as "-".
std::string cellOf(const Poco::JSON::Object::Ptr& object, const std::string& key);

/// @param key a collection or kind, singular or plural, in any case.
/// @return the collection's name, such as "pools".
std::string collectionOf(const std::string& key);

} // namespace celeryline
