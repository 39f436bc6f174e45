#include "figuretable.h"

#include <algorithm>
#include <cstdio>
#include <fstream>

namespace Catkin
{

auto FigureTable::add(const FigureName &name, double value, const FigureTarget &target) -> void
{
    auto it = std::find_if(m_rows.begin(), m_rows.end(), [&](const auto &row) { return row.name == name; });
    if (it == m_rows.end()) {
        m_rows.push_back({name, target, {}});
        it = m_rows.end() - 1;
    }
    it->values.push_back(value);
}

auto FigureTable::merge(const FigureTable &other) -> void
{
    for (const auto &row : other.m_rows) {
        for (const auto value : row.values) {
            add(row.name, value, row.target);
        }
    }
}

auto FigureTable::summary(const Row &row) -> Summary
{
    auto values = row.values;
    std::sort(values.begin(), values.end());
    auto result = Summary{values[values.size() / 2], values.front(), values.back(), ""};
    if (!row.target.relation.empty()) {
        const auto met = row.target.relation == "<=" ? result.highest <= row.target.value : result.lowest >= row.target.value;
        result.verdict = met ? "met" : "missed";
    }
    return result;
}

auto FigureTable::print() const -> void
{
    std::printf("| deployment | scenario | policy | figure | median | lowest | highest | target | verdict |\n|---|---|---|---|---|---|---|---|---|\n");
    for (const auto &row : m_rows) {
        const auto it = summary(row);
        auto target = std::array<char, 32>{};
        if (!row.target.relation.empty()) {
            std::snprintf(target.data(), target.size(), "%s %g", row.target.relation.c_str(), row.target.value);
        }
        std::printf("| %s | %s | %s | %s | %.3f | %.3f | %.3f | %s | %s |\n",
                    row.name[0].c_str(),
                    row.name[1].c_str(),
                    row.name[2].c_str(),
                    row.name[3].c_str(),
                    it.median,
                    it.lowest,
                    it.highest,
                    target.data(),
                    it.verdict.c_str());
    }
}

auto FigureTable::writeCsv(const std::string &path) const -> bool
{
    auto file = std::ofstream{path};
    file << "deployment,scenario,policy,figure,median,lowest,highest,seeds,relation,target,verdict\n";
    for (const auto &row : m_rows) {
        const auto it = summary(row);
        for (const auto &part : row.name) {
            file << '"' << part << "\",";
        }
        file << it.median << ',' << it.lowest << ',' << it.highest << ',' << row.values.size() << ',' << row.target.relation << ',';
        if (!row.target.relation.empty()) {
            file << row.target.value;
        }
        file << ',' << it.verdict << '\n';
    }
    return file.good();
}

auto FigureTable::writeSvg(const std::string &path) const -> bool
{
    auto file = std::ofstream{path};
    constexpr auto left = 520.0;
    constexpr auto width = 300.0;
    constexpr auto rowHeight = 18.0;
    constexpr auto reach = 4.0; ///< bars end at this multiple of the target
    auto rows = std::vector<const Row *>{};
    for (const auto &row : m_rows) {
        if (!row.target.relation.empty()) {
            rows.push_back(&row);
        }
    }
    const auto height = 40 + rowHeight * static_cast<double>(rows.size());
    file << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"920\" height=\"" << height << "\" font-family=\"sans-serif\" font-size=\"11\">\n"
         << "<text x=\"10\" y=\"18\">Median relative to the target (vertical line); bars are cut at " << reach << " times the target</text>\n";
    auto y = 34.0;
    for (const auto *row : rows) {
        const auto it = summary(*row);
        auto x = [&](double value) { return left + width * std::clamp(value / row->target.value / reach, 0.0, 1.0); };
        file << "<text x=\"10\" y=\"" << y + 10 << "\">" << row->name[0] << ", " << row->name[1] << ", " << row->name[3] << " ("
             << (row->target.relation == "<=" ? "at most" : "at least") << ' ' << row->target.value << "), " << row->name[2] << "</text>\n"
             << "<rect x=\"" << left << "\" y=\"" << y << "\" height=\"12\" width=\"" << x(it.median) - left << "\" fill=\""
             << (it.verdict == "met" ? "#3a7d44" : "#c0392b") << "\"/>\n"
             << "<line x1=\"" << x(it.lowest) << "\" x2=\"" << x(it.highest) << "\" y1=\"" << y + 6 << "\" y2=\"" << y + 6 << "\" stroke=\"black\"/>\n"
             << "<text x=\"" << left + width + 8 << "\" y=\"" << y + 10 << "\">" << it.median << ' ' << it.verdict << "</text>\n";
        y += rowHeight;
    }
    const auto line = left + width / reach;
    file << "<line x1=\"" << line << "\" x2=\"" << line << "\" y1=\"30\" y2=\"" << y << "\" stroke=\"black\" stroke-dasharray=\"3\"/>\n</svg>\n";
    return file.good();
}

}
