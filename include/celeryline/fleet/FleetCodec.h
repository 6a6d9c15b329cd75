/// @file
/// JSON encoding of the fleet state and its objects.
#pragma once

#include "celeryline/fleet/FleetState.h"
#include "celeryline/labels/JsonFields.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <string>

namespace celeryline {

/// @return the JSON name of the value, in lower case.
const char* nameOf(InstancePhase phase);
const char* nameOf(WaveState state);
const char* nameOf(JobPhase phase);
const char* nameOf(UpstreamKind kind);

/// Reads a required field that contains the JSON name of an enum value.
/// @param fields the object to read from.
/// @param key the name of the field.
/// @throws Error of kind InvalidInput if the field is missing or isn't one of the names.
InstancePhase instancePhaseFrom(JsonFields& fields, const std::string& key);
WaveState waveStateFrom(JsonFields& fields, const std::string& key);
JobPhase jobPhaseFrom(JsonFields& fields, const std::string& key);
UpstreamKind upstreamKindFrom(JsonFields& fields, const std::string& key);

/// Encodes an object as JSON with all of its fields.
Poco::JSON::Object::Ptr toJson(const Service& service);
Poco::JSON::Object::Ptr toJson(const Pool& pool);
Poco::JSON::Object::Ptr toJson(const Instance& instance);
Poco::JSON::Object::Ptr toJson(const Wave& wave);
Poco::JSON::Object::Ptr toJson(const Permit& permit);
Poco::JSON::Object::Ptr toJson(const Quota& quota);
Poco::JSON::Object::Ptr toJson(const Job& job);
Poco::JSON::Object::Ptr toJson(const Resources& resources);
Poco::JSON::Object::Ptr toJson(const LabelSet& labels);

/// Decodes an object that was encoded by toJson() or written by an operator. Absent fields get their default
/// values.
/// @throws Error of kind InvalidInput that names the invalid field and how to correct it.
Service serviceFrom(JsonFields& fields);
Pool poolFrom(JsonFields& fields);
Instance instanceFrom(JsonFields& fields);
Wave waveFrom(JsonFields& fields);
Permit permitFrom(JsonFields& fields);
Quota quotaFrom(JsonFields& fields);
Job jobFrom(JsonFields& fields);
Resources resourcesFrom(JsonFields fields);

/// @param strings a container of strings.
/// @return the strings as a JSON array.
template <typename Container> Poco::JSON::Array::Ptr toJsonList(const Container& strings)
{
    Poco::JSON::Array::Ptr array = new Poco::JSON::Array;
    for (const auto& item : strings) {
        array->add(item);
    }
    return array;
}

/// Encodes a fleet state as JSON text for snapshots.
std::string encodeFleet(const FleetState& fleet);

/// Decodes a fleet state that was encoded by encodeFleet().
/// @throws Error of kind Corrupt if the text is not a valid fleet state.
FleetState decodeFleet(const std::string& json);

} // namespace celeryline
