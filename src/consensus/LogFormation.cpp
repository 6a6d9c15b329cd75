#include "celeryline/consensus/LogFormation.h"

#include "celeryline/base/ByteCodec.h"
#include "celeryline/consensus/VoterConfiguration.h"
#include "celeryline/settings/Logging.h"

#include <random>

namespace celeryline {

std::string encodeFormation(const LogEntry& entry)
{
    std::string bytes;
    detail::appendInteger(bytes, entry.term);
    detail::appendString(bytes, entry.payload);
    return bytes;
}

LogEntry decodeFormation(const std::string& bytes)
{
    detail::ByteReader reader(bytes, "formation of the log");
    LogEntry entry;
    entry.index = 1;
    entry.kind = LogEntryKind::Configuration;
    entry.term = reader.integer<std::uint64_t>();
    entry.payload = reader.text();
    return entry;
}

std::optional<LogEntry> collectFormation(
    const Hello& own, const std::vector<std::string>& voters, PeerTransport* transport, Millis timeout)
{
    VoterConfiguration configuration;
    for (const auto& name : voters) {
        if (name == own.name) {
            configuration.voters.push_back({ own.name, own.storageId });
            continue;
        }
        if (transport == nullptr)
            return std::nullopt;
        try {
            auto answer = transport->hello(name, own, timeout);
            if (answer.hasLog || answer.storageId.empty())
                return std::nullopt;
            configuration.voters.push_back({ name, answer.storageId });
        } catch (const Error& e) {
            LOG4CXX_DEBUG(logger("consensus"), "voter " << name << " is not reachable yet: " << e.what());
            return std::nullopt;
        }
    }
    return makeFirstEntry(configuration);
}

LogEntry makeFirstEntry(const VoterConfiguration& configuration)
{
    LogEntry entry;
    entry.index = 1;
    entry.kind = LogEntryKind::Configuration;
    // If a founder loses its disk during formation, its second formation must be distinguishable from the
    // first: Raft assumes that entries with equal index and term are equal.
    std::random_device random;
    entry.term = std::uniform_int_distribution<std::uint64_t>(1, 1000000)(random);
    entry.payload = encodeConfiguration(configuration);
    return entry;
}

void distributeFormation(const Hello& own, const LogEntry& entry, PeerTransport& transport, Millis timeout)
{
    auto message = own;
    message.formation = encodeFormation(entry);
    for (const auto& voter : decodeConfiguration(entry.payload).voters) {
        if (voter.name == own.name)
            continue;
        try {
            transport.hello(voter.name, message, timeout);
        } catch (const Error& e) {
            LOG4CXX_DEBUG(logger("consensus"),
                "voter " << voter.name << " could not be sent the first log entry yet: " << e.what());
        }
    }
}

} // namespace celeryline
