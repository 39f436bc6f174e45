#include "state/configfold.h"
#include "state/snapshotter.h"
#include "state/testing/simulatedlog.h"

#include <doctest/doctest.h>

#include <map>

using namespace Catkin;

namespace
{

constexpr auto retention = Seconds{8 * 3600};

auto change(std::int64_t base, const std::string &id) -> ConfigChange
{
    return {.version = {base + 1}, .base = {base}, .id = id, .author = "ana", .document = "{\"format\":1,\"id\":\"" + id + "\"}"};
}

/// An instance that reads the stream and appends changes and snapshots built from its own fold.
struct Builder
{
    ConfigFold fold;
    Snapshotter snapshotter;
    ConfigVersion highest; ///< highest version that has been in force on this instance

    explicit Builder(const std::string &name)
        : snapshotter(InstanceId{name}, {.retention = retention})
    {
    }
};

}

// Guards against instances that accept different documents as the same version, and against a version in force that goes back.
TEST_CASE("all readers commit the same version, the version in force never goes back, and each version has one change")
{
    auto lateStarts = 0;
    for (auto seed = 1U; seed <= seedCount(); ++seed) {
        CAPTURE(seed);
        auto random = Random{seed};
        auto log = SimulatedLog{.retention = retention};
        const auto names = std::vector<std::string>{"i-1", "i-2", "i-3"};
        auto builders = std::vector<Builder>{Builder{"i-1"}, Builder{"i-2"}, Builder{"i-3"}};
        auto acceptedChanges = std::map<std::int64_t, std::string>{};
        auto nextId = 0;
        for (auto step = 0; step < 1500; ++step) {
            log.advance(Millis{uniform(random, 240'000)});
            auto &self = builders[uniform(random, 3)];
            if (uniform(random, 60) == 0) {
                self.fold.restart(log.first());
            }
            readLog(self.fold, log, {std::max(self.fold.next().value, log.end().value - uniform(random, 4))});
            const auto &other = builders[uniform(random, 3)];
            if (other.fold.current() != nullptr && uniform(random, 3) == 0) {
                self.fold.offer(*other.fold.current());
            }
            const auto longest = Seconds{uniform(random, 20) == 0 ? 3000 : 300};
            if (self.fold.committed() != nullptr && uniform(random, 4) == 0) {
                const auto id = "c-" + std::to_string(nextId++);
                log.appendLater(random, encodeRecord(ConfigRecord{*self.fold.makeChange(id, "ana", "{}")}), longest);
            } else if (uniform(random, 30) == 0) {
                log.append("[]");
            }
            if (const auto snapshot = self.snapshotter.configSnapshot(self.fold, names, log.now)) {
                log.appendLater(random, encodeRecord(ConfigRecord{*snapshot}), longest);
            }
            for (auto &it : builders) {
                if (const auto *current = it.fold.current()) {
                    REQUIRE(current->version >= it.highest);
                    it.highest = current->version;
                    REQUIRE(acceptedChanges.try_emplace(current->version.value, current->id).first->second == current->id);
                }
            }
            if (step % 50 == 49) {
                const auto whole = foldFrom<ConfigFold>(log, {0}, ConfigFoldOptions{});
                const auto late = foldFrom<ConfigFold>(log, log.first(), ConfigFoldOptions{});
                REQUIRE(whole.committed() != nullptr);
                REQUIRE(late.committed() != nullptr);
                REQUIRE(*late.committed() == *whole.committed());
                lateStarts += log.first().value > 0 ? 1 : 0;
            }
        }
    }
    CHECK(lateStarts > 20);
}

TEST_CASE("result() reports each change as accepted, rejected or pending, also after a repeated append")
{
    auto fold = ConfigFold{};
    fold.restart({0});
    fold.apply({0}, {}, ConfigRecord{change(0, "a")});
    fold.apply({1}, {}, ConfigRecord{change(0, "b")});
    fold.apply({2}, {}, ConfigRecord{change(0, "a")}); // the append of "a", repeated
    CHECK(fold.result("a").outcome == ChangeOutcome::Accepted);
    CHECK(fold.result("a").version == ConfigVersion{1});
    CHECK(fold.result("b").outcome == ChangeOutcome::Rejected);
    CHECK(fold.result("b").version == ConfigVersion{1});
    CHECK(fold.result("c").outcome == ChangeOutcome::Pending);
    // A change whose version is not base + 1 would raise the version by more than the number of changes.
    auto skip = change(1, "d");
    skip.version = {9};
    fold.apply({3}, {}, ConfigRecord{skip});
    CHECK(fold.result("d").outcome == ChangeOutcome::Rejected);
}

TEST_CASE("an offer never replaces a newer version and never becomes the base of a change")
{
    auto fold = ConfigFold{};
    fold.restart({40});
    CHECK(fold.committed() == nullptr);
    CHECK(fold.offer({{7}, "x", "ana", "{}"}));
    CHECK_FALSE(fold.offer({{6}, "w", "ana", "{}"}));
    REQUIRE(fold.current() != nullptr);
    CHECK(fold.current()->id == "x");
    fold.apply({40}, {}, ConfigRecord{change(6, "late")});
    CHECK(fold.current()->id == "x");
    // The snapshot was built before this reader's start, so a change in between may have been missed.
    fold.apply({41}, {}, ConfigRecord{ConfigSnapshot{{8}, "y", "ana", "{}", {39}}});
    CHECK(fold.committed() == nullptr);
    CHECK(fold.current()->id == "y");
    fold.apply({42}, {}, ConfigRecord{change(8, "z")});
    fold.apply({43}, {}, ConfigRecord{ConfigSnapshot{{8}, "y", "ana", "{}", {42}}});
    REQUIRE(fold.committed() != nullptr);
    CHECK(fold.committed()->id == "z");
    CHECK(fold.committed()->version == ConfigVersion{9});
}
