/// @file
/// The fleet state and its objects as JSON.
#pragma once

#include "celeryline/fleet/FleetState.h"
#include "celeryline/labels/JsonFields.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <string>

namespace celeryline {

/// @return the value's name in JSON, in lower case.
const char* nameOf(InstancePhase phase);
const char* nameOf(WaveState state);
const char* nameOf(JobPhase phase);
const char* nameOf(UpstreamKind kind);

/// @param fields the object that has the field.
/// @param key a field that must name a phase; it is required.
/// @return the phase.
InstancePhase instancePhaseFrom(JsonFields& fields, const std::string& key);
WaveState waveStateFrom(JsonFields& fields, const std::string& key);
JobPhase jobPhaseFrom(JsonFields& fields, const std::string& key);
UpstreamKind upstreamKindFrom(JsonFields& fields, const std::string& key);

/// @return the object as JSON with all of its fields.
Poco::JSON::Object::Ptr toJson(const Service& service);
Poco::JSON::Object::Ptr toJson(const Pool& pool);
Poco::JSON::Object::Ptr toJson(const Instance& instance);
Poco::JSON::Object::Ptr toJson(const Wave& wave);
Poco::JSON::Object::Ptr toJson(const Permit& permit);
Poco::JSON::Object::Ptr toJson(const Quota& quota);
Poco::JSON::Object::Ptr toJson(const Job& job);
Poco::JSON::Object::Ptr toJson(const Resources& resources);
Poco::JSON::Object::Ptr toJson(const LabelSet& labels);

/// @param fields JSON that toJson() gave or that an operator wrote.
/// @return the object, with defaults for fields that aren't given.
/// @throws Error of kind InvalidInput that names the field and the remedy.
Service serviceFrom(JsonFields& fields);
Pool poolFrom(JsonFields& fields);
Instance instanceFrom(JsonFields& fields);
Wave waveFrom(JsonFields& fields);
Permit permitFrom(JsonFields& fields);
Quota quotaFrom(JsonFields& fields);
Job jobFrom(JsonFields& fields);
Resources resourcesFrom(JsonFields fields);

/// @param texts texts in any container.
/// @return them as a JSON list.
template <typename Container> Poco::JSON::Array::Ptr toJsonList(const Container& texts)
{
    Poco::JSON::Array::Ptr array = new Poco::JSON::Array;
    for (const auto& text : texts) {
        array->add(text);
    }
    return array;
}

/// @param fleet a fleet state.
/// @return it as JSON text, for snapshots.
std::string encodeFleet(const FleetState& fleet);

/// @param json what encodeFleet() gave.
/// @return the fleet state.
/// @throws Error of kind Corrupt if the text is not a whole fleet state.
FleetState decodeFleet(const std::string& json);

} // namespace celeryline
