/// pumicemast-hollow: runs many hollow agents in one process to measure entries at scale.
#include <cstdio>
#include <iostream>

#include "common/command_line.h"
#include "common/log.h"
#include "hollow/hollow_agent.h"

namespace {

using namespace pumicemast;

void print_totals(const HollowTotals& totals) {
  std::printf("figure statuses_sent %llu messages\n",
              static_cast<unsigned long long>(totals.statuses_sent));
  std::printf("figure status_bytes_sent %llu bytes\n",
              static_cast<unsigned long long>(totals.status_bytes_sent));
  std::printf("figure assignments_received %llu messages\n",
              static_cast<unsigned long long>(totals.assignments_received));
  std::printf("figure assignment_bytes_received %llu bytes\n",
              static_cast<unsigned long long>(totals.assignment_bytes_received));
  std::printf("figure requests_answered %llu requests\n",
              static_cast<unsigned long long>(totals.requests_answered));
}

}  // namespace

int main(int argc, char** argv) {
  Findings findings;
  const DaemonStart start = start_daemon(
      argc, argv,
      {"pumicemast-hollow", "simulates many agents without engines to load-test entries",
       "pumicemast-hollow --settings hollow.ini --set hollow.agents=2000"},
      findings);
  if (start.should_exit()) return start.exit_code;
  Settings& settings = *start.settings;
  const auto entries = settings.required_addresses("hollow", "entries");
  const auto agents = settings.integer_or("hollow", "agents", 100, {1, 20000});
  const auto first = settings.integer_or("hollow", "first_number", 0, {0, 1000000});
  const auto zones = settings.integer_or("hollow", "zones", 3, {1, 1000});
  const Duration heartbeat = settings.milliseconds_or("hollow", "heartbeat_ms", 1000, {10, 60000});
  settings.report_unknown();
  if (refuse_if_any(findings) != kExitOk) return kExitUsage;

  configure_log("hollow");
  el::Loggers::reconfigureAllLoggers(el::ConfigurationType::Enabled, "false");
  EventLoop loop;
  HollowTotals totals;
  std::vector<std::unique_ptr<HollowAgent>> fleet;
  for (std::int64_t index = first; index < first + agents; ++index) {
    const std::string zone = std::to_string(index % zones);
    HollowOptions options;
    options.machine = "hollow-" + std::to_string(index);
    options.region = "region-" + zone;
    options.zone = "zone-" + zone;
    options.entries = entries;
    options.heartbeat = heartbeat;
    options.seed = static_cast<std::uint64_t>(index) + 1;
    fleet.push_back(std::make_unique<HollowAgent>(std::move(options), totals));
    fleet.back()->start();
  }
  loop.on_terminate([&] { loop.quit(); });
  loop.run();
  print_totals(totals);
  return kExitOk;
}
