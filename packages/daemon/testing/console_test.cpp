#include "daemon/console.h"
#include "daemon/testing/pageform.h"
#include "state/document.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>

using namespace Catkin;
using nlohmann::json;

namespace
{

const auto document = json::parse(R"({"format":1,
  "workspaces":[
    {"name":"call-centre","weight":3,"urgent_share_percent":20,"callers_limit":4,"quota_slots":64,"tokens":["aa","bb"],
     "guarantees":[{"domain":"oviedo","slots":8,"count":2},{"domain":"bilbao","slots":4,"count":1}]},
    {"name":"portal","weight":1,"urgent_share_percent":0,"tokens":[],"guarantees":[]}],
  "kinds":[{"name":"route","mode":"request","urgency":"urgent","weight":1,"deadline_ms":3000,"max_payload_bytes":65536,"idempotent":false,"cross_region":true},
           {"name":"plan","mode":"job","urgency":"batch","weight":1,"max_payload_bytes":0,"idempotent":true,"cross_region":false}],
  "services":[{"name":"recall","workspace":"call-centre","kinds":["route","plan"]}],
  "objectives":[{"workspace":"call-centre","kind":"route","latency_ms":500,"target_percent":99.95}],
  "tolerate":{"workers":1,"racks":0},
  "operators":[{"name":"ana","token":"cc"}]})");

auto page(const FormFields &fields, const std::vector<ConsoleError> &errors = {}) -> std::string
{
    return renderConsole({.base = 4, .formToken = "t", .fields = fields}, errors);
}

}

TEST_CASE("an unchanged form gives the same document, directly and through the page")
{
    const auto fields = formFromDocument(document.dump()).value();
    CHECK(json::parse(parseForm(fields)) == document);
    const auto sent = submit(page(fields));
    CHECK(json::parse(parseForm(sent)) == document);
    CHECK(formValue(sent, "base") == "4");
    CHECK(formValue(sent, "form_token") == "t");
}

TEST_CASE("the example documents pass through the page without a change of meaning")
{
    for (const auto *name : {"bariloche", "revisiones"}) {
        CAPTURE(name);
        auto in = std::ifstream(std::string(CATKIN_SOURCE_DIR) + "/examples/" + name + ".json");
        const auto text = std::string(std::istreambuf_iterator<char>(in), {});
        const auto before = parseDocument(text);
        REQUIRE(formatErrors(before.errors) == "");
        REQUIRE_FALSE(before.document.workspaces.empty());
        // As written by hand, and in the canonical form that instances hold.
        for (const auto &shown : {text, encodeDocument(before.document)}) {
            const auto after = parseDocument(parseForm(compactForm(submit(page(formFromDocument(shown).value())))));
            CHECK(formatErrors(after.errors) == "");
            // The canonical form sorts the rows, so an order by hand is compared through it.
            CHECK(encodeDocument(after.document) == encodeDocument(before.document));
        }
    }
}

TEST_CASE("what was typed comes back unchanged, whatever it is")
{
    const auto nasty
        = std::vector<std::string>{"abc", "1e3", "007", "-0.5.1", "99999999999999999999", "<script>alert('x')</script>", "a\"b&amp;c", "\xc3\xa9\xff", " 8"};
    for (const auto &text : nasty) {
        for (const auto *name : {"workspaces[0].name",
                                 "workspaces[0].weight",
                                 "workspaces[0].guarantees[1].slots",
                                 "objectives[0].target_percent",
                                 "kinds[0].mode",
                                 "tolerate.racks",
                                 "services[0].kinds",
                                 "operators[0].token"}) {
            auto fields = formFromDocument(document.dump()).value();
            set(fields, name, text);
            const auto html = page(compactForm(fields), {{name, "is wrong"}});
            CHECK(formValue(submit(html), name) == text);
            CHECK(html.find("<script>") == std::string::npos);
            CHECK_FALSE(json::parse(parseForm(fields), nullptr, false).is_discarded());
        }
    }
}

TEST_CASE("text in a number's place stays text, so that validation rejects it instead of a changed value being accepted")
{
    auto fields = formFromDocument(document.dump()).value();
    set(fields, "workspaces[0].weight", "3x");
    set(fields, "workspaces[1].weight", " 12 ");
    set(fields, "workspaces[0].quota_slots", "");
    set(fields, "objectives[0].target_percent", "99.5");
    const auto parsed = json::parse(parseForm(fields));
    CHECK(parsed["workspaces"][0]["weight"] == "3x");
    CHECK(parsed["workspaces"][1]["weight"] == 12);
    CHECK_FALSE(parsed["workspaces"][0].contains("quota_slots"));
    CHECK(parsed["objectives"][0]["target_percent"] == 99.5);
}

TEST_CASE("empty and removed rows are dropped and the rest is numbered, so that error paths match the fields")
{
    auto fields = formFromDocument(document.dump()).value();
    set(fields, "workspaces[0].remove", "on");
    set(fields, "workspaces[2].name", "  ");
    set(fields, "workspaces[7].name", "installers");
    set(fields, "workspaces[7].guarantees[3].domain", "burgos");
    set(fields, "kinds[2].mode", "request");
    const auto parsed = json::parse(parseForm(fields));
    REQUIRE(parsed["workspaces"].size() == 2);
    CHECK(parsed["workspaces"][0]["name"] == "portal");
    CHECK(parsed["workspaces"][1]["guarantees"][0]["domain"] == "burgos");
    CHECK(parsed["kinds"].size() == 2);
    const auto compacted = compactForm(fields);
    CHECK(formValue(compacted, "workspaces[1].guarantees[0].domain") == "burgos");
    CHECK(parseForm(compacted) == parseForm(fields));
}

