#include "celeryline/fleet/ReplicatedState.h"

#include "celeryline/base/Error.h"
#include "celeryline/fleet/FleetApply.h"
#include "celeryline/fleet/FleetCodec.h"
#include "celeryline/fleet/PoolMembership.h"
#include "celeryline/labels/JsonFields.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>

#include <sstream>

#include <xxhash.h>

namespace celeryline {

using Poco::JSON::Array;
using Poco::JSON::Object;

namespace {

const std::string snapshotMagic = "celeryline-state-1";

struct Sections {
    std::string fleet;
    std::string results;
    std::string ledger;
};

[[noreturn]] void throwCorrupt(const std::string& what)
{
    throw Error(
        ErrorKind::Corrupt, "the snapshot " + what, "restore another snapshot or join as a new instance");
}

/// The first line contains the format name, a checksum of everything after it, and the sizes of the sections.
std::string packSections(const Sections& sections)
{
    std::string sizes = std::to_string(sections.fleet.size()) + " " + std::to_string(sections.results.size())
        + " " + std::to_string(sections.ledger.size());
    std::string body = sections.fleet + sections.results + sections.ledger;
    std::string hashed = sizes + "\n" + body;
    auto hash = XXH64(hashed.data(), hashed.size(), 0);
    return snapshotMagic + " " + std::to_string(hash) + " " + hashed;
}

Sections unpackSections(const std::string& bytes)
{
    auto line = bytes.find('\n');
    if (line == std::string::npos || bytes.compare(0, snapshotMagic.size() + 1, snapshotMagic + " ") != 0) {
        throwCorrupt("has no valid first line");
    }
    auto hashEnd = bytes.find(' ', snapshotMagic.size() + 1);
    if (hashEnd > line) {
        throwCorrupt("has no valid first line");
    }
    std::string hash = bytes.substr(snapshotMagic.size() + 1, hashEnd - snapshotMagic.size() - 1);
    std::size_t start = hashEnd + 1;
    if (std::to_string(XXH64(bytes.data() + start, bytes.size() - start, 0)) != hash) {
        throwCorrupt("does not match its checksum");
    }
    std::istringstream sizes(bytes.substr(start, line - start));
    std::size_t fleet = 0;
    std::size_t results = 0;
    std::size_t ledger = 0;
    if (!(sizes >> fleet >> results >> ledger) || line + 1 + fleet + results + ledger != bytes.size()) {
        throwCorrupt("has sections of an unexpected size");
    }
    return { bytes.substr(line + 1, fleet), bytes.substr(line + 1 + fleet, results),
        bytes.substr(line + 1 + fleet + results) };
}

Object::Ptr resultToJson(const std::string& id, const CommandResult& result)
{
    Object::Ptr json = new Object;
    json->set("id", id);
    json->set("accepted", result.accepted);
    json->set("errorKind", static_cast<int>(result.errorKind));
    json->set("body", result.body);
    json->set("revision", result.revision);
    return json;
}

} // namespace

ReplicatedState::ReplicatedState(LedgerStateMachine& ledger)
    : m_ledger(ledger)
{
}

CommandResult ReplicatedState::apply(std::uint64_t index, Millis entryTime, const Command& command)
{
    if (command.kind == CommandKind::Ledger) {
        auto result = m_ledger.apply(index, entryTime, command);
        result.revision = revision();
        return result;
    }
    auto known = m_results.find(command.id);
    if (known != m_results.end()) {
        return known->second;
    }
    auto result = applyFleet(entryTime, command);
    storeResult(command.id, result);
    return result;
}

CommandResult ReplicatedState::applyFleet(Millis entryTime, const Command& command)
{
    if (command.id.empty()) {
        return { false, ErrorKind::InvalidInput, "the command has no id; specify a unique id", revision() };
    }
    auto before = fleet();
    auto [next, result] = applyFleetCommand(*before, entryTime, command);
    if (next.revision != before->revision) {
        checkOwnership(next, before.get());
        publish(std::make_shared<const FleetState>(std::move(next)));
    }
    return result;
}

void ReplicatedState::storeResult(const std::string& id, const CommandResult& result)
{
    if (id.empty()) {
        return;
    }
    m_results.emplace(id, result);
    m_resultOrder.push_back(id);
    if (m_resultOrder.size() > maxResults) {
        m_results.erase(m_resultOrder.front());
        m_resultOrder.pop_front();
    }
}

void ReplicatedState::publish(std::shared_ptr<const FleetState> next)
{
    {
        std::lock_guard<std::mutex> guard(m_lock);
        if (next->revision < m_fleet->revision) {
            throw Error(ErrorKind::Corrupt,
                "revision " + std::to_string(next->revision) + " is older than the published revision "
                    + std::to_string(m_fleet->revision),
                "stop this process and report the error; published revisions must not decrease");
        }
        m_fleet = std::move(next);
    }
    m_published.notify_all();
}

std::string ReplicatedState::takeSnapshot() const
{
    Array::Ptr results = new Array;
    for (const auto& id : m_resultOrder) {
        results->add(resultToJson(id, m_results.at(id)));
    }
    Object::Ptr json = new Object;
    json->set("results", results);
    return packSections({ encodeFleet(*fleet()), toText(json), m_ledger.takeSnapshot() });
}

void ReplicatedState::restoreSnapshot(const std::string& bytes)
{
    auto sections = unpackSections(bytes);
    auto next = std::make_shared<const FleetState>(decodeFleet(sections.fleet));
    checkOwnership(*next, nullptr);
    Results results;
    std::deque<std::string> order;
    try {
        auto fields = parseJsonFields(sections.results, "results");
        for (auto& item : fields.objects("results")) {
            CommandResult result;
            result.accepted = item.boolean("accepted", false);
            result.errorKind = static_cast<ErrorKind>(
                item.integer("errorKind", 0, 0, static_cast<int>(ErrorKind::Corrupt)));
            result.body = item.optionalString("body");
            result.revision = item.unsignedInteger("revision");
            order.push_back(item.requiredString("id"));
            results.emplace(order.back(), std::move(result));
        }
    } catch (const Error& e) {
        throwCorrupt(std::string("contains results that can't be parsed: ") + e.what());
    }
    if (next->revision < revision()) {
        throw Error(ErrorKind::Corrupt,
            "the snapshot has revision " + std::to_string(next->revision)
                + ", which is older than the published revision " + std::to_string(revision()),
            "restore a newer snapshot");
    }
    m_ledger.restoreSnapshot(sections.ledger);
    m_results = std::move(results);
    m_resultOrder = std::move(order);
    publish(std::move(next));
}

std::uint64_t ReplicatedState::revision() const { return fleet()->revision; }

std::shared_ptr<const FleetState> ReplicatedState::fleet() const
{
    std::lock_guard<std::mutex> guard(m_lock);
    return m_fleet;
}

bool ReplicatedState::waitForRevision(std::uint64_t revision, Millis timeout) const
{
    std::unique_lock<std::mutex> guard(m_lock);
    return m_published.wait_for(guard, timeout.toChrono(), [&] { return m_fleet->revision >= revision; });
}

} // namespace celeryline
