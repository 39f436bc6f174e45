#include "policy/decayedsums.h"

#include <algorithm>
#include <cmath>

namespace Catkin
{

auto decayedTo(const DecayedSums &sums, MonoTime now) -> DecayedSums
{
    if (now <= sums.at) {
        return sums;
    }
    const auto factor = std::exp2(-std::chrono::duration<double>(now - sums.at) / std::chrono::duration<double>(sampleHalfLife));
    return {.weight = sums.weight * factor, .sum = sums.sum * factor, .squares = sums.squares * factor, .at = now};
}

auto addSample(DecayedSums &sums, double value, double weight, MonoTime now) -> void
{
    sums = decayedTo(sums, now);
    sums.weight += weight;
    sums.sum += weight * value;
    sums.squares += weight * value * value;
}

auto withoutPart(const DecayedSums &whole, const DecayedSums &part) -> DecayedSums
{
    return {.weight = std::max(0.0, whole.weight - part.weight), .sum = whole.sum - part.sum, .squares = whole.squares - part.squares, .at = whole.at};
}

auto meanOf(const DecayedSums &sums) -> double
{
    return sums.weight > 0.0 ? sums.sum / sums.weight : 0.0;
}

auto varianceOf(const DecayedSums &sums) -> double
{
    const auto mean = meanOf(sums);
    return sums.weight > 0.0 ? std::max(0.0, sums.squares / sums.weight - mean * mean) : 0.0;
}

}
