#include "policy/fairqueue.h"
#include "util/random.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>

using namespace Catkin;

namespace
{

struct Item : FairItem
{
    int id = 0;
    std::string owner;
    Micros cost{0};
};

/// A queue with its items; the items outlive the queue.
struct QueueWithItems
{
    explicit QueueWithItems(const FairQueueOptions &options)
        : queue(options)
    {
    }

    std::deque<std::unique_ptr<Item>> items;
    FairQueue queue;

    auto push(const std::string &workspace, const std::string &kind, const std::string &caller, Micros cost) -> Item &
    {
        auto &item = *items.emplace_back(std::make_unique<Item>());
        item.id = static_cast<int>(items.size());
        item.owner = workspace + "/" + kind + "/" + caller;
        item.cost = cost;
        queue.push(queue.caller(WorkspaceId{workspace}, KindId{kind}, CallerId{caller}), item);
        return item;
    }
};

auto twoByTwo(double urgentShare) -> RequestConfig
{
    return {{{.id = WorkspaceId{"a"}, .weight = 1, .urgentShare = urgentShare}, {.id = WorkspaceId{"b"}, .weight = 3, .urgentShare = urgentShare}},
            {{.id = KindId{"check"}, .weight = 1, .urgency = RequestUrgency::Urgent}, {.id = KindId{"batch"}, .weight = 1}}};
}

/// Serves up to @p rounds items, one at a time.
/// @param onServed called with each served item
/// @return the cost served, by Item::owner.
auto serve(FairQueue &queue, int rounds, const std::function<void(const Item &)> &onServed) -> std::map<std::string, double>
{
    auto served = std::map<std::string, double>{};
    auto now = MonoTime{Seconds{1}};
    for (auto i = 0; i < rounds && !queue.empty(); ++i) {
        auto &item = *static_cast<Item *>(queue.front());
        queue.take(item);
        now += item.cost;
        queue.settle(item, item.cost, now);
        served[item.owner] += static_cast<double>(item.cost.count());
        onServed(item);
    }
    return served;
}

}

// Guards against shares that depend on the number of requests or callers instead of weight and measured cost.
TEST_CASE("backlogged callers get service by weight, independent of the cost of their requests and the number of callers")
{
    auto fixture = QueueWithItems{{}};
    auto &queue = fixture.queue;
    queue.configure(twoByTwo(0));
    auto cost = [](const std::string &owner) { return owner == "a/batch/heavy" ? Micros{40000} : owner.starts_with("a/") ? Micros{5000} : Micros{20000}; };
    auto push = [&](const std::string &w, const std::string &c) { fixture.push(w, "batch", c, cost(w + "/batch/" + c)); };
    for (auto i = 0; i < 200; ++i) {
        push("a", "heavy");
        push("a", "small-1");
        push("b", "one");
    }
    const auto served = serve(queue, 6000, [&](const Item &item) { push(item.owner.substr(0, 1), item.owner.substr(8)); });
    const auto total = served.at("a/batch/heavy") + served.at("a/batch/small-1") + served.at("b/batch/one");
    CHECK(served.at("b/batch/one") / total == doctest::Approx(0.75).epsilon(0.03));
    CHECK(served.at("a/batch/heavy") / total == doctest::Approx(0.125).epsilon(0.05));
    CHECK(served.at("a/batch/small-1") / total == doctest::Approx(0.125).epsilon(0.05));
}

// Guards against a flood of urgent requests that takes all service of its workspace, or service of another one.
TEST_CASE("urgent kinds are served first only up to the urgent share")
{
    struct Case
    {
        double urgentShare;
        double expected; ///< fraction of workspace a's service for the urgent kind; the weights alone give one half
    };
    for (const auto &it : {Case{0, 0.5}, Case{0.3, 0.5}, Case{0.8, 0.8}}) {
        CAPTURE(it.urgentShare);
        auto fixture = QueueWithItems{{.urgentBurst = Micros{50000}}};
        auto &queue = fixture.queue;
        queue.configure(twoByTwo(it.urgentShare));
        auto push = [&](const std::string &w, const std::string &k) { fixture.push(w, k, "c", Micros{10000}); };
        for (auto i = 0; i < 100; ++i) {
            push("a", "check");
            push("a", "batch");
            push("b", "batch");
        }
        const auto served = serve(queue, 4000, [&](const Item &item) { push(item.owner.substr(0, 1), item.owner.substr(2, 5)); });
        const auto a = served.at("a/check/c") + served.at("a/batch/c");
        CHECK(served.at("a/check/c") / a == doctest::Approx(it.expected).epsilon(0.05));
        CHECK(a / (a + served.at("b/batch/c")) == doctest::Approx(0.25).epsilon(0.05));
    }
}

