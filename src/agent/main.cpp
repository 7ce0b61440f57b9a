/// pumicemast-agent: the only process of pumicemast that runs on a back-end machine.
#include "agent/agent_daemon.h"
#include "common/daemon_main.h"

int main(int argc, char** argv) {
  return pumicemast::run_daemon<pumicemast::AgentDaemon, pumicemast::AgentSettings>(
      argc, argv,
      {"pumicemast-agent", "fetches weights, orders its engine and admits work",
       "pumicemast-agent --settings agent.ini"});
}
