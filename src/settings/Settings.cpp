#include "celeryline/settings/Settings.h"

#include "celeryline/base/EditDistance.h"
#include "celeryline/base/Error.h"
#include "celeryline/base/JsonComments.h"
#include "celeryline/settings/SettingsTable.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <set>
#include <sstream>

namespace celeryline {

namespace {

using detail::SettingRow;
using detail::SettingType;
using Poco::Dynamic::Var;
using Poco::JSON::Array;
using Poco::JSON::Object;

[[noreturn]] void throwInvalidSettings(
    const std::string& source, const std::string& what, const std::string& remedy)
{
    throw Error(ErrorKind::InvalidSettings, source + ": " + what, remedy);
}

std::vector<std::string> knownPaths()
{
    std::vector<std::string> paths { "peers", "voters" };
    for (const auto& row : detail::settingsTable()) {
        paths.push_back(row.path);
    }
    return paths;
}

bool isSection(const std::string& path)
{
    const auto& table = detail::settingsTable();
    auto startsWithPath
        = [&](const SettingRow& row) { return row.path.compare(0, path.size() + 1, path + ".") == 0; };
    return std::any_of(table.begin(), table.end(), startsWithPath);
}

std::string describeRange(const SettingRow& row)
{
    std::ostringstream out;
    out << "a number from " << row.minimum << " to " << row.maximum;
    if (!row.unit.empty()) {
        out << " in " << row.unit;
    }
    return out.str();
}

void applyNumber(Settings& settings, const SettingRow& row, const Var& value, const std::string& source)
{
    if (!value.isNumeric() || value.isBoolean()) {
        throwInvalidSettings(
            source, "\"" + row.path + "\" is not a number", "set it to " + describeRange(row));
    }
    double number = value.convert<double>();
    bool needsInteger = row.type == SettingType::Integer;
    if (number < row.minimum || number > row.maximum || (needsInteger && std::floor(number) != number)) {
        throwInvalidSettings(source, "\"" + row.path + "\" is " + value.convert<std::string>(),
            "set it to " + describeRange(row));
    }
    row.setNumber(settings, number);
}

void applyText(Settings& settings, const SettingRow& row, const Var& value, const std::string& source)
{
    if (!value.isString()) {
        throwInvalidSettings(
            source, "\"" + row.path + "\" is not a string", "put the value in double quotes");
    }
    const auto& text = value.extract<std::string>();
    const auto& choices = row.choices;
    if (!choices.empty() && std::find(choices.begin(), choices.end(), text) == choices.end()) {
        std::string list;
        for (const auto& choice : choices) {
            list += (list.empty() ? "" : ", ") + choice;
        }
        throwInvalidSettings(source, "\"" + row.path + "\" is \"" + text + "\"", "set it to one of: " + list);
    }
    row.setText(settings, text);
}

void applySetting(Settings& settings, const SettingRow& row, const Var& value, const std::string& source)
{
    if (row.type == SettingType::Text) {
        applyText(settings, row, value, source);
    } else {
        applyNumber(settings, row, value, source);
    }
}

void applyDefaults(Settings& settings)
{
    for (const auto& row : detail::settingsTable()) {
        if (row.type == SettingType::Text) {
            row.setText(settings, row.defaultText);
        } else {
            row.setNumber(settings, std::stod(row.defaultText));
        }
    }
}

void applyObject(
    Settings& settings, const Object::Ptr& object, const std::string& prefix, const std::string& source)
{
    for (const auto& name : object->getNames()) {
        std::string path = prefix.empty() ? name : prefix + "." + name;
        if (path == "peers" || path == "voters") {
            continue;
        }
        const auto& table = detail::settingsTable();
        auto row
            = std::find_if(table.begin(), table.end(), [&](const SettingRow& r) { return r.path == path; });
        if (row != table.end()) {
            applySetting(settings, *row, object->get(name), source);
        } else if (isSection(path)) {
            auto child = object->getObject(name);
            if (child.isNull()) {
                throwInvalidSettings(source, "\"" + path + "\" is not a section", "write it as { ... }");
            }
            applyObject(settings, child, path, source);
        } else {
            throwInvalidSettings(source, "unknown key \"" + path + "\"",
                "did you mean \"" + closestMatch(path, knownPaths()) + "\"?");
        }
    }
}

void checkAddress(const std::string& address, const std::string& path, const std::string& source)
{
    const std::string remedy = "write it as IP:port, such as 127.0.0.1:7400";
    auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        throwInvalidSettings(source, "\"" + path + "\" is \"" + address + "\", which has no port", remedy);
    }
    Poco::Net::IPAddress ip;
    std::string host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[') {
        host = host.substr(1, host.size() - 2);
    }
    if (!Poco::Net::IPAddress::tryParse(host, ip)) {
        throwInvalidSettings(
            source, "\"" + path + "\" is \"" + address + "\", which is not an IP address", remedy);
    }
    std::string port = address.substr(colon + 1);
    bool isNumber
        = !port.empty() && port.size() <= 5 && port.find_first_not_of("0123456789") == std::string::npos;
    if (!isNumber || std::stoi(port) > 65535) {
        throwInvalidSettings(source, "\"" + path + "\" has the invalid port \"" + port + "\"", remedy);
    }
}

std::string requiredString(
    const Object::Ptr& object, const std::string& key, const std::string& path, const std::string& source)
{
    if (!object->has(key) || !object->get(key).isString() || object->getValue<std::string>(key).empty()) {
        throwInvalidSettings(
            source, "\"" + path + "." + key + "\" is missing", "specify it as a string in double quotes");
    }
    return object->getValue<std::string>(key);
}

PeerSettings parsePeer(const Object::Ptr& object, const std::string& path, const std::string& source)
{
    static const std::vector<std::string> keys { "name", "dataCentre", "http", "peer" };
    for (const auto& name : object->getNames()) {
        if (std::find(keys.begin(), keys.end(), name) == keys.end()) {
            throwInvalidSettings(source, "unknown key \"" + path + "." + name + "\"",
                "did you mean \"" + path + "." + closestMatch(name, keys) + "\"?");
        }
    }
    PeerSettings peer;
    peer.name = requiredString(object, "name", path, source);
    peer.dataCentre = requiredString(object, "dataCentre", path, source);
    peer.http = requiredString(object, "http", path, source);
    peer.peer = requiredString(object, "peer", path, source);
    checkAddress(peer.http, path + ".http", source);
    checkAddress(peer.peer, path + ".peer", source);
    return peer;
}

void applyPeers(Settings& settings, const Object::Ptr& root, const std::string& source)
{
    if (!root->has("peers")) {
        return;
    }
    auto array = root->getArray("peers");
    if (array.isNull()) {
        throwInvalidSettings(source, "\"peers\" is not a list", "write it as [ { \"name\": ... }, ... ]");
    }
    for (std::size_t i = 0; i < array->size(); ++i) {
        std::string path = "peers[" + std::to_string(i) + "]";
        auto object = array->getObject(static_cast<unsigned>(i));
        if (object.isNull()) {
            throwInvalidSettings(
                source, "\"" + path + "\" is not an object", "write it as { \"name\": ... }");
        }
        auto peer = parsePeer(object, path, source);
        // The list of peers may be identical on all instances; the entry of this instance is skipped.
        if (peer.name != settings.name) {
            settings.peers.push_back(peer);
        }
    }
}

void applyVoters(Settings& settings, const Object::Ptr& root, const std::string& source)
{
    if (!root->has("voters")) {
        if (!settings.dataDir.empty() && settings.peers.empty()) {
            settings.voters = { settings.name };
        }
        return;
    }
    auto array = root->getArray("voters");
    if (array.isNull()) {
        throwInvalidSettings(source, "\"voters\" is not a list", "write it as [ \"name\", ... ]");
    }
    for (std::size_t i = 0; i < array->size(); ++i) {
        auto value = array->get(static_cast<unsigned>(i));
        if (!value.isString()) {
            throwInvalidSettings(source, "\"voters[" + std::to_string(i) + "]\" is not a string",
                "specify the name of an entry instance in double quotes");
        }
        settings.voters.push_back(value.extract<std::string>());
    }
}

void checkNames(const Settings& settings, const std::string& source)
{
    std::set<std::string> names { settings.name };
    for (const auto& peer : settings.peers) {
        if (!names.insert(peer.name).second) {
            throwInvalidSettings(source, "the instance name \"" + peer.name + "\" is used more than once",
                "give each instance a unique name");
        }
    }
    std::set<std::string> voters;
    for (const auto& voter : settings.voters) {
        if (names.count(voter) == 0) {
            throwInvalidSettings(source, "voter \"" + voter + "\" is neither this instance nor in \"peers\"",
                "add it to \"peers\" or correct its name");
        }
        if (!voters.insert(voter).second) {
            throwInvalidSettings(source, "voter \"" + voter + "\" is listed twice", "remove the duplicate");
        }
    }
    if (voters.count(settings.name) != 0 && settings.dataDir.empty()) {
        throwInvalidSettings(source, "this instance is a voter but \"dataDir\" is empty",
            "set \"dataDir\" to a directory on a disk or remove the instance from \"voters\"");
    }
}

void checkConsistency(const Settings& settings, const std::string& source)
{
    if (settings.name.empty()) {
        throwInvalidSettings(source, "\"name\" is missing", "give this instance a unique name");
    }
    if (settings.dataCentre.empty()) {
        throwInvalidSettings(
            source, "\"dataCentre\" is missing", "name the data centre that this instance is in");
    }
    checkAddress(settings.httpListen, "httpListen", source);
    checkAddress(settings.peerListen, "peerListen", source);
    if (settings.consensus.electionTimeout < Millis { 3 * settings.consensus.heartbeat.count }) {
        throwInvalidSettings(source,
            "\"consensus.electionTimeoutMs\" is less than three times \"consensus.heartbeatMs\"",
            "increase it so that a single lost heartbeat does not start an election");
    }
    if (settings.routing.defaultDeadline > settings.routing.maxDeadline) {
        throwInvalidSettings(
            source, "\"routing.defaultDeadlineMs\" exceeds \"routing.maxDeadlineMs\"", "decrease it");
    }
}

bool isLoopback(const std::string& address) { return Poco::Net::SocketAddress(address).host().isLoopback(); }

void checkTokens(const Settings& settings, const std::string& source)
{
    const auto& security = settings.security;
    bool hasRoleWithoutToken = security.callerTokenFile.empty() || security.upstreamTokenFile.empty()
        || security.operatorTokenFile.empty();
    if (hasRoleWithoutToken && !isLoopback(settings.httpListen)) {
        throwInvalidSettings(source, "\"httpListen\" is not a loopback address but a role has no token file",
            "set security.callerTokenFile, security.upstreamTokenFile and security.operatorTokenFile");
    }
    if (security.peerTokenFile.empty() && !isLoopback(settings.peerListen)) {
        throwInvalidSettings(source,
            "\"peerListen\" is not a loopback address but security.peerTokenFile is empty",
            "set security.peerTokenFile to a file with a token shared by all entry instances");
    }
}

} // namespace

