#pragma once

/// Mean and spread of samples that are exponentially forgotten.
///
/// @code
///   auto sums = Catkin::DecayedSums{};
///   Catkin::addSample(sums, 0.3, 1.0, now);
///   const auto present = Catkin::decayedTo(sums, later);
///   use(Catkin::meanOf(present), Catkin::varianceOf(present), present.weight);
/// @endcode

#include "util/units.h"

namespace Catkin
{

/// After this time a sample counts half.
constexpr auto sampleHalfLife = Seconds{60};

struct DecayedSums
{
    double weight = 0.0;
    double sum = 0.0;
    double squares = 0.0;
    MonoTime at; ///< the sums are as of then
};

auto addSample(DecayedSums &sums, double value, double weight, MonoTime now) -> void;

/// @return the sums as of @p now; as they are when @p now is not later.
auto decayedTo(const DecayedSums &sums, MonoTime now) -> DecayedSums;

/// @param part samples that are contained in @p whole; both as of the same time
auto withoutPart(const DecayedSums &whole, const DecayedSums &part) -> DecayedSums;

/// @return 0 without samples.
auto meanOf(const DecayedSums &sums) -> double;
/// @return 0 without samples.
auto varianceOf(const DecayedSums &sums) -> double;

}
