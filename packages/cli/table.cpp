#include "cli/table.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Catkin::Cli
{

namespace
{

using nlohmann::json;

/// Control characters in a name that comes from elsewhere could otherwise change the terminal's state.
auto printable(std::string text) -> std::string
{
    std::replace_if(
        text.begin(), text.end(), [](char c) { return static_cast<unsigned char>(c) < 32 || c == 127; }, '?');
    return text;
}

auto cellText(const json &value) -> std::string
{
    if (value.is_null()) {
        return "";
    }
    return value.is_string() ? value.get<std::string>() : value.dump(-1, ' ', false, json::error_handler_t::replace);
}

}

auto renderTable(const std::vector<std::string> &head, const std::vector<std::vector<std::string>> &rows) -> std::string
{
    if (rows.empty()) {
        return "(none)\n";
    }
    auto widths = std::vector<std::size_t>{};
    for (auto i = std::size_t{0}; i < head.size(); ++i) {
        auto width = head[i].size();
        for (const auto &row : rows) {
            width = std::max(width, i < row.size() ? row[i].size() : 0);
        }
        widths.push_back(width);
    }
    auto text = std::string{};
    const auto addRow = [&](const std::vector<std::string> &row) {
        auto line = std::string{};
        for (auto i = std::size_t{0}; i < head.size(); ++i) {
            auto cell = i < row.size() ? printable(row[i]) : std::string{};
            cell.resize(widths[i], ' ');
            line += (i == 0 ? "" : "  ") + cell;
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    };
    addRow(head);
    for (const auto &row : rows) {
        addRow(row);
    }
    return text;
}

auto renderJsonTable(const json &list) -> std::string
{
    if (list.is_object()) {
        const auto it = std::find_if(list.begin(), list.end(), [](const json &value) { return value.is_array(); });
        return it == list.end() ? list.dump(2, ' ', false, json::error_handler_t::replace) + "\n" : renderJsonTable(*it);
    }
    auto head = std::vector<std::string>{};
    for (const auto &item : list) {
        for (const auto &[name, value] : item.items()) {
            if (std::find(head.begin(), head.end(), name) == head.end()) {
                head.push_back(name);
            }
        }
    }
    // The field that names the row comes first.
    for (const auto *name : {"state", "worker", "workspace", "name", "id", "job", "address"}) {
        if (const auto it = std::find(head.begin(), head.end(), name); it != head.end()) {
            std::rotate(head.begin(), it, it + 1);
        }
    }
    auto rows = std::vector<std::vector<std::string>>{};
    for (const auto &item : list) {
        auto row = std::vector<std::string>{};
        for (const auto &name : head) {
            row.push_back(item.is_object() && item.contains(name) ? cellText(item[name]) : "");
        }
        rows.push_back(row);
    }
    return renderTable(head, rows);
}

}
