/// The result of a query: named columns and rows of text.
#pragma once

#include <string>
#include <vector>

#include "commands/command.h"

namespace pumicemast {

struct Table {
  std::vector<std::string> columns;
  std::vector<std::vector<std::string>> rows;
};

/// Keeps the rows that meet every condition. Fails if a condition names an unknown column.
leaf::result<Table> filter_table(Table table, const std::vector<FieldCondition>& conditions);

/// Formats aligned columns as text that ends in a line feed; "nothing found" without rows.
std::string format_table(const Table& table);

}  // namespace pumicemast