Settings parseSettings(const std::string& json, const std::string& source)
{
    Object::Ptr root;
    try {
        Poco::JSON::Parser parser;
        root = parser.parse(stripJsonComments(json)).extract<Object::Ptr>();
    } catch (const Poco::Exception& e) {
        throwInvalidSettings(
            source, "not a JSON object: " + e.displayText(), "check brackets, quotes and commas");
    }
    Settings settings;
    applyDefaults(settings);
    applyObject(settings, root, "", source);
    applyPeers(settings, root, source);
    applyVoters(settings, root, source);
    checkConsistency(settings, source);
    checkNames(settings, source);
    checkTokens(settings, source);
    return settings;
}

Settings loadSettings(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        throwInvalidSettings(path, "the file can't be opened", "check the path and the permissions");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseSettings(text.str(), path);
}

std::string settingsTableAsMarkdown()
{
    std::ostringstream out;
    out << "| Key | Unit | Default | Range | Meaning |\n|---|---|---|---|---|\n";
    for (const auto& row : detail::settingsTable()) {
        std::string range;
        if (row.type != SettingType::Text) {
            std::ostringstream text;
            text.precision(12);
            text << row.minimum << " to " << row.maximum;
            range = text.str();
        }
        for (const auto& choice : row.choices) {
            range += (range.empty() ? "" : ", ") + choice;
        }
        out << "| `" << row.path << "` | " << row.unit << " | "
            << (row.defaultText.empty() ? "" : "`" + row.defaultText + "`") << " | " << range << " | "
            << row.meaning << " |\n";
    }
    return out.str();
}

} // namespace celeryline
