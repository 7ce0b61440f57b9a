/// pumicemast-entry: routes requests from callers and competes for the controller role.
#include "common/daemon_main.h"
#include "entry/entry_daemon.h"

int main(int argc, char** argv) {
  return pumicemast::run_daemon<pumicemast::EntryDaemon, pumicemast::EntrySettings>(
      argc, argv,
      {"pumicemast-entry", "accepts callers' requests, routes them and controls rollouts",
       "pumicemast-entry --settings entry.ini"});
}
