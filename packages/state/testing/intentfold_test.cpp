#include "state/intentfold.h"
#include "state/testing/simulatedlog.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace Catkin;

namespace
{

constexpr auto options = IntentFoldOptions{.window = Seconds{3600}, .maxAhead = Seconds{10}};

struct Attempt
{
    RequestKey key;
    RequestId id;
    bool dispatched = false;
    bool intentRead = false; ///< whether its instance has read the intent of this attempt
};

/// An instance that serves requests as the daemon does: it dispatches an attempt only while the attempt's intent owns the key.
struct Builder
{
    InstanceId id;
    IntentFold fold;
    std::vector<Attempt> open;
};

auto sameStatus(const KeyStatus &a, const KeyStatus &b) -> bool
{
    const auto sameAnswer = (a.answer == nullptr) == (b.answer == nullptr) && (a.answer == nullptr || *a.answer == *b.answer);
    return a.state == b.state && a.attempt == b.attempt && a.instance == b.instance && a.result == b.result && sameAnswer;
}

auto hasRead(const Builder &self, const SimulatedLog &log, const std::string &intent) -> bool
{
    const auto end = log.records.begin() + self.fold.next().value;
    return std::any_of(log.records.begin(), end, [&](const auto &it) { return it.data == intent; });
}

}

