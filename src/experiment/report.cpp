#include "experiment/report.h"

#include <glib.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

namespace pumicemast {
namespace {

using simulation::BurstResult;
using simulation::BurstSettings;

std::string samples_csv(const BurstResult& result) {
  std::string text = "time_s,live,alive,origin_bytes,peer_bytes,inter_region_bytes\n";
  for (const simulation::BurstSample& sample : result.samples) {
    char line[160];
    std::snprintf(line, sizeof(line), "%.6f,%u,%u,%llu,%llu,%llu\n", sample.time_s, sample.live,
                  sample.alive, static_cast<unsigned long long>(sample.origin_bytes),
                  static_cast<unsigned long long>(sample.peer_bytes),
                  static_cast<unsigned long long>(sample.inter_region_bytes));
    text += line;
  }
  return text;
}

std::string history_lines(const BurstResult& result) {
  std::string text;
  for (const simulation::BurstEvent& event : result.history) {
    text += nlohmann::json{{"time_s", event.time_s},
                           {"what", event.what},
                           {"machine", event.machine},
                           {"version", event.version}}
                .dump() +
            "\n";
  }
  return text;
}

/// Live replicas over time from the history, so that the plot has every step.
std::string live_steps(const BurstResult& result) {
  std::string text;
  for (std::size_t index = 0; index < result.live_times_s.size(); ++index) {
    char line[64];
    std::snprintf(line, sizeof(line), "%.6f %zu\n", result.live_times_s[index], index + 1);
    text += line;
  }
  return text;
}

std::string gnuplot_script(const BurstSettings& settings, const BurstResult& result) {
  const double bound_s = settings.bound_s(result.survivors) + result.last_order_s;
  const std::string bound = std::to_string(bound_s);
  return "set terminal svg size 900,500 dynamic name 'pumicemast'\n"
         "set datafile separator ','\n"
         "set key left top\nset grid\nset xlabel 'seconds'\n"
         "set output 'live.svg'\nset ylabel 'replicas live'\n"
         "set arrow from " +
         bound + ", graph 0 to " + bound +
         ", graph 1 nohead dashtype 2\n"
         "plot 'live.dat' using (column(1)):(column(2)) with steps title 'live', "
         "NaN with lines dashtype 2 title 'fluid bound'\n"
         "unset arrow\nset output 'bytes.svg'\nset ylabel 'GB'\n"
         "plot 'samples.csv' every ::1 using 1:($4/1e9) with lines title 'from the origin', "
         "'' every ::1 using 1:($5/1e9) with lines title 'from peers', "
         "'' every ::1 using 1:($6/1e9) with lines title 'between regions'\n";
}

leaf::result<void> write_file(const std::string& path, const std::string& content) {
  std::ofstream stream(path, std::ios::binary);
  stream << content;
  if (!stream) {
    return leaf::new_error(Error{ErrorCode::unavailable, path, "cannot be written"});
  }
  return {};
}

/// Runs gnuplot in `directory`. @return whether it succeeded.
bool run_gnuplot(const std::string& directory) {
  gchar* program = g_find_program_in_path("gnuplot");
  if (program == nullptr) return false;
  gchar script[] = "plots.gnuplot";
  gchar* arguments[] = {program, script, nullptr};
  gint status = 0;
  const gboolean started = g_spawn_sync(
      directory.c_str(), arguments, nullptr,
      static_cast<GSpawnFlags>(G_SPAWN_STDOUT_TO_DEV_NULL | G_SPAWN_STDERR_TO_DEV_NULL), nullptr,
      nullptr, nullptr, nullptr, &status, nullptr);
  g_free(program);
  return started != FALSE && g_spawn_check_wait_status(status, nullptr) != FALSE;
}

}  // namespace

leaf::result<std::string> write_report(const std::string& directory, const BurstSettings& settings,
                                       const BurstResult& result, const Figures& figures) {
  std::error_code failure;
  std::filesystem::create_directories(directory, failure);
  if (failure) {
    return leaf::new_error(Error{ErrorCode::unavailable, directory, failure.message()});
  }
  BOOST_LEAF_CHECK(write_file(directory + "/figures.txt", figures.format()));
  BOOST_LEAF_CHECK(write_file(directory + "/samples.csv", samples_csv(result)));
  BOOST_LEAF_CHECK(write_file(directory + "/history.jsonl", history_lines(result)));
  std::string steps = live_steps(result);
  std::replace(steps.begin(), steps.end(), ' ', ',');
  BOOST_LEAF_CHECK(write_file(directory + "/live.dat", steps));
  BOOST_LEAF_CHECK(write_file(directory + "/plots.gnuplot", gnuplot_script(settings, result)));
  return run_gnuplot(directory) ? "" : "no plots were written: gnuplot is missing or failed";
}

}  // namespace pumicemast
