#include "commands/table.h"

#include <algorithm>

namespace pumicemast {

leaf::result<Table> filter_table(Table table, const std::vector<FieldCondition>& conditions) {
  for (const FieldCondition& condition : conditions) {
    const auto column = std::find(table.columns.begin(), table.columns.end(), condition.field);
    if (column == table.columns.end()) {
      std::string names;
      for (const std::string& name : table.columns) names += (names.empty() ? "" : ", ") + name;
      return leaf::new_error(Error{ErrorCode::invalid_argument, "\"" + condition.field + "\"",
                                   "expected one of the columns " + names});
    }
    const auto index = static_cast<std::size_t>(column - table.columns.begin());
    std::erase_if(table.rows, [&](const auto& row) { return row[index] != condition.value; });
  }
  return table;
}

std::string format_table(const Table& table) {
  if (table.rows.empty()) return "nothing found\n";
  std::vector<std::size_t> widths;
  for (const std::string& column : table.columns) widths.push_back(column.size());
  for (const auto& row : table.rows) {
    for (std::size_t index = 0; index < row.size(); ++index) {
      widths[index] = std::max(widths[index], row[index].size());
    }
  }
  std::string text;
  const auto add_line = [&](const std::vector<std::string>& cells) {
    std::string line;
    for (std::size_t index = 0; index < cells.size(); ++index) {
      line += cells[index];
      const bool last = index + 1 == cells.size();
      if (!last) line += std::string(widths[index] - cells[index].size() + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  };
  add_line(table.columns);
  for (const auto& row : table.rows) add_line(row);
  return text;
}

}  // namespace pumicemast