TEST_CASE("each error is shown beside its field, or at the nearest place around it")
{
    struct Case
    {
        std::string path;
        std::string anchor; ///< id of the element before the message; empty for the summary only
    };
    const auto cases = std::vector<Case>{
        {"workspaces[0].guarantees[1].slots", "workspaces[0].guarantees[1].slots"},
        {"workspaces[0].tokens[1]", "workspaces[0].tokens"},
        {"workspaces[1]", "workspaces[1]"},
        {"workspaces[0].unknown", "workspaces[0]"},
        {"kinds[9].name", "kinds"},
        {"tolerate.racks", "tolerate.racks"},
        {"tolerate", "tolerate"},
        {"", ""},
        {"elsewhere.x", ""},
    };
    const auto fields = formFromDocument(document.dump()).value();
    for (const auto &c : cases) {
        CAPTURE(c.path);
        const auto html = page(fields, {{c.path, "MESSAGE <b>"}});
        CHECK(html.find("rejected with 1 error;") != std::string::npos);
        CHECK(html.find("<b>") == std::string::npos);
        const auto message = html.find("<p class=\"error\">MESSAGE &lt;b&gt;</p>");
        CHECK((message != std::string::npos) == !c.anchor.empty());
        if (!c.anchor.empty()) {
            const auto id = html.rfind(" id=\"", message);
            CHECK(html.substr(id, c.anchor.size() + 6) == " id=\"" + c.anchor + "\"");
            CHECK(html.find("href=\"#" + c.anchor + "\"") != std::string::npos);
        }
    }
}

TEST_CASE("after a conflict every difference is named at its place, also when rows have moved")
{
    auto other = document;
    other["workspaces"].insert(other["workspaces"].begin(), json{{"name", "added"}, {"weight", 1}});
    other["workspaces"][1]["weight"] = 9;
    other["workspaces"][1]["guarantees"][1]["count"] = 5;
    other["kinds"][0]["cross_region"] = false;
    other["operators"].clear();
    other["tolerate"]["racks"] = 1;
    const auto typed = formFromDocument(document.dump()).value();
    auto notes = std::vector<std::string>{};
    const auto differences = compareForms(typed, formFromDocument(other.dump()).value(), "version 9");
    for (const auto &it : differences) {
        notes.push_back(it.path + ": " + it.message);
    }
    CHECK(notes
          == std::vector<std::string>{
              R"(workspaces[0].weight: version 9 has "9")",
              R"(workspaces[0].guarantees[1].count: version 9 has "5")",
              R"(workspaces: version 9 also has a row "added")",
              "kinds[0].cross_region: version 9 has no",
              "operators[0]: version 9 does not have this row",
              R"(tolerate.racks: version 9 has "1")",
          });
    CHECK(compareForms(typed, submit(page(typed)), "").empty());
    const auto html = renderConsole({.notes = differences, .fields = typed}, {});
    CHECK(html.find("<p class=\"note\">version 9 has &quot;5&quot;</p>") != std::string::npos);
}

TEST_CASE("hostile field names cannot allocate rows or add elements")
{
    const auto fields = parseFormBody("workspaces[2000000000].name=x&workspaces[-1].name=x&workspaces[0]=x&workspaces[0].guarantees[0].guarantees[0].slots=1"
                                      "&a[0].b=1&workspaces].[0.name=x&%3Cb%3E=1&=&&workspaces[1x].name=y&workspaces[0].%22%3E=z");
    CHECK(json::parse(parseForm(fields))["workspaces"].empty());
    CHECK(page(fields).find("<b>") == std::string::npos);
}

TEST_CASE("form bodies are decoded as browsers encode them")
{
    const auto fields = parseFormBody("services%5B0%5D.kinds=a%0D%0Ab+c&base=4&form_token=%zz%4");
    CHECK(formValue(fields, "services[0].kinds") == "a\nb c");
    CHECK(formValue(fields, "form_token") == "%zz%4");
    CHECK(json::parse(parseForm(fields))["services"][0]["kinds"] == json{"a", "b c"});
}

TEST_CASE("form tokens are bound to the operator, the secret and a time")
{
    const auto now = WallTime{Millis{1'700'000'000'000}};
    const auto token = makeFormToken("secret", "ana", now);
    CHECK(checkFormToken("secret", "ana", token, now + Millis{3'600'000}) == FormTokenCheck::Valid);
    CHECK(checkFormToken("secret", "ana", token, now + Millis{13 * 3'600'000}) == FormTokenCheck::Expired);
    CHECK(checkFormToken("secret", "ana", token, now - Millis{3'600'000}) == FormTokenCheck::Expired);
    CHECK(checkFormToken("secret", "eva", token, now) == FormTokenCheck::Invalid);
    CHECK(checkFormToken("other", "ana", token, now) == FormTokenCheck::Invalid);
    CHECK(checkFormToken("secret", "ana", "", now) == FormTokenCheck::Invalid);
    CHECK(checkFormToken("secret", "ana", "9" + token, now) == FormTokenCheck::Invalid);
}
