/// @file
/// Bounded text forms of replicas for log lines.
#pragma once

#include "celeryline/consensus/VoterConfiguration.h"

#include <string>
#include <vector>

namespace celeryline {

/// @param items texts to list.
/// @return the texts, separated by commas. Beyond a dozen only the number of the others is given, so that a
/// log line has a bounded length.
std::string joinBounded(const std::vector<std::string>& items);

/// @return the names of the voters, separated by commas.
std::string voterNames(const VoterConfiguration& configuration);

/// @return the name of a replica with the beginning of its storage id, which tells an instance from one with
/// the same name and an earlier disk.
std::string describe(const ReplicaId& replica);

/// @return the voters of one configuration that another one lacks, separated by commas.
std::string votersMissingIn(const VoterConfiguration& other, const VoterConfiguration& configuration);

} // namespace celeryline
