/// pumicemastctl: the operators' command line.
#include <unistd.h>

#include <iostream>

#include "commands/table.h"
#include "common/command_line.h"
#include "common/event_loop.h"
#include "ctl/command_client.h"
#include "ctl/ctl_options.h"
#include "ctl/publisher.h"

namespace {

using namespace pumicemast;
using nlohmann::json;

constexpr Duration kWatchInterval = milliseconds(200);

void print_error(const json& document) {
  std::cerr << "pumicemastctl: " << document.value("code", "failed") << ": "
            << document.value("place", "") << ": " << document.value("reason", "") << "\n";
}

Table table_of(const json& document) {
  Table table;
  table.columns = document.value("columns", std::vector<std::string>{});
  table.rows = document.value("rows", std::vector<std::vector<std::string>>{});
  return table;
}

/// Rows as JSON objects keyed by column name, for programs.
json rows_as_objects(const Table& table) {
  json rows = json::array();
  for (const auto& row : table.rows) {
    json object = json::object();
    for (std::size_t index = 0; index < row.size(); ++index) {
      object[table.columns[index]] = row[index];
    }
    rows.push_back(object);
  }
  return rows;
}

int print_answer(const CtlOptions& options, const CommandAnswer& answer) {
  const json& document = answer.document;
  const bool ok = document.value("ok", false);
  if (options.json) {
    json shown = document;
    if (ok) {
      shown.erase("columns");
      shown["rows"] = rows_as_objects(table_of(document));
    }
    std::cout << shown.dump() << "\n";
    return answer.exit_code;
  }
  if (!ok) {
    print_error(document);
    return answer.exit_code;
  }
  const std::string text = document.value("text", "");
  if (text.empty()) {
    std::cout << format_table(table_of(document));
  } else {
    std::cout << text << " (version " << document.value("version", 0ULL) << ")\n";
  }
  return answer.exit_code;
}

int run_publish(const CtlOptions& options, CommandClient& client) {
  if (options.words.size() != 4) {
    std::cerr << "pumicemastctl: publish needs MODEL VERSION DIRECTORY; see --help\n";
    return kExitUsage;
  }
  if (options.origin_url.empty()) {
    std::cerr << "pumicemastctl: publish needs --origin or $PUMICEMAST_ORIGIN\n";
    return kExitUsage;
  }
  return handle_error(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(
            manifest, publish_directory(options.words[3], options.origin_url, options.chunk_bytes));
        return print_answer(options,
                            client.run({"create", "version", options.words[1], options.words[2],
                                        "digest=" + manifest.digest(),
                                        "bytes=" + std::to_string(manifest.total_bytes()),
                                        "chunks=" + std::to_string(manifest.chunk_count())}));
      },
      [&](const Error& error) {
        print_error(
            {{"code", to_string(error.code)}, {"place", error.place}, {"reason", error.reason}});
        return error.code == ErrorCode::unavailable ? kExitUnavailable : kExitUsage;
      });
}

std::string progress_line(const json& row) {
  return row.value("model", "") + " " + row.value("version", "") + " " + row.value("state", "") +
         ": live " + row.value("live", "") + "/" + row.value("placed", "") + " staged " +
         row.value("staged", "") + " verified " + row.value("verified_percent", "") + " %";
}

int run_watch(const CtlOptions& options, CommandClient& client) {
  if (options.words.size() != 3 || options.words[1] != "rollout") {
    std::cerr << "pumicemastctl: watch needs rollout MODEL; see --help\n";
    return kExitUsage;
  }
  const bool terminal = isatty(STDOUT_FILENO) != 0;
  const TimePoint deadline = loop_now() + milliseconds(options.timeout_ms);
  std::string last;
  while (true) {
    const CommandAnswer answer =
        client.run({"show", "rollouts", "where", "model=" + options.words[2]});
    if (answer.exit_code != kExitOk) return print_answer(options, answer);
    const json rows = rows_as_objects(table_of(answer.document));
    if (rows.empty()) {
      print_error({{"code", "not_found"},
                   {"place", options.words[2]},
                   {"reason", "no rollout of this model"}});
      return kExitNotFound;
    }
    const json& row = rows.front();
    const std::string line = options.json ? row.dump() : progress_line(row);
    if (line != last) std::cout << (terminal ? "\r\033[K" : "") << line << (terminal ? "" : "\n");
    std::cout.flush();
    last = line;
    const std::string state = row.value("state", "");
    if (state == "COMPLETED" || state == "ABORTED") {
      if (terminal) std::cout << "\n";
      return kExitOk;
    }
    if (loop_now() >= deadline) {
      std::cerr << "pumicemastctl: the rollout is still " << state << "\n";
      return kExitUnavailable;
    }
    EventLoop pause;
    Timer timer;
    timer.start_once(kWatchInterval, [&] { pause.quit(); });
    pause.run();
  }
}

}  // namespace

int main(int argc, char** argv) {
  const CtlStart start = read_ctl_options(argc, argv);
  if (!start.options) return start.exit_code;
  const CtlOptions& options = *start.options;
  CommandClient client(options.entries, options.user);
  if (options.words[0] == "publish") return run_publish(options, client);
  if (options.words[0] == "watch") return run_watch(options, client);
  return print_answer(options, client.run(options.words));
}