// Guards against a start tag of a new caller that is too low, so that it would be served first until it has caught up with a
// flood, or too high, so that it would wait until the flood has been served.
TEST_CASE("a caller that becomes active during a flood gets an equal share at once")
{
    auto fixture = QueueWithItems{{}};
    auto &queue = fixture.queue;
    queue.configure(twoByTwo(0));
    for (auto i = 0; i < 1000; ++i) {
        fixture.push("a", "batch", "flood", Micros{10000});
    }
    serve(queue, 500, [](const Item &) {});
    for (auto i = 0; i < 50; ++i) {
        fixture.push("a", "batch", "late", Micros{10000});
    }
    const auto served = serve(queue, 40, [](const Item &) {});
    CHECK(served.at("a/batch/late") == doctest::Approx(200000).epsilon(0.11));
    CHECK(served.at("a/batch/flood") == doctest::Approx(200000).epsilon(0.11));
}

// Guards against counts, tags and idle lists that become inconsistent in some order of operations.
TEST_CASE("after random operations each caller's items are served in order and none is lost")
{
    for (auto seed = std::uint64_t{1}; seed <= 20; ++seed) {
        auto random = Random{seed};
        auto fixture = QueueWithItems{{.maxIdleCallers = 4}};
        auto &queue = fixture.queue;
        queue.configure(twoByTwo(0.3));
        auto waiting = std::map<std::string, std::deque<Item *>>{}; // reference: one list for each caller
        auto inService = std::vector<Item *>{};
        auto queued = 0;
        auto now = MonoTime{Seconds{1}};
        for (auto step = 0; step < 2000; ++step) {
            now += Micros{uniform(random, 2000)};
            const auto action = uniform(random, 10);
            if (action < 4) {
                auto &item = fixture.push(uniform(random, 2) == 0 ? "a" : "b",
                                          uniform(random, 2) == 0 ? "check" : "batch",
                                          std::to_string(uniform(random, 8)),
                                          Micros{1 + uniform(random, 50000)});
                waiting[item.owner].push_back(&item);
                ++queued;
            } else if (action < 7 && queued > 0) {
                auto *item = static_cast<Item *>(queue.front());
                REQUIRE(item != nullptr);
                REQUIRE(waiting[item->owner].front() == item);
                waiting[item->owner].pop_front();
                queue.take(*item);
                inService.push_back(item);
                --queued;
            } else if (action < 9 && !inService.empty()) {
                const auto n = uniform(random, static_cast<std::uint32_t>(inService.size()));
                queue.settle(*inService[n], uniform(random, 4) == 0 ? Micros{0} : inService[n]->cost, now);
                inService.erase(inService.begin() + n);
            } else if (queued > 0) {
                auto &list = std::find_if(waiting.begin(), waiting.end(), [](const auto &it) { return !it.second.empty(); })->second;
                const auto n = uniform(random, static_cast<std::uint32_t>(list.size()));
                queue.remove(*list[n]);
                list.erase(list.begin() + n);
                --queued;
            }
            if (step % 100 == 0) {
                queue.configure(twoByTwo(step % 200 == 0 ? 0.3 : 0));
            }
            REQUIRE(queue.queued() == queued);
        }
        while (auto *item = queue.front()) {
            queue.take(*item);
            queue.settle(*static_cast<Item *>(item), Micros{1}, now);
            --queued;
        }
        CHECK(queued == 0);
        for (auto *item : inService) {
            queue.settle(*item, item->cost, now);
        }
        queue.configure({});
        auto busy = 0;
        queue.forEachCaller([&](const auto &, const auto *) { ++busy; });
        CHECK(busy == 0);
    }
}

// Guards against refusals of other callers because of the backlog of a flooding one.
TEST_CASE("the expected wait depends on the caller's own backlog, not on a larger one of another caller")
{
    auto fixture = QueueWithItems{{.initialCost = Micros{10000}}};
    auto &queue = fixture.queue;
    queue.configure(twoByTwo(0));
    for (auto i = 0; i < 1000; ++i) {
        fixture.push("a", "batch", "flood", Micros{10000});
    }
    const auto now = MonoTime{Seconds{1}};
    auto &flood = queue.caller(WorkspaceId{"a"}, KindId{"batch"}, CallerId{"flood"});
    CHECK(queue.expectedWait(flood, 10, now) == Micros{1000000});
    auto &small = queue.caller(WorkspaceId{"a"}, KindId{"batch"}, CallerId{"small"});
    CHECK(queue.expectedWait(small, 10, now) == Micros{2000});
    auto &other = queue.caller(WorkspaceId{"b"}, KindId{"batch"}, CallerId{"flood"});
    CHECK(queue.expectedWait(other, 10, now) == Micros{0});
}
