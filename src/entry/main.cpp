/// pumicemast-entry: takes callers' requests and shares the fleet's control duties.
#include <iostream>

#include "common/command_line.h"
#include "common/log.h"
#include "entry/entry_daemon.h"

int main(int argc, char** argv) {
  using namespace pumicemast;
  Findings findings;
  const DaemonStart start = start_daemon(
      argc, argv,
      {"pumicemast-entry", "accepts callers' requests, routes them and controls rollouts",
       "pumicemast-entry --settings entry.ini"},
      findings);
  if (start.should_exit()) return start.exit_code;
  EntrySettings settings = EntrySettings::read(*start.settings);
  Charts charts;
  if (!settings.charts.empty()) charts = Charts::load(settings.charts, findings);
  if (refuse_if_any(findings) != kExitOk) return kExitUsage;

  configure_log(settings.name);
  EventLoop loop;
  EntryDaemon daemon(std::move(settings), std::move(charts), loop);
  return handle_error(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_CHECK(daemon.start());
        loop.on_terminate([&] { daemon.terminate(); });
        loop.run();
        return kExitOk;
      },
      [](const Error& error) {
        std::cerr << "pumicemast-entry: " << error.place << ": " << error.reason << "\n";
        return kExitFailure;
      });
}
