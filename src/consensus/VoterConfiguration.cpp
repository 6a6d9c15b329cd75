#include "celeryline/consensus/VoterConfiguration.h"

#include "celeryline/base/ByteCodec.h"

#include <algorithm>

namespace celeryline {

bool VoterConfiguration::contains(const ReplicaId& replica) const
{
    return std::find(voters.begin(), voters.end(), replica) != voters.end();
}

const ReplicaId* VoterConfiguration::find(const std::string& name) const
{
    auto found
        = std::find_if(voters.begin(), voters.end(), [&](const ReplicaId& v) { return v.name == name; });
    return found == voters.end() ? nullptr : &*found;
}

std::string encodeConfiguration(const VoterConfiguration& configuration)
{
    std::string bytes;
    detail::appendInteger(bytes, static_cast<std::uint32_t>(configuration.voters.size()));
    for (const auto& voter : configuration.voters) {
        detail::appendString(bytes, voter.name);
        detail::appendString(bytes, voter.storageId);
    }
    return bytes;
}

VoterConfiguration decodeConfiguration(const std::string& bytes)
{
    detail::ByteReader reader(bytes, "voter configuration");
    VoterConfiguration configuration;
    auto count = reader.integer<std::uint32_t>();
    for (std::uint32_t i = 0; i < count; ++i) {
        auto name = reader.text();
        configuration.voters.push_back({ name, reader.text() });
    }
    return configuration;
}

} // namespace celeryline
