#include "fuzz/statefuzz.h"

#include "state/configfold.h"
#include "state/intentfold.h"
#include "state/jobfold.h"

#include <cstdio>
#include <cstdlib>
#include <string_view>

using namespace Catkin;

namespace
{

auto require(bool holds, const char *what) -> void
{
    if (!holds) {
        std::fprintf(stderr, "property violated: %s\n", what);
        std::abort();
    }
}

auto checkDocument(std::string_view text) -> void
{
    const auto parsed = parseDocument(text);
    if (!parsed.errors.empty()) {
        return;
    }
    const auto canonical = encodeDocument(parsed.document);
    const auto again = parseDocument(canonical);
    require(again.errors.empty(), "the canonical text of a valid document is valid");
    require(encodeDocument(again.document) == canonical, "the canonical text is stable");
    const auto fleet = DomainFleet{FailureDomainId{"las-lenas"}, 8, {8, 8}};
    checkGuarantees(parsed.document, {&fleet, 1});
}

/// Decodes with one stream's decoder, and folds the record twice: the second copy must not move the fold back.
template<typename Fold, typename Decode>
auto checkRecord(std::string_view text, const Decode &decode) -> void
{
    const auto record = decode(text);
    if (record) {
        const auto again = decode(encodeRecord(record.value()));
        require(again && again.value() == record.value(), "an encoded record decodes to the same record");
    }
    for (const auto first : {LogOffset{0}, LogOffset{1'000'000}}) {
        auto fold = Fold{};
        fold.restart(first);
        const auto time = WallTime{Millis{1'700'000'000'000}};
        fold.apply(first, time, text);
        fold.apply(first + LogOffset{1}, time, text);
        require(fold.next() == first + LogOffset{2}, "every record moves the fold by one offset");
    }
}

}

// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    const auto text = std::string_view{reinterpret_cast<const char *>(data), size};
    checkDocument(text);
    checkRecord<ConfigFold>(text, decodeConfigRecord);
    checkRecord<JobFold>(text, decodeJobRecord);
    checkRecord<IntentFold>(text, decodeRequestRecord);
    return 0;
}
