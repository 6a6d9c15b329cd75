#include "celeryline/control/ReplicaNames.h"

#include <algorithm>

namespace celeryline {
namespace {

constexpr std::size_t maxListedItems = 12;
constexpr std::size_t storageIdPrefixLength = 8;

} // namespace

std::string joinBounded(const std::vector<std::string>& items)
{
    std::string text;
    auto listed = std::min(items.size(), maxListedItems);
    for (std::size_t i = 0; i < listed; ++i)
        text += (i == 0 ? "" : ",") + items[i];
    if (listed < items.size())
        text += ",+" + std::to_string(items.size() - listed);
    return text;
}

std::string voterNames(const VoterConfiguration& configuration)
{
    std::vector<std::string> names;
    for (const auto& voter : configuration.voters)
        names.push_back(voter.name);
    return joinBounded(names);
}

std::string describe(const ReplicaId& replica)
{
    if (replica.storageId.empty())
        return replica.name;
    return replica.name + "/" + replica.storageId.substr(0, storageIdPrefixLength);
}

std::string votersMissingIn(const VoterConfiguration& other, const VoterConfiguration& configuration)
{
    std::vector<std::string> missing;
    for (const auto& voter : configuration.voters) {
        if (!other.contains(voter))
            missing.push_back(describe(voter));
    }
    return joinBounded(missing);
}

} // namespace celeryline
