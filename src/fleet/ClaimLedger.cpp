#include "celeryline/fleet/ClaimLedger.h"

#include "celeryline/base/Base64.h"
#include "celeryline/base/ByteCoding.h"
#include "celeryline/base/Error.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>

#include <limits>
#include <sstream>

#include <xxhash.h>

namespace celeryline {

namespace {

/// Estimated memory use of an entry without its string contents, in bytes: list node, two index nodes and
/// string objects.
constexpr std::int64_t entryOverheadBytes = 400;
/// Limits the work of a single command when many entries expire at once.
constexpr int maxExpiredPerCommand = 1000;
constexpr std::uint64_t snapshotVersion = 0x31474c43; // "CLG1"

std::int64_t bytesOf(const LedgerEntry& e)
{
    return entryOverheadBytes
        + static_cast<std::int64_t>(2 * (e.service.size() + e.key.size()) + e.digest.size() + e.attempt.size()
            + e.owner.size() + e.instance.size() + e.answer.size());
}

std::string keyOf(const std::string& service, const std::string& key) { return service + '\n' + key; }

CommandResult acceptedResult(const Poco::JSON::Object& body)
{
    std::ostringstream text;
    body.stringify(text);
    CommandResult result;
    result.accepted = true;
    result.body = text.str();
    return result;
}

CommandResult rejectedResult(ErrorKind kind, const std::string& message)
{
    CommandResult result;
    result.errorKind = kind;
    result.body = message;
    return result;
}

CommandResult grantedResult()
{
    Poco::JSON::Object body;
    body.set("granted", true);
    return acceptedResult(body);
}

CommandResult notGrantedResult(const LedgerEntry& entry)
{
    Poco::JSON::Object body;
    body.set("granted", false);
    body.set("state", claimStateName(entry.state));
    body.set("status", entry.status);
    body.set("instance", entry.instance);
    if (entry.answerIndex > 0) {
        body.set("answer", toBase64(entry.answer));
    }
    return acceptedResult(body);
}

CommandResult digestConflict(const LedgerEntry& entry)
{
    return rejectedResult(ErrorKind::Conflict,
        "Idempotency-Key \"" + entry.key + "\" was used for a different request to \"" + entry.service
            + "\"; use a new key");
}

LedgerEntry readClaim(const Poco::JSON::Object& body)
{
    LedgerEntry claim;
    claim.service = body.getValue<std::string>("service");
    claim.key = body.getValue<std::string>("key");
    claim.digest = body.getValue<std::string>("digest");
    claim.attempt = body.getValue<std::string>("attempt");
    claim.owner = body.optValue<std::string>("owner", "");
    return claim;
}

ClaimState endStateOf(const std::string& name)
{
    for (const auto state : { ClaimState::NotRun, ClaimState::Done, ClaimState::Unknown }) {
        if (name == claimStateName(state)) {
            return state;
        }
    }
    throw Error(
        ErrorKind::InvalidInput, "there is no end state \"" + name + "\"", "use notRun, done or unknown");
}

} // namespace

const char* claimStateName(ClaimState state)
{
    switch (state) {
    case ClaimState::Begun:
        return "begun";
    case ClaimState::NotRun:
        return "notRun";
    case ClaimState::Done:
        return "done";
    case ClaimState::Unknown:
        return "unknown";
    }
    return "unknown";
}

ClaimLedger::ClaimLedger(const LedgerSettings& settings)
    : m_settings(settings)
{
}

CommandResult ClaimLedger::apply(std::uint64_t index, Millis entryTime, const Command& command)
{
    expire(entryTime);
    try {
        const auto body = Poco::JSON::Parser().parse(command.body).extract<Poco::JSON::Object::Ptr>();
        const auto op = body->getValue<std::string>("op");
        if (op == "claim") {
            return applyClaim(entryTime, *body);
        }
        if (op == "end") {
            return applyEnd(index, entryTime, *body);
        }
        return rejectedResult(ErrorKind::InvalidInput, "the ledger has no operation \"" + op + "\"");
    } catch (const Poco::Exception& e) {
        return rejectedResult(ErrorKind::InvalidInput, "malformed ledger command: " + e.displayText());
    } catch (const Error& e) {
        return rejectedResult(e.kind(), e.what());
    }
}

CommandResult ClaimLedger::applyClaim(Millis entryTime, const Poco::JSON::Object& body)
{
    auto claim = readClaim(body);
    claim.time = entryTime;
    const auto found = m_state.byKey.find(keyOf(claim.service, claim.key));
    if (found == m_state.byKey.end()) {
        if (static_cast<std::int64_t>(size()) >= m_settings.maxEntries
            || !evictAnswersToFit(bytesOf(claim))) {
            return rejectedResult(ErrorKind::LimitExceeded,
                "the ledger of non-repeatable requests is full; try again later or raise ledger.maxEntries "
                "and ledger.maxBytes");
        }
        insert(m_state, std::move(claim));
        return grantedResult();
    }
    auto& entry = *found->second;
    if (entry.digest != claim.digest) {
        return digestConflict(entry);
    }
    if (entry.state == ClaimState::Begun && entry.attempt == claim.attempt) {
        return grantedResult();
    }
    // If an attempt was released before its claim arrived, the late claim must not be granted.
    if (entry.state != ClaimState::NotRun || entry.attempt == claim.attempt) {
        return notGrantedResult(entry);
    }
    m_state.bytes -= bytesOf(entry);
    entry = std::move(claim);
    m_state.bytes += bytesOf(entry);
    m_state.entries.splice(m_state.entries.end(), m_state.entries, found->second);
    return grantedResult();
}

CommandResult ClaimLedger::applyEnd(std::uint64_t index, Millis entryTime, const Poco::JSON::Object& body)
{
    const auto claim = readClaim(body);
    const auto state = endStateOf(body.getValue<std::string>("state"));
    const auto found = m_state.byKey.find(keyOf(claim.service, claim.key));
    if (found == m_state.byKey.end()) {
        return state == ClaimState::NotRun
            ? recordEarlyRelease(entryTime, claim)
            : rejectedResult(ErrorKind::NotFound, "there is no claim for key \"" + claim.key + "\"");
    }
    const auto entry = found->second;
    if (entry->attempt != claim.attempt || (entry->state != ClaimState::Begun && entry->state != state)) {
        return rejectedResult(ErrorKind::Conflict,
            "key \"" + claim.key + "\" is " + claimStateName(entry->state) + " by attempt " + entry->attempt);
    }
    if (entry->state == ClaimState::Begun) {
        entry->state = state;
        entry->status = body.optValue<std::int32_t>("status", 0);
        m_state.bytes -= bytesOf(*entry);
        entry->instance = body.optValue<std::string>("instance", "");
        m_state.bytes += bytesOf(*entry);
        if (state == ClaimState::Done && body.has("answer")) {
            storeAnswer(index, entry, body.getValue<std::string>("answer"));
        }
    }
    return acceptedResult(Poco::JSON::Object());
}

CommandResult ClaimLedger::recordEarlyRelease(Millis entryTime, const LedgerEntry& claim)
{
    // The release has overtaken its claim. Without this entry the late claim would be granted although its
    // attempt has ended, and would block the key.
    LedgerEntry entry = claim;
    entry.state = ClaimState::NotRun;
    entry.time = entryTime;
    if (static_cast<std::int64_t>(size()) < m_settings.maxEntries && evictAnswersToFit(bytesOf(entry))) {
        insert(m_state, std::move(entry));
    }
    return acceptedResult(Poco::JSON::Object());
}

void ClaimLedger::storeAnswer(std::uint64_t index, Entries::iterator entry, const std::string& base64)
{
    auto answer = fromBase64(base64);
    const auto size = static_cast<std::int64_t>(answer.size());
    if (size > m_settings.maxAnswerBytes || !evictAnswersToFit(size)) {
        return;
    }
    entry->answer = std::move(answer);
    entry->answerIndex = index;
    m_state.bytes += size;
    m_state.answers.emplace(index, entry);
}

void ClaimLedger::expire(Millis entryTime)
{
    for (int i = 0; i < maxExpiredPerCommand && !m_state.entries.empty(); ++i) {
        const auto oldest = m_state.entries.begin();
        if (oldest->time + m_settings.retention > entryTime) {
            break;
        }
        dropAnswer(oldest);
        m_state.bytes -= bytesOf(*oldest);
        m_state.byKey.erase(keyOf(oldest->service, oldest->key));
        m_state.entries.erase(oldest);
    }
}

bool ClaimLedger::evictAnswersToFit(std::int64_t needed)
{
    while (m_state.bytes + needed > m_settings.maxBytes && !m_state.answers.empty()) {
        dropAnswer(m_state.answers.begin()->second);
    }
    return m_state.bytes + needed <= m_settings.maxBytes;
}

void ClaimLedger::dropAnswer(Entries::iterator entry)
{
    if (entry->answerIndex == 0) {
        return;
    }
    m_state.answers.erase(entry->answerIndex);
    m_state.bytes -= static_cast<std::int64_t>(entry->answer.size());
    entry->answer = std::string();
    entry->answerIndex = 0;
}

void ClaimLedger::insert(State& state, LedgerEntry entry)
{
    state.bytes += bytesOf(entry);
    state.entries.push_back(std::move(entry));
    const auto inserted = std::prev(state.entries.end());
    state.byKey.emplace(keyOf(inserted->service, inserted->key), inserted);
    if (inserted->answerIndex > 0) {
        state.answers.emplace(inserted->answerIndex, inserted);
    }
}

std::string ClaimLedger::takeSnapshot() const
{
    ByteWriter writer;
    writer.number(snapshotVersion);
    writer.number(m_state.entries.size());
    for (const auto& e : m_state.entries) {
        for (const auto* text :
            { &e.service, &e.key, &e.digest, &e.attempt, &e.owner, &e.instance, &e.answer }) {
            writer.text(*text);
        }
        writer.number(static_cast<std::uint64_t>(e.state));
        writer.number(static_cast<std::uint64_t>(e.status));
        writer.number(static_cast<std::uint64_t>(e.time.count));
        writer.number(e.answerIndex);
    }
    const auto checksum = XXH64(writer.bytes().data(), writer.bytes().size(), 0);
    writer.number(checksum);
    return writer.bytes();
}

void ClaimLedger::restoreSnapshot(const std::string& bytes)
{
    const Error corrupt(ErrorKind::Corrupt, "the ledger snapshot is corrupt",
        "empty the data folder of this instance, so that it restores its state from another one");
    if (bytes.size() < 24) { // Version, number of entries and checksum.
        throw corrupt;
    }
    const auto content = bytes.substr(0, bytes.size() - 8);
    const auto trailer = bytes.substr(bytes.size() - 8);
    ByteReader reader(content);
    if (ByteReader(trailer).number() != XXH64(content.data(), content.size(), 0)
        || reader.number() != snapshotVersion) {
        throw corrupt;
    }
    State state;
    for (auto remaining = reader.number(); remaining > 0; --remaining) {
        LedgerEntry e;
        for (auto* text : { &e.service, &e.key, &e.digest, &e.attempt, &e.owner, &e.instance, &e.answer }) {
            *text = reader.text();
        }
        e.state = static_cast<ClaimState>(reader.number());
        e.status = static_cast<std::int32_t>(reader.number());
        e.time.count = static_cast<std::int64_t>(reader.number());
        e.answerIndex = reader.number();
        insert(state, std::move(e));
    }
    if (!reader.atEnd()) {
        throw corrupt;
    }
    m_state = std::move(state);
}

} // namespace celeryline
