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
        // Equal scores are resolved by name, so that the order of the candidates does not matter.
        if (!best || score > bestScore || (score == bestScore && candidates[i] < candidates[*best])) {
            best = i;
            bestScore = score;
        }
    }
    return best;
}

}