// Guards against a request that is dispatched twice: by two instances, by an instance before and after a restart, or because
// two instances started reading at different offsets.
TEST_CASE("a key is dispatched at most once, and all readers that cover a key report the same status")
{
    auto dispatchedTotal = std::size_t{0};
    auto comparedLate = 0;
    for (auto seed = 1U; seed <= seedCount(); ++seed) {
        CAPTURE(seed);
        auto random = Random{seed};
        auto log = SimulatedLog{.retention = Seconds{2 * 3600}};
        // The last instance keeps 5 keys only, so it removes keys that the others still have.
        auto small = options;
        small.maxKeys = 5;
        auto builders = std::vector<Builder>{
            {InstanceId{"i-1"}, IntentFold{options}, {}}, {InstanceId{"i-2"}, IntentFold{options}, {}}, {InstanceId{"i-3"}, IntentFold{small}, {}}};
        auto keys = std::vector<RequestKey>{};
        auto dispatched = std::set<RequestKey>{};
        auto nextId = 0;
        for (auto step = 0; step < 800; ++step) {
            log.advance(Millis{uniform(random, 60'000)});
            auto &self = builders[uniform(random, 3)];
            if (uniform(random, 60) == 0) {
                self.open.clear();
                self.fold.restart(log.first());
            }
            readLog(self.fold, log, {std::max(self.fold.next().value, log.end().value - uniform(random, 3))});
            if (uniform(random, 2) == 0) {
                if (keys.empty() || uniform(random, 3) == 0) {
                    const auto sent = log.now - Millis{uniform(random, 60'000)} + Millis{uniform(random, 12'000)};
                    keys.push_back({WorkspaceId{"w"}, IdempotencyKey{"k-" + std::to_string(keys.size() % 7)}, sent});
                }
                const auto recent = std::min<std::size_t>(keys.size(), 12);
                const auto &key = keys[keys.size() - 1 - uniform(random, static_cast<std::uint32_t>(recent))];
                if (self.fold.lookup(key).state == KeyState::Free) {
                    self.open.push_back({key, RequestId{"a-" + std::to_string(nextId++)}});
                    const auto &it = self.open.back();
                    log.appendLater(random, encodeRecord(RequestRecord{IntentRecord{key, it.id, self.id}}), Seconds{uniform(random, 10) == 0 ? 5000 : 20});
                }
            }
            for (auto i = std::size_t{0}; i < self.open.size();) {
                auto &it = self.open[i];
                it.intentRead = it.intentRead || hasRead(self, log, encodeRecord(RequestRecord{IntentRecord{it.key, it.id, self.id}}));
                const auto status = self.fold.lookup(it.key);
                auto finished = false;
                if (it.dispatched && uniform(random, 4) == 0) {
                    log.appendLater(random,
                                    encodeRecord(RequestRecord{DoneRecord{it.key, it.id, self.id, LoggedOutcome::Answer, true, "answer " + it.id.str()}}),
                                    Seconds{20});
                    finished = true;
                } else if (!it.dispatched && it.intentRead && status.state == KeyState::Owned && status.attempt == it.id && uniform(random, 3) != 0) {
                    REQUIRE(dispatched.insert(it.key).second);
                    it.dispatched = true;
                } else if (!it.dispatched && uniform(random, 8) == 0) {
                    log.appendLater(random, encodeRecord(RequestRecord{VoidRecord{it.key, it.id, self.id}}), Seconds{20});
                    finished = true;
                }
                if (finished) {
                    self.open.erase(self.open.begin() + static_cast<std::ptrdiff_t>(i));
                } else {
                    ++i;
                }
            }
            if (step % 50 == 49) {
                const auto whole = foldFrom<IntentFold>(log, {0}, options);
                const auto late = foldFrom<IntentFold>(log, log.first(), options);
                for (const auto &key : keys) {
                    if (late.covers(key.firstSent)) {
                        REQUIRE(sameStatus(late.lookup(key), whole.lookup(key)));
                        comparedLate += log.first().value > 0 && whole.lookup(key).state != KeyState::Expired ? 1 : 0;
                    }
                }
            }
        }
        dispatchedTotal += dispatched.size();
    }
    CHECK(dispatchedTotal > 100);
    CHECK(comparedLate > 100);
}

// Each case names the failure that it guards against.
TEST_CASE("intent, void and done records change the owner and state of one key only as the rules allow")
{
    const auto now = WallTime{Millis{1'700'000'000'000}};
    const auto key = RequestKey{WorkspaceId{"w"}, IdempotencyKey{"k"}, now};
    const auto intent = [&](const char *id, const char *instance) { return RequestRecord{IntentRecord{key, RequestId{id}, InstanceId{instance}}}; };
    const auto voided = [&](const char *id, const char *instance) { return RequestRecord{VoidRecord{key, RequestId{id}, InstanceId{instance}}}; };
    const auto done = [&](const char *id) { return RequestRecord{DoneRecord{key, RequestId{id}, InstanceId{"i"}, LoggedOutcome::Answer, true, "yes"}}; };
    struct Case
    {
        const char *failure;
        std::vector<RequestRecord> records;
        KeyState state;
        const char *owner;
    };
    const auto cases = std::vector<Case>{
        {"the second intent owns the key", {intent("a", "i"), intent("b", "j")}, KeyState::Owned, "a"},
        {"a voided attempt keeps the key", {intent("a", "i"), intent("b", "j"), voided("a", "i")}, KeyState::Owned, "b"},
        {"an instance voids the attempt of another instance", {intent("a", "i"), voided("a", "j")}, KeyState::Owned, "a"},
        {"a key whose only attempt was voided is not free", {intent("a", "i"), voided("a", "i")}, KeyState::Free, ""},
        {"an attempt that does not own the key reports the outcome", {intent("a", "i"), intent("b", "j"), done("b")}, KeyState::Owned, "a"},
        {"an attempt is voided after it reported its outcome", {intent("a", "i"), done("a"), voided("a", "i")}, KeyState::Done, "a"},
        {"a repeated intent still owns the key after its void", {intent("a", "i"), intent("a", "i"), voided("a", "i")}, KeyState::Free, ""},
    };
    for (const auto &it : cases) {
        CAPTURE(std::string(it.failure));
        auto fold = IntentFold{options};
        auto offset = std::int64_t{0};
        for (const auto &record : it.records) {
            fold.apply({offset++}, now, record);
        }
        CHECK(fold.lookup(key).state == it.state);
        CHECK(fold.lookup(key).attempt.str() == it.owner);
    }
    auto fold = IntentFold{options};
    fold.apply({0}, now + Seconds{3601}, intent("a", "i")); // stored 3,601 s after first_sent, 1 s after the window
    fold.apply({1}, now, intent("b", "i")); // the log's clock stepped back
    CHECK(fold.lookup(key).state == KeyState::Expired);
    CHECK(fold.lookup({key.workspace, key.key, WallTime::max()}).state == KeyState::Expired);
    fold.restart({5});
    CHECK(fold.lookup(key).state == KeyState::NotCovered);
    fold.apply({5}, now - Seconds{11}, "unreadable");
    CHECK(fold.lookup(key).state == KeyState::Free);
    CHECK_FALSE(fold.coversWindow(now));
    CHECK(fold.coversWindow(now + Seconds{3600}));
}

TEST_CASE("above maxKeys the oldest keys count as expired, above maxAnswerBytes the oldest answers are dropped")
{
    auto bounded = options;
    bounded.maxKeys = 50;
    bounded.maxAnswerBytes = 1000;
    auto fold = IntentFold{bounded};
    const auto start = WallTime{Millis{1'700'000'000'000}};
    for (auto i = std::int64_t{0}; i < 1000; ++i) {
        const auto now = start + Seconds{i};
        const auto key = RequestKey{WorkspaceId{"w"}, IdempotencyKey{"k"}, now};
        fold.apply({2 * i}, now, RequestRecord{IntentRecord{key, RequestId{"a"}, InstanceId{"i"}}});
        fold.apply({2 * i + 1}, now, RequestRecord{DoneRecord{key, RequestId{"a"}, InstanceId{"i"}, LoggedOutcome::Answer, true, std::string(100, 'x')}});
        REQUIRE(fold.size() <= 50);
    }
    const auto status = [&](int second) { return fold.lookup({WorkspaceId{"w"}, IdempotencyKey{"k"}, start + Seconds{second}}); };
    CHECK(status(0).state == KeyState::Expired);
    CHECK(status(999).state == KeyState::Done);
    CHECK(*status(999).answer == std::string(100, 'x'));
    CHECK(status(985).state == KeyState::Done);
    CHECK(status(985).answer == nullptr);
    CHECK(fold.counts().forgottenKeys > 900);
    CHECK(fold.counts().droppedAnswers > 900);
}
