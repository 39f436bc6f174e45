#include <doctest/doctest.h>

#include <algorithm>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace
{

const auto sourceFolder = std::filesystem::path(CATKIN_SOURCE_DIR);

struct EventCall
{
    std::string place;
    std::string number; ///< empty when the argument is neither a number nor a known constant
    std::set<std::string> levels;
};

struct EventEntry
{
    std::set<std::string> levels;
    std::string meaning;
    std::string action;
};

auto readText(const std::filesystem::path &path) -> std::string
{
    auto in = std::ifstream(path);
    return {std::istreambuf_iterator<char>(in), {}};
}

auto withoutComments(const std::string &text) -> std::string
{
    return std::regex_replace(text, std::regex("//[^\n]*"), "");
}

/// @return the words among the names of levels that @p text contains, in lower case.
auto levelsIn(std::string text) -> std::set<std::string>
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    auto out = std::set<std::string>{};
    for (const auto *level : {"debug", "info", "warn", "error"}) {
        if (std::regex_search(text, std::regex("\\b" + std::string(level) + "\\b"))) {
            out.insert(level);
        }
    }
    return out;
}

auto eventCalls(const std::string &source, const std::string &place) -> std::vector<EventCall>
{
    const auto text = withoutComments(source);
    auto constants = std::map<std::string, std::string>{};
    const auto constant = std::regex("(\\w+) = (\\d{4})\\b");
    for (auto it = std::sregex_iterator(text.begin(), text.end(), constant); it != std::sregex_iterator{}; ++it) {
        constants[(*it)[1]] = (*it)[2];
    }
    auto calls = std::vector<EventCall>{};
    // Every mention must be a call that can be read, or none would be checked after a change of style.
    const auto mention = std::regex("\\blogEvent\\s*\\(([^,;{]*),\\s*([^,;{]*),");
    for (auto it = std::sregex_iterator(text.begin(), text.end(), mention); it != std::sregex_iterator{}; ++it) {
        const auto argument = std::regex_replace((*it)[2].str(), std::regex("\\s+$"), "");
        if (argument == "int number") {
            continue; // the declaration
        }
        const auto known = constants.find(argument);
        const auto number = std::regex_match(argument, std::regex("\\d{4}")) ? argument : known != constants.end() ? known->second : std::string{};
        calls.push_back({.place = place, .number = number, .levels = levelsIn((*it)[1])});
    }
    const auto mentions = std::regex("\\blogEvent\\b");
    const auto declarations = std::regex("\\blogEvent\\(LogLevel level, int number");
    const auto count = [&](const std::regex &regex) { return std::distance(std::sregex_iterator(text.begin(), text.end(), regex), std::sregex_iterator{}); };
    CHECK_MESSAGE(count(mentions) - count(declarations) == static_cast<std::ptrdiff_t>(calls.size()), place << " has a call that cannot be read");
    return calls;
}

auto allCalls() -> std::vector<EventCall>
{
    auto calls = std::vector<EventCall>{};
    for (const auto *folder : {"packages", "platform"}) {
        for (const auto &it : std::filesystem::recursive_directory_iterator(sourceFolder / folder)) {
            const auto &path = it.path();
            const auto isSource = path.extension() == ".cpp" || path.extension() == ".h";
            if (isSource && path.parent_path().filename() != "testing") {
                const auto found = eventCalls(readText(path), path.lexically_relative(sourceFolder).string());
                calls.insert(calls.end(), found.begin(), found.end());
            }
        }
    }
    return calls;
}

/// @return the catalogue's lines in order; a number may appear twice in a faulty one.
auto catalogue(const std::string &page) -> std::vector<std::pair<std::string, EventEntry>>
{
    auto entries = std::vector<std::pair<std::string, EventEntry>>{};
    auto lines = std::istringstream(page);
    const auto row = std::regex("\\| (\\d+) \\| ([^|]+) \\| ([^|]*) \\| ([^|]*) \\|");
    for (auto line = std::string{}; std::getline(lines, line);) {
        auto match = std::smatch{};
        if (std::regex_match(line, match, row)) {
            entries.emplace_back(match[1], EventEntry{.levels = levelsIn(match[2]), .meaning = match[3], .action = match[4]});
        }
    }
    return entries;
}

}

// Guards against an event that operators cannot look up, and against one number for two different events.
TEST_CASE("docs/log-events.md lists exactly the numbered log events, each with one meaning")
{
    const auto calls = allCalls();
    REQUIRE(calls.size() > 20);
    auto entries = std::map<std::string, EventEntry>{};
    auto meanings = std::set<std::string>{};
    for (const auto &line : catalogue(readText(sourceFolder / "docs/log-events.md"))) {
        const auto &number = line.first;
        const auto &entry = line.second;
        CHECK_MESSAGE(entries.emplace(number, entry).second, number << " is listed twice");
        CHECK_MESSAGE(meanings.insert(entry.meaning).second, number << " has the meaning of another event");
        CHECK_MESSAGE(entry.meaning.size() > 10, number << " has no meaning");
        CHECK_MESSAGE(!entry.action.empty(), number << " does not say what to do");
    }
    auto used = std::map<std::string, std::string>{};
    for (const auto &it : calls) {
        CHECK_MESSAGE(!it.number.empty(), it.place << " logs an event whose number cannot be read");
        const auto added = used.emplace(it.number, it.place);
        // One event is written in one place; a second one would sooner or later mean something else.
        CHECK_MESSAGE(added.second, it.number << " is used in " << added.first->second << " and again in " << it.place);
        const auto entry = entries.find(it.number);
        CHECK_MESSAGE(entry != entries.end(), it.number << " in " << it.place << " is not in the catalogue");
        if (entry != entries.end()) {
            CHECK_MESSAGE(entry->second.levels == it.levels, it.number << " has another level in the catalogue than in " << it.place);
        }
    }
    for (const auto &it : entries) {
        CHECK_MESSAGE(used.contains(it.first), it.first << " is in the catalogue but no source writes it");
    }
}

TEST_CASE("calls with constants, several lines and two levels are read")
{
    const auto source = std::string("enum Event { Opened = 5001 };\nlogEvent(LogLevel::Info, Opened, text);\n// logEvent(x)\n"
                                    "logEvent(ok ? LogLevel::Info : LogLevel::Warn,\n         1004,\n         text);");
    const auto calls = eventCalls(source, "source");
    REQUIRE(calls.size() == 2);
    CHECK(calls[0].number == "5001");
    CHECK(calls[1].number == "1004");
    CHECK(calls[1].levels == std::set<std::string>{"info", "warn"});
}
