#include <chrono>
#include <iostream>
#include "common/command_line.h"
#include "simulation/burst_simulation.h"
using namespace pumicemast;
using namespace pumicemast::simulation;
int main(int argc, char** argv) {
  Findings findings;
  DaemonStart start = start_daemon(argc, argv, {"x", "y", "z"}, findings);
  if (start.should_exit()) return start.exit_code;
  BurstSettings settings = BurstSettings::read(*start.settings);
  start.settings->report_unknown();
  Charts charts = Charts::load("charts", findings);
  if (refuse_if_any(findings) != kExitOk) return kExitUsage;
  auto t0 = std::chrono::steady_clock::now();
  BurstSimulation sim(settings, charts.replica);
  BurstResult r = sim.run();
  double wall = std::chrono::duration<double>(std::chrono::steady_clock::now() - t0).count();
  double bound = settings.bound_s(r.survivors);
  auto at = [&](double share) {
    return r.live_times_s.empty() ? -1
                                  : r.live_times_s[(size_t)(share * (r.live_times_s.size() - 1))];
  };
  if (getenv("HIST")) {
    for (auto& e : r.history)
      if (e.what != "live") std::cerr << e.time_s << " " << e.what << " " << e.machine << "\n";
    for (auto& x : r.samples)
      std::cerr << "t " << x.time_s << " live " << x.live << "/" << x.alive << " origin "
                << x.origin_bytes / 1e9 << " peer " << x.peer_bytes / 1e9 << " inter "
                << x.inter_region_bytes / 1e9 << "\n";
  }
  std::cout << "all_ratio " << (at(1) - r.last_order_s) / bound << " half "
            << (at(0.5) - r.last_order_s) / bound << " first " << (at(0) - r.last_order_s) / bound
            << " never " << r.never_live << " surv " << r.survivors << " origin "
            << (double)r.origin_bytes / settings.model_bytes << " inter "
            << (double)r.inter_region_bytes / settings.model_bytes << " dup "
            << (double)r.duplicate_bytes / settings.model_bytes / r.survivors << " timeouts "
            << r.request_timeouts << " takeovers " << r.takeovers << " mem "
            << r.peak_agent_memory / 1e6 << " msgs " << r.messages << " ev " << r.events << " wall "
            << wall << " bad " << r.partial_or_mixed_served << "\n";
}
