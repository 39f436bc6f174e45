// Runs the fuzz entry over the given files, one record of every type, and mutations of all of them from a fixed seed.

#include "fuzz/statefuzz.h"
#include "state/records.h"
#include "util/random.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

using namespace Catkin;

namespace
{

auto records() -> std::vector<std::string>
{
    const auto now = WallTime{Millis{1'700'000'000'000}};
    const auto spec = JobDescription{.id = JobId{"j-1"}, .workspace = WorkspaceId{"patrulla"}, .kind = KindId{"mold"}, .restartable = true, .payload = "\xff"};
    const auto key = RequestKey{WorkspaceId{"patrulla"}, IdempotencyKey{"k-1"}, now};
    return {
        encodeRecord(ConfigRecord{ConfigChange{{1}, {0}, "c-1", "ana", "{}", {0}}}),
        encodeRecord(ConfigRecord{ConfigSnapshot{{1}, "c-1", "ana", "{}", {0}}}),
        encodeRecord(JobRecord{JobAcceptRecord{spec, {{0}, now}}}),
        encodeRecord(JobRecord{JobAttemptRecord{spec.id, 1, InstanceId{"i-1"}, 1}}),
        encodeRecord(JobRecord{JobStartedRecord{spec.id, 1}}),
        encodeRecord(JobRecord{JobFinishRecord{spec.id, 1, JobResult::Succeeded, true, "", ""}}),
        encodeRecord(JobRecord{JobCancelRecord{spec.id, "ana", ""}}),
        encodeRecord(JobRecord{JobSnapshotRecord{Job{.spec = spec, .revision = 1}, {{0}, now}}}),
        encodeRecord(RequestRecord{IntentRecord{key, RequestId{"a-1"}, InstanceId{"i-1"}}}),
        encodeRecord(RequestRecord{VoidRecord{key, RequestId{"a-1"}, InstanceId{"i-1"}}}),
        encodeRecord(RequestRecord{DoneRecord{key, RequestId{"a-1"}, InstanceId{"i-1"}, LoggedOutcome::Answer, true, "\xfe"}}),
    };
}

/// Replaces, removes or repeats a piece of @p text, or puts in a piece of JSON that is likely to be mishandled.
auto mutate(Random &random, std::string text) -> std::string
{
    static const auto pieces = std::vector<std::string>{
        "null",
        "-1",
        "1e400",
        "18446744073709551616",
        "9223372036854775807",
        "\"\"",
        "{",
        "}",
        "[",
        "]",
        ",",
        ":",
        "\"",
        "\\u0000",
        "\\ud800",
        "\xff",
        "true",
        "0.1",
    };
    const auto at = uniform(random, static_cast<std::uint32_t>(text.size()) + 1);
    const auto length = std::min<std::size_t>(text.size() - at, uniform(random, 12));
    switch (uniform(random, 3)) {
    case 0:
        return text.erase(at, length);
    case 1:
        return text.insert(at, text.substr(at, length));
    default:
        return text.replace(at, length, pieces[uniform(random, static_cast<std::uint32_t>(pieces.size()))]);
    }
}

}

auto main(int argc, char **argv) -> int
{
    auto corpus = records();
    for (auto i = 1; i < argc; ++i) {
        auto in = std::ifstream(argv[i]);
        corpus.emplace_back(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
        if (corpus.back().empty()) {
            std::fprintf(stderr, "cannot read %s\n", argv[i]);
            return 1;
        }
    }
    auto random = Random{20};
    auto inputs = 0;
    const auto run = [&](const std::string &text) {
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(text.data()), text.size());
        ++inputs;
    };
    for (const auto &original : corpus) {
        run(original);
        constexpr auto rounds = 300;
        for (auto i = 0; i < rounds; ++i) {
            auto text = original;
            for (auto changes = uniform(random, 3);; --changes) {
                text = mutate(random, text);
                run(text);
                if (changes == 0) {
                    break;
                }
            }
        }
    }
    std::printf("%d inputs\n", inputs);
    return 0;
}
