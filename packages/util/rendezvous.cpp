#include "util/rendezvous.h"

#include "util/digest.h"

#include <cstdint>

namespace Catkin
{

auto rendezvousOwner(std::string_view key, std::span<const std::string> candidates) -> std::optional<std::size_t>
{
    auto best = std::optional<std::size_t>{};
    auto bestScore = std::uint64_t{0};
    for (auto i = std::size_t{0}; i < candidates.size(); ++i) {
        const auto score = xxh64(candidates[i] + '\n' + std::string(key));
        // Ties are broken by name, so that the result does not depend on the order of the candidates.
        if (!best || score > bestScore || (score == bestScore && candidates[i] < candidates[*best])) {
            best = i;
            bestScore = score;
        }
    }
    return best;
}

}
