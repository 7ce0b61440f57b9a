/// The main function that the daemons share.
#pragma once

#include <iostream>

#include "common/command_line.h"
#include "common/error.h"
#include "common/event_loop.h"
#include "common/log.h"
#include "common/state_chart.h"

namespace pumicemast {

/// Reads the command line, settings and charts, refuses them with all findings, and runs the
/// daemon until its end.
/// @tparam Daemon          has Daemon(DaemonSettings, Charts, EventLoop&), start(), terminate().
/// @tparam DaemonSettings  has read(Settings&), process_name() and charts; with a member
///                         kLogsDecisions it logs to standard output, without waiting.
template <class Daemon, class DaemonSettings>
int run_daemon(int argc, char** argv, const DaemonUsage& usage) {
  Findings findings;
  const DaemonStart start = start_daemon(argc, argv, usage, findings);
  if (start.should_exit()) return start.exit_code;
  DaemonSettings settings = DaemonSettings::read(*start.settings);
  Charts charts;
  if (!settings.charts.empty()) charts = Charts::load(settings.charts, findings);
  if (refuse_if_any(findings) != kExitOk) return kExitUsage;

  if constexpr (requires { DaemonSettings::kLogsDecisions; }) {
    configure_decision_log(settings.process_name());
  } else {
    configure_log(settings.process_name());
  }
  EventLoop loop;
  Daemon daemon(std::move(settings), std::move(charts), loop);
  return handle_error(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_CHECK(daemon.start());
        loop.on_terminate([&] { daemon.terminate(); });
        loop.run();
        return kExitOk;
      },
      [&](const Error& error) {
        std::cerr << usage.program << ": " << error.place << ": " << error.reason << "\n";
        return kExitFailure;
      });
}

}  // namespace pumicemast
