/// The answer of a query: named columns and rows of text.
#pragma once

#include <string>
#include <vector>

#include "commands/command.h"

namespace pumicemast {

struct Table {
  std::vector<std::string> columns;
  std::vector<std::vector<std::string>> rows;
};

/// Keeps the rows that meet every condition. Fails on a field that is no column.
leaf::result<Table> filter_table(Table table, const std::vector<FieldCondition>& conditions);

/// Aligned columns for people, ending in a line feed; "nothing found" when empty.
std::string format_table(const Table& table);

}  // namespace pumicemast
