#include "util/rendezvous.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace Catkin;

TEST_CASE("the owner does not depend on the order of the candidates")
{
    auto candidates = std::vector<std::string>{"i-1", "i-2", "i-3", "i-4"};
    const auto owner = candidates[*rendezvousOwner("domain/oviedo", candidates)];
    std::reverse(candidates.begin(), candidates.end());
    CHECK(candidates[*rendezvousOwner("domain/oviedo", candidates)] == owner);
}

TEST_CASE("when a candidate is lost, only the keys that it owned get another owner")
{
    const auto all = std::vector<std::string>{"i-1", "i-2", "i-3", "i-4"};
    const auto rest = std::vector<std::string>{"i-1", "i-2", "i-3"};
    for (auto i = 0; i < 1000; ++i) {
        const auto key = "job-" + std::to_string(i);
        const auto &before = all[*rendezvousOwner(key, all)];
        if (before != "i-4") {
            CHECK(rest[*rendezvousOwner(key, rest)] == before);
        }
    }
    CHECK_FALSE(rendezvousOwner("key", {}).has_value());
}
