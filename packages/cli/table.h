#pragma once

/// Plain text tables.
///
/// @code
///   out << renderTable({"name", "slots"}, {{"w-1", "8"}, {"w-2", "8"}});
///   out << renderJsonTable(json::parse(R"([{"name":"w-1","slots":8}])"));
/// @endcode

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace Catkin::Cli
{

/// @param head column titles
/// @param rows cells; missing cells are empty
/// @return an aligned table with control characters of the cells replaced, or "(none)" without rows.
auto renderTable(const std::vector<std::string> &head, const std::vector<std::vector<std::string>> &rows) -> std::string;

/// Renders a list of objects, with one column for every field that occurs, in order of first appearance.
/// @param list a JSON array, or an object whose only array is meant
auto renderJsonTable(const nlohmann::json &list) -> std::string;

}
