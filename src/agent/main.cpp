/// pumicemast-agent: the one process of the system on a back-end machine.
#include <iostream>

#include "agent/agent_daemon.h"
#include "common/command_line.h"
#include "common/log.h"

int main(int argc, char** argv) {
  using namespace pumicemast;
  Findings findings;
  const DaemonStart start =
      start_daemon(argc, argv,
                   {"pumicemast-agent", "fetches weights, orders its engine and admits work",
                    "pumicemast-agent --settings agent.ini"},
                   findings);
  if (start.should_exit()) return start.exit_code;
  AgentSettings settings = AgentSettings::read(*start.settings);
  Charts charts;
  if (!settings.charts.empty()) charts = Charts::load(settings.charts, findings);
  if (refuse_if_any(findings) != kExitOk) return kExitUsage;

  configure_log(settings.machine);
  EventLoop loop;
  AgentDaemon daemon(std::move(settings), std::move(charts), loop);
  return handle_error(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_CHECK(daemon.start());
        loop.on_terminate([&] { daemon.terminate(); });
        loop.run();
        return kExitOk;
      },
      [](const Error& error) {
        std::cerr << "pumicemast-agent: " << error.place << ": " << error.reason << "\n";
        return kExitFailure;
      });
}
