#pragma once

/// Collects figures over several seeds and prints them as a table, CSV and SVG.
///
/// @code
///   auto table = Catkin::FigureTable{};
///   table.add({"gas", "one caller at 100x", "fair", "p99 / alone"}, 1.2, {"<=", 1.5});   // once for each seed
///   table.print();
/// @endcode

#include <array>
#include <string>
#include <vector>

namespace Catkin
{

/// Target of a figure; no relation means none.
struct FigureTarget
{
    std::string relation; ///< "<=", ">=" or empty
    double value = 0;
};

/// Deployment, scenario, policy and figure.
using FigureName = std::array<std::string, 4>;

class FigureTable
{
public:
    auto add(const FigureName &name, double value, const FigureTarget &target) -> void;
    /// Adds all values of another table.
    auto merge(const FigureTable &other) -> void;
    /// Prints median, lowest and highest value of each figure, and whether every seed met the target.
    auto print() const -> void;
    /// @return whether the file was written.
    [[nodiscard]] auto writeCsv(const std::string &path) const -> bool;
    /// Draws the figures that have targets: one bar for each median, a line from lowest to highest.
    [[nodiscard]] auto writeSvg(const std::string &path) const -> bool;

private:
    struct Row
    {
        FigureName name;
        FigureTarget target;
        std::vector<double> values;
    };
    struct Summary
    {
        double median = 0;
        double lowest = 0;
        double highest = 0;
        std::string verdict;
    };
    static auto summary(const Row &row) -> Summary;

    std::vector<Row> m_rows;
};

}
