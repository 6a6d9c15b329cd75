#include "celeryline/base/EditDistance.h"

#include <algorithm>
#include <numeric>

namespace celeryline {

std::size_t editDistance(const std::string& a, const std::string& b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            std::size_t substitution = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({ row[j] + 1, row[j - 1] + 1, substitution });
        }
    }
    return row[b.size()];
}

std::string closestMatch(const std::string& name, const std::vector<std::string>& candidates)
{
    std::string best;
    std::size_t bestDistance = 0;
    for (const auto& candidate : candidates) {
        std::size_t distance = editDistance(name, candidate);
        if (best.empty() || distance < bestDistance) {
            best = candidate;
            bestDistance = distance;
        }
    }
    return best;
}

} // namespace celeryline
