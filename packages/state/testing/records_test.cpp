#include "state/records.h"

#include <doctest/doctest.h>

using namespace Catkin;

namespace
{

const auto now = WallTime{Millis{1'700'000'000'000}};

auto spec() -> JobDescription
{
    return {
        .id = makeJobId(WorkspaceId{"w"}, IdempotencyKey{"k"}),
        .workspace = WorkspaceId{"w"},
        .caller = CallerId{"c"},
        .kind = KindId{"mold"},
        .key = IdempotencyKey{"k"},
        .domain = FailureDomainId{"oviedo"},
        .tasks = 8,
        .slotsPerTask = {4},
        .adjacency = JobAdjacency::Rack,
        .urgency = WorkUrgency::Urgent,
        .declared = Seconds{90},
        .checkpointable = true,
        .restartable = true,
        .payload = std::string("\x00\xff bytes", 8),
    };
}

/// Decodes every prefix of a valid record, and the record with every single byte replaced by each of six others. A prefix must give an
/// error; a replaced byte must not crash the decoder.
template<typename Decode>
auto checkDamaged(const std::string &text, const Decode &decode) -> void
{
    for (auto i = std::size_t{0}; i < text.size(); ++i) {
        CHECK_FALSE(decode(text.substr(0, i)));
        for (const auto c : {'"', '}', '-', '\xff', '9', 'e'}) {
            auto changed = text;
            changed[i] = c;
            (void)decode(changed);
        }
    }
}

}

TEST_CASE("every record is equal after encoding and decoding, and a truncated record gives an error")
{
    const auto position = FoldPosition{{17}, now};
    const auto job = Job{spec(), JobState::Running, 3, InstanceId{"i-1"}, 9, true, 12, now, now + Seconds{4}, "why", "cp-1"};
    const auto id = spec().id;
    const auto key = RequestKey{WorkspaceId{"w"}, IdempotencyKey{"ñ"}, now};
    const auto attempt = RequestId{"a-1"};
    const auto instance = InstanceId{"i-1"};
    for (const auto &it : std::vector<ConfigRecord>{
             ConfigChange{{4}, {3}, "c-1", "ana", "{\"format\":1}", {5}},
             ConfigSnapshot{{4}, "c-1", "ana", "{\"format\":1}", {99}},
         }) {
        const auto decoded = decodeConfigRecord(encodeRecord(it));
        REQUIRE(decoded);
        CHECK(decoded.value() == it);
        checkDamaged(encodeRecord(it), [](const std::string &text) { return decodeConfigRecord(text).has_value(); });
    }
    for (const auto &it : std::vector<JobRecord>{
             JobAcceptRecord{spec(), position},
             JobAttemptRecord{id, 2, instance, 7},
             JobStartedRecord{id, 2},
             JobFinishRecord{id, 2, JobResult::Requeue, false, "worker w-4 was lost", "cp-2"},
             JobCancelRecord{id, "ana", "no longer needed"},
             JobSnapshotRecord{job, position},
         }) {
        const auto decoded = decodeJobRecord(encodeRecord(it));
        REQUIRE(decoded);
        CHECK(decoded.value() == it);
        checkDamaged(encodeRecord(it), [](const std::string &text) { return decodeJobRecord(text).has_value(); });
        CHECK_FALSE(decodeRequestRecord(encodeRecord(it)));
    }
    for (const auto &it : std::vector<RequestRecord>{
             IntentRecord{key, attempt, instance},
             VoidRecord{key, attempt, instance},
             DoneRecord{key, attempt, instance, LoggedOutcome::Answer, true, "\xfe\xff"},
             DoneRecord{key, attempt, instance, LoggedOutcome::Answer, true, ""},
             DoneRecord{key, attempt, instance, LoggedOutcome::Unknown, false, ""},
         }) {
        const auto decoded = decodeRequestRecord(encodeRecord(it));
        REQUIRE(decoded);
        CHECK(decoded.value() == it);
        checkDamaged(encodeRecord(it), [](const std::string &text) { return decodeRequestRecord(text).has_value(); });
    }
}

TEST_CASE("a record with a missing field or a value outside its range gives an error, and unknown fields are ignored")
{
    struct Case
    {
        const char *text;
        bool valid;
    };
    const auto cases = std::vector<Case>{
        {R"({"type":"started","job":"j","attempt":1})", true},
        {R"({"type":"started","job":"j","attempt":1,"later":{}})", true},
        {R"({"type":"started","job":"j","attempt":0})", false},
        {R"({"type":"started","job":"j","attempt":1.0})", false},
        {R"({"type":"started","job":"j","attempt":18446744073709551615})", false},
        {R"({"type":"started","job":"j","attempt":2147483648})", false},
        {R"({"type":"started","job":"","attempt":1})", false},
        {R"({"type":"started","attempt":1})", false},
        {R"({"type":"stopped","job":"j","attempt":1})", false},
        {R"({"type":7})", false},
        {R"([])", false},
        {R"({"type":"finish","job":"j","attempt":1,"result":"lost","ran":true})", false},
    };
    for (const auto &it : cases) {
        CAPTURE(std::string(it.text));
        CHECK(decodeJobRecord(it.text).has_value() == it.valid);
    }
    CHECK_FALSE(decodeConfigRecord(std::string(100'000, '[')));
    CHECK_FALSE(decodeRequestRecord(R"({"type":"intent","workspace":"w","key":"k","first_sent_ms":-1,"attempt":"a","instance":"i"})"));
}

TEST_CASE("the id of a job differs when workspace and key differ, also when their concatenation is equal")
{
    CHECK(makeJobId(WorkspaceId{"a"}, IdempotencyKey{"bc"}) == makeJobId(WorkspaceId{"a"}, IdempotencyKey{"bc"}));
    CHECK(makeJobId(WorkspaceId{"a"}, IdempotencyKey{"bc"}) != makeJobId(WorkspaceId{"ab"}, IdempotencyKey{"c"}));
}
