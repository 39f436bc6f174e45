#include "state/document.h"
#include "state/records.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace Catkin;

namespace
{

auto readFile(const std::string &path) -> std::string
{
    auto in = std::ifstream(path);
    auto text = std::stringstream{};
    text << in.rdbuf();
    return text.str();
}

auto example(const char *name) -> std::string
{
    return readFile(std::string(CATKIN_SOURCE_DIR) + "/examples/" + name);
}

/// @return the JSON examples of a page.
auto examplesOf(const std::string &page) -> std::vector<std::string>
{
    const auto text = readFile(std::string(CATKIN_SOURCE_DIR) + "/docs/" + page);
    const auto opening = std::string("```json\n");
    auto found = std::vector<std::string>{};
    for (auto at = text.find(opening); at != std::string::npos; at = text.find(opening, at)) {
        at += opening.size();
        found.push_back(text.substr(at, text.find("```", at) - at));
    }
    return found;
}

auto replaced(std::string text, const std::string &from, const std::string &to) -> std::string
{
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

auto paths(const std::vector<FieldError> &errors) -> std::vector<std::string>
{
    auto all = std::vector<std::string>{};
    std::transform(errors.begin(), errors.end(), std::back_inserter(all), [](const FieldError &it) { return it.path; });
    return all;
}

}

TEST_CASE("the example documents are valid, and their canonical text does not depend on the order of lists")
{
    for (const auto *name : {"bariloche.json", "revisiones.json"}) {
        const auto parsed = parseDocument(example(name));
        CAPTURE(formatErrors(parsed.errors));
        REQUIRE(parsed.errors.empty());
        const auto canonical = encodeDocument(parsed.document);
        const auto again = parseDocument(canonical);
        CAPTURE(formatErrors(again.errors));
        REQUIRE(again.errors.empty());
        CHECK(encodeDocument(again.document) == canonical);
        auto shuffled = parsed.document;
        std::reverse(shuffled.workspaces.begin(), shuffled.workspaces.end());
        std::reverse(shuffled.kinds.begin(), shuffled.kinds.end());
        CHECK(documentHash(shuffled) == documentHash(parsed.document));
        shuffled.kinds.front().weight += 1;
        CHECK(documentHash(shuffled) != documentHash(parsed.document));
    }
}

TEST_CASE("the guarantees of the example documents hold on their fleets, and guarantees that do not hold give errors at their paths")
{
    const auto fleet = std::vector<DomainFleet>{
        {FailureDomainId{"cerro-catedral"}, 8, {8, 8}}, {FailureDomainId{"centro-civico"}, 8, {8, 8}}, {FailureDomainId{"las-lenas"}, 8, {8, 8}}};
    auto document = parseDocument(example("bariloche.json")).document;
    CHECK(checkGuarantees(document, fleet).empty());
    // A rack of 8 workers holds two blocks of 32 slots; one rack may be lost.
    document.workspaces[0].guarantees[0].count = 3;
    // The two blocks that can be formed fill the rack, so the smaller shapes do not fit either.
    const auto tooMany
        = std::vector<std::string>{"workspaces[0].guarantees[0].count", "workspaces[0].guarantees[1].count", "workspaces[2].guarantees[1].count"};
    CHECK(paths(checkGuarantees(document, fleet)) == tooMany);
    document.workspaces[0].guarantees[0] = {FailureDomainId{"cerro-catedral"}, {256}, 1};
    const auto errors = checkGuarantees(document, fleet);
    REQUIRE_FALSE(errors.empty());
    CHECK(errors[0].path == "workspaces[0].guarantees[0].slots");
    CHECK(paths(checkGuarantees(document, std::vector<DomainFleet>{fleet[0]})).back() == "workspaces[0].guarantees[2].domain");

    const auto gas
        = std::vector<DomainFleet>{{FailureDomainId{"oviedo"}, 8, {8, 8}}, {FailureDomainId{"bilbao"}, 8, {8, 8, 1}}, {FailureDomainId{"burgos"}, 8, {8, 8}}};
    CHECK(checkGuarantees(parseDocument(example("revisiones.json")).document, gas).empty());
}

// Guards against a fault that is not found, is reported at the wrong path or causes errors in other fields.
TEST_CASE("a document with one fault gives exactly one error, at the path of the fault")
{
    struct Case
    {
        const char *from;
        const char *to;
        const char *path;
    };
    const auto cases = std::vector<Case>{
        {"\"format\": 1", "\"format\": 2", "format"},
        {"\"weight\": 40", "\"weight\": 0", "workspaces[0].weight"},
        {"\"weight\": 40", "\"weight\": 1.5", "workspaces[0].weight"},
        {"\"weight\": 40", "\"weight\": 18446744073709551615", "workspaces[0].weight"},
        {"\"weight\": 40", "\"weigth\": 40", "workspaces[0].weigth"},
        {"\"weight\": 40", "\"weight\": 40, \"weight\": 41", "workspaces[0].weight"},
        {"\"urgent_share_percent\": 60", "\"urgent_share_percent\": 101", "workspaces[0].urgent_share_percent"},
        {"\"urgent_share_percent\": 60", "\"urgent_share_percent\": 0", "services[0].kinds[0]"},
        {"\"callers_limit\": 32", "\"callers_limit\": \"32\"", "workspaces[0].callers_limit"},
        {"[\"666ef", "[\"666EF", "workspaces[0].tokens[0]"},
        {"ae9d102199645c734655466c88df3cdcfdb47f2ac7e3df38fc6311fa8039373a",
         "666ef9049f824d5619bbcb850d1e68aa286680c668549d248556c866b9385aa4",
         "workspaces[1].tokens[0]"},
        {"\"slots\": 32", "\"slots\": -1", "workspaces[0].guarantees[0].slots"},
        {"\"slots\": 32", "\"slots\": 8", "workspaces[0].guarantees[1]"},
        {"\"quota_slots\": 192", "\"quota_slots\": 63", "workspaces[0].quota_slots"},
        {"\"workspaces\": [", "\"workspaces\": [{\"name\": \"Escuela\"}, ", "workspaces[0].name"},
        {"\"name\": \"control-escuela\"", "\"name\": \"control-patrulla\"", "services[1].name"},
        {"\"workspace\": \"alquiler\", \"kinds\": [", "\"workspace\": \"alquiler\", \"kinds\": [\"nada\", ", "services[2].kinds[0]"},
        {"\"mode\": \"job\"", "\"mode\": \"job\", \"deadline_ms\": 5", "kinds[2].deadline_ms"},
        {"\"mode\": \"job\"", "\"mode\": \"job\", \"cross_region\": true", "kinds[2].cross_region"},
        {"\"mode\": \"job\"", "\"mode\": \"batch\"", "kinds[2].mode"},
        {"\"idempotent\": true", "\"idempotent\": 1", "kinds[0].idempotent"},
        {"\"latency_ms\": 800", "\"latency_ms\": 4001", "objectives[0].latency_ms"},
        {"\"target_percent\": 99.9", "\"target_percent\": 100", "objectives[0].target_percent"},
        {"\"target_percent\": 99.9", "\"target_percent\": 99.99999", "objectives[0].target_percent"},
        {"\"kind\": \"lote-plantillas\"", "\"kind\": \"simulacion-carcasa\"", "objectives[3].kind"},
        {"\"workers\": 1", "\"workers\": 65", "tolerate.workers"},
        {"\"tolerate\": {", "\"tolerate\": {\"disks\": 1, ", "tolerate.disks"},
        {"\"operators\": [", "\"operators\": [7, ", "operators[0]"},
    };
    for (const auto &it : cases) {
        const auto parsed = parseDocument(replaced(example("bariloche.json"), it.from, it.to));
        CAPTURE(it.to);
        CAPTURE(formatErrors(parsed.errors));
        REQUIRE(paths(parsed.errors) == std::vector<std::string>{it.path});
    }
}

TEST_CASE("several faults are all reported, and text that is not JSON or too large gives one or two errors")
{
    auto text = replaced(example("bariloche.json"), "\"weight\": 40", "\"weight\": 0");
    text = replaced(text, "\"mode\": \"job\"", "\"mode\": 7");
    text = replaced(text, "\"latency_ms\": 1500", "\"latency_ms\": null");
    CHECK(paths(parseDocument(text).errors) == std::vector<std::string>{"workspaces[0].weight", "kinds[2].mode", "objectives[2].latency_ms"});
    for (const auto &bad : {std::string{},
                            std::string{"{"},
                            std::string{"nul"},
                            std::string{"\xff"},
                            std::string(maxDocumentBytes + 1, ' '),
                            std::string(100'000, '['),
                            std::string("7"),
                            std::string(20, '[') + std::string(20, ']')}) {
        CHECK_FALSE(parseDocument(bad).errors.empty());
        CHECK(parseDocument(bad).errors.size() <= 2);
    }
}

TEST_CASE("the examples in the documentation are valid")
{
    const auto documents = examplesOf("configuration-document.md");
    CHECK(documents.size() == 2);
    for (const auto &it : documents) {
        CAPTURE(formatErrors(parseDocument(it).errors));
        CHECK(parseDocument(it).errors.empty());
    }
    const auto records = examplesOf("log-records.md");
    CHECK(records.size() == 11);
    for (const auto &it : records) {
        CAPTURE(it);
        CHECK((decodeConfigRecord(it) || decodeJobRecord(it) || decodeRequestRecord(it)));
    }
}
