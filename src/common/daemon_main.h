/// The main function that the daemons share.
#pragma once

#include <iostream>

#include "common/command_line.h"
#include "common/error.h"
#include "common/event_loop.h"
#include "common/log.h"
#include "common/settings_reloader.h"
#include "common/state_chart.h"

#include <getopt.h>

namespace pumicemast {

/// Reads the command line, settings and charts, and runs the daemon until it ends. Faulty input is
/// refused with a report of all findings.
/// @tparam Daemon          has Daemon(DaemonSettings, Charts, EventLoop&), start(), terminate().
/// @tparam DaemonSettings  has read(Settings&), process_name() and charts; with a member
///                         kLogsDecisions it logs to standard output, without blocking.
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
        // Before the daemon listens: by default, a signal would end it with its first requests.
        loop.on_terminate([&] { daemon.terminate(); });
        std::unique_ptr<SettingsReloader> reloader;
        if constexpr (requires { daemon.reload(DaemonSettings()); }) {
          reloader = std::make_unique<SettingsReloader>(start.settings->path(), loop, [&] {
            Findings found;
            // Parse the command line again: its overrides also apply to the changed file.
            optind = 1;
            const DaemonStart again = start_daemon(argc, argv, usage, found);
            if (again.should_exit()) return;
            DaemonSettings changed = DaemonSettings::read(*again.settings);
            for (const Finding& finding : found.all()) {
              LOG(ERROR) << "reload state=REFUSED finding=\"" << finding.to_string() << "\"";
            }
            if (found.empty()) daemon.reload(changed);
          });
        }
        BOOST_LEAF_CHECK(daemon.start());
        loop.run();
        if constexpr (requires { DaemonSettings::kLogsDecisions; }) flush_decision_log();
        return kExitOk;
      },
      [&](const Error& error) {
        std::cerr << usage.program << ": " << error.place << ": " << error.reason << "\n";
        return kExitFailure;
      });
}

}  // namespace pumicemast
