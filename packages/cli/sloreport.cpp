#include "cli/sloreport.h"

#include "cli/table.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <map>
#include <sstream>

namespace Catkin::Cli
{

namespace
{

using nlohmann::json;

/// At this rate, 2% of a budget for 30 days are used up in one hour.
constexpr auto fastBurnRate = 14.4;
/// At this rate, 5% of a budget for 30 days are used up in six hours.
constexpr auto slowBurnRate = 6.0;
/// Fewer events in the long window say too little: one bad event of one is a burn rate of 1000 for an objective of 99.9%.
constexpr auto minimumEvents = 20;

struct BurnRule
{
    Millis shortWindow;
    Millis longWindow;
    double rate;
    SloState state;
};

/// The same rules as in state/slo.h, applied to the sum over all instances.
const auto burnRules = std::array{BurnRule{Millis{300000}, Millis{3600000}, fastBurnRate, SloState::FastBurn},
                                  BurnRule{Millis{1800000}, Millis{21600000}, slowBurnRate, SloState::SlowBurn}};
constexpr auto percent = 100.0;

auto number(double value, int digits) -> std::string
{
    auto buf = std::array<char, 64>{};
    std::snprintf(buf.data(), buf.size(), "%.*f", digits, value);
    return buf.data();
}

auto find(const std::vector<SloObjective> &list, const SloObjective &like) -> const SloObjective *
{
    const auto it = std::find_if(list.begin(), list.end(), [&](const auto &o) { return o.workspace == like.workspace && o.kind == like.kind; });
    return it == list.end() ? nullptr : &*it;
}

auto findWindow(const SloObjective &objective, Millis length) -> const SloWindow *
{
    const auto it = std::find_if(objective.windows.begin(), objective.windows.end(), [&](const SloWindow &w) { return w.length == length; });
    return it == objective.windows.end() ? nullptr : &*it;
}

/// "Since start" has length 0 and sorts as the longest.
auto isShorter(const SloWindow &a, const SloWindow &b) -> bool
{
    return b.length.count() == 0 ? a.length.count() != 0 : a.length.count() != 0 && a.length < b.length;
}

/// Reads the labels of `name{a="x",b="y"} value`; the values keep no escapes.
auto readLabels(const std::string &line, std::size_t open, std::size_t &close) -> std::map<std::string, std::string>
{
    auto labels = std::map<std::string, std::string>{};
    auto at = open + 1;
    while (at < line.size() && line[at] != '}') {
        const auto equals = line.find("=\"", at);
        if (equals == std::string::npos) {
            break;
        }
        auto value = std::string{};
        auto end = equals + 2;
        for (; end < line.size() && line[end] != '"'; ++end) {
            if (line[end] == '\\' && end + 1 < line.size()) {
                ++end;
                value += line[end] == 'n' ? '\n' : line[end];
            } else {
                value += line[end];
            }
        }
        labels[line.substr(at, equals - at)] = value;
        at = end + 1;
        if (at < line.size() && line[at] == ',') {
            ++at;
        }
    }
    close = at;
    return labels;
}

auto escapeXml(const std::string &text) -> std::string
{
    auto escaped = std::string{};
    for (const auto c : text) {
        switch (c) {
        case '&':
            escaped += "&amp;";
            break;
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped += static_cast<unsigned char>(c) < 32 ? ' ' : c;
        }
    }
    return escaped;
}

auto rateText(double rate) -> std::string
{
    return rate < 0 ? "no data" : number(rate, 2);
}

}

auto readSloJson(const std::string &text) -> Result<std::vector<SloObjective>>
{
    try {
        auto objectives = std::vector<SloObjective>{};
        const auto body = json::parse(text);
        for (const auto &item : body.at("objectives")) {
            auto objective = SloObjective{.workspace = item.at("workspace").get<std::string>(),
                                          .kind = item.at("kind").get<std::string>(),
                                          .targetPercent = item.at("target_percent").get<double>()};
            for (const auto &window : item.at("windows")) {
                objective.windows.push_back(
                    {Millis{window.at("window_ms").get<std::int64_t>()}, window.at("good").get<std::int64_t>(), window.at("total").get<std::int64_t>()});
            }
            std::sort(objective.windows.begin(), objective.windows.end(), isShorter);
            objectives.push_back(std::move(objective));
        }
        return objectives;
    } catch (const json::exception &e) {
        return failure(ErrorCode::Protocol, std::string("the reply is not a service-level report: ") + e.what());
    }
}

auto readSloMetrics(const std::string &text) -> std::vector<SloObjective>
{
    auto byName = std::map<std::pair<std::string, std::string>, SloObjective>{};
    auto in = std::istringstream(text);
    for (auto line = std::string{}; std::getline(in, line);) {
        const auto open = line.find('{');
        if (open == std::string::npos || !line.starts_with("catkin_slo_")) {
            continue;
        }
        auto close = std::size_t{0};
        auto labels = readLabels(line, open, close);
        auto value = 0.0;
        if (close >= line.size() || !(std::istringstream(line.substr(close + 1)) >> value)) {
            continue;
        }
        const auto metric = line.substr(0, open);
        auto &objective = byName[{labels["workspace"], labels["kind"]}];
        objective.workspace = labels["workspace"];
        objective.kind = labels["kind"];
        objective.windows.resize(1);
        if (metric == "catkin_slo_target_ratio") {
            objective.targetPercent = value * percent;
        } else if (metric == "catkin_slo_good_total") {
            objective.windows.front().good = static_cast<std::int64_t>(value);
        } else if (metric == "catkin_slo_requests_total") {
            objective.windows.front().total = static_cast<std::int64_t>(value);
        }
    }
    auto objectives = std::vector<SloObjective>{};
    for (auto &[name, objective] : byName) {
        if (objective.targetPercent > 0) {
            objectives.push_back(std::move(objective));
        }
    }
    return objectives;
}

auto sloBetween(const std::vector<SloObjective> &earlier, const std::vector<SloObjective> &later, Millis length) -> std::vector<SloObjective>
{
    auto objectives = later;
    for (auto &objective : objectives) {
        auto &window = objective.windows.front();
        window.length = length;
        const auto *const before = find(earlier, objective);
        if (before != nullptr && before->windows.front().total <= window.total) {
            window.good -= before->windows.front().good;
            window.total -= before->windows.front().total;
        }
    }
    return objectives;
}

auto mergeSlo(std::vector<SloObjective> &sum, const std::vector<SloObjective> &instance) -> void
{
    for (const auto &added : instance) {
        auto it = std::find_if(sum.begin(), sum.end(), [&](const auto &o) { return o.workspace == added.workspace && o.kind == added.kind; });
        if (it == sum.end()) {
            sum.push_back(added);
            continue;
        }
        it->targetPercent = std::max(it->targetPercent, added.targetPercent);
        for (const auto &window : added.windows) {
            const auto same = std::find_if(it->windows.begin(), it->windows.end(), [&](const SloWindow &w) { return w.length == window.length; });
            if (same == it->windows.end()) {
                it->windows.push_back(window);
            } else {
                same->good += window.good;
                same->total += window.total;
            }
        }
        std::sort(it->windows.begin(), it->windows.end(), isShorter);
    }
}

auto burnRate(const SloObjective &objective, const SloWindow &window) -> double
{
    if (window.total <= 0) {
        return -1;
    }
    const auto bad = static_cast<double>(window.total - window.good) / static_cast<double>(window.total);
    // An objective of 100% has no budget; one bad request in a million then counts as a burn rate of 1.
    const auto allowed = std::max(1 - objective.targetPercent / percent, 1e-6);
    return bad / allowed;
}

auto budgetLeftPercent(const SloObjective &objective) -> double
{
    const auto rate = objective.windows.empty() ? -1 : burnRate(objective, objective.windows.back());
    return rate < 0 ? percent : percent * (1 - rate);
}

auto sloState(const SloObjective &objective) -> SloState
{
    if (objective.windows.empty() || burnRate(objective, objective.windows.back()) < 0) {
        return SloState::NoData;
    }
    for (const auto &rule : burnRules) {
        const auto *shortWindow = findWindow(objective, rule.shortWindow);
        const auto *longWindow = findWindow(objective, rule.longWindow);
        if (shortWindow == nullptr || longWindow == nullptr) {
            shortWindow = &objective.windows.front();
            longWindow = &objective.windows.back();
        }
        if (longWindow->total >= minimumEvents && burnRate(objective, *shortWindow) >= rule.rate && burnRate(objective, *longWindow) >= rule.rate) {
            return rule.state;
        }
    }
    return SloState::Ok;
}

auto sloStateName(SloState state) -> const char *
{
    switch (state) {
    case SloState::Ok:
        return "ok";
    case SloState::SlowBurn:
        return "slow burn";
    case SloState::FastBurn:
        return "fast burn";
    case SloState::NoData:
        return "no data";
    }
    return "no data";
}

auto windowName(const SloWindow &window) -> std::string
{
    const auto ms = window.length.count();
    if (ms == 0) {
        return "since start";
    }
    for (const auto &[name, factor] : {std::pair<const char *, std::int64_t>{"d", 86400000}, {"h", 3600000}, {"min", 60000}, {"s", 1000}}) {
        if (ms % factor == 0) {
            return std::to_string(ms / factor) + name;
        }
    }
    return std::to_string(ms) + "ms";
}

auto renderSloText(const std::vector<SloObjective> &objectives) -> std::string
{
    auto rows = std::vector<std::vector<std::string>>{};
    for (const auto &objective : objectives) {
        for (auto i = std::size_t{0}; i < objective.windows.size(); ++i) {
            const auto &window = objective.windows[i];
            const auto first = i == 0;
            rows.push_back({first ? objective.workspace : "",
                            first ? objective.kind : "",
                            first ? number(objective.targetPercent, 3) : "",
                            first ? sloStateName(sloState(objective)) : "",
                            first ? number(budgetLeftPercent(objective), 1) : "",
                            windowName(window),
                            std::to_string(window.good),
                            std::to_string(window.total),
                            rateText(burnRate(objective, window))});
        }
    }
    return renderTable({"workspace", "kind", "target %", "state", "budget left %", "window", "good", "total", "burn rate"}, rows);
}

auto renderSloJson(const std::vector<SloObjective> &objectives) -> std::string
{
    auto list = json::array();
    for (const auto &objective : objectives) {
        auto windows = json::array();
        for (const auto &window : objective.windows) {
            const auto rate = burnRate(objective, window);
            windows.push_back(
                {{"window_ms", window.length.count()}, {"good", window.good}, {"total", window.total}, {"burn_rate", rate < 0 ? json{} : json(rate)}});
        }
        list.push_back({{"workspace", objective.workspace},
                        {"kind", objective.kind},
                        {"target_percent", objective.targetPercent},
                        {"state", sloStateName(sloState(objective))},
                        {"budget_left_percent", budgetLeftPercent(objective)},
                        {"windows", windows}});
    }
    return json{{"objectives", list}}.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

auto renderSloSvg(const std::vector<SloObjective> &objectives) -> std::string
{
    constexpr auto width = 960;
    constexpr auto left = 330;
    constexpr auto plot = 520.0;
    constexpr auto rowHeight = 20;
    constexpr auto top = 70;
    auto rows = 0;
    auto highest = fastBurnRate * 1.25;
    for (const auto &objective : objectives) {
        rows += static_cast<int>(objective.windows.size()) + 1;
        for (const auto &window : objective.windows) {
            highest = std::max(highest, burnRate(objective, window));
        }
    }
    // The square root keeps rates around 1 readable beside rates around 100.
    const auto x = [&](double rate) { return std::sqrt(std::max(rate, 0.0) / highest) * plot; };
    const auto height = top + rows * rowHeight + 30;
    auto out = std::ostringstream{};
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\"" << height << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<title>Burn rate of the error budgets</title>\n<rect width=\"100%\" height=\"100%\" fill=\"#ffffff\"/>\n"
        << "<text x=\"20\" y=\"26\" font-size=\"16\">Burn rate of the error budgets</text>\n";
    for (const auto &[rate, color] : {std::pair<double, const char *>{1, "#2e7d32"}, {slowBurnRate, "#8a6d00"}, {fastBurnRate, "#b00020"}}) {
        const auto at = number(left + x(rate), 1);
        out << "<line x1=\"" << at << "\" x2=\"" << at << "\" y1=\"" << top - 12 << "\" y2=\"" << height - 20 << "\" stroke=\"" << color
            << "\" stroke-dasharray=\"4 3\"/>\n<text x=\"" << at << "\" y=\"" << top - 18 << "\" text-anchor=\"middle\" fill=\"" << color << "\">"
            << number(rate, rate > slowBurnRate ? 1 : 0) << "</text>\n";
    }
    auto y = top;
    for (const auto &objective : objectives) {
        out << "<text x=\"20\" y=\"" << y + 14 << "\" font-weight=\"bold\">" << escapeXml(objective.workspace + " / " + objective.kind) << "</text>\n<text x=\""
            << width - 20 << "\" y=\"" << y + 14 << "\" text-anchor=\"end\">" << sloStateName(sloState(objective)) << ", "
            << number(budgetLeftPercent(objective), 1) << "% of the budget left</text>\n";
        y += rowHeight;
        for (const auto &window : objective.windows) {
            const auto rate = burnRate(objective, window);
            const auto *const color = rate >= fastBurnRate ? "#b00020" : rate >= slowBurnRate ? "#d9a400" : "#2e7d32";
            out << "<text x=\"" << left - 10 << "\" y=\"" << y + 14 << "\" text-anchor=\"end\">" << windowName(window) << "</text>\n<rect x=\"" << left
                << "\" y=\"" << y + 4 << "\" width=\"" << number(x(rate), 1) << "\" height=\"" << rowHeight - 8 << "\" fill=\"" << color << "\"/>\n<text x=\""
                << number(left + x(rate) + 6, 1) << "\" y=\"" << y + 14 << "\">" << rateText(rate) << "</text>\n";
            y += rowHeight;
        }
    }
    out << "</svg>\n";
    return out.str();
}

}
