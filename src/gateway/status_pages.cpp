#include "gateway/status_pages.h"

namespace pumicemast {
namespace {

std::string backend_state(const BackendPool& pool, const BackendRecord& record, TimePoint now) {
  const BackendIncarnation backend{record.id, record.started_at_ms};
  if (const auto announced_at = pool.departures().announced_at(backend)) {
    return "state=LEAVING source=announcement for_ms=" +
           std::to_string(to_milliseconds(now - *announced_at));
  }
  if (record.draining) return "state=DRAINING source=list";
  if (pool.pushbacks().paused(backend, now)) {
    const Duration left = pool.pushbacks().admits_from(backend) - now;
    return "state=PAUSED left_ms=" + std::to_string(to_milliseconds(left));
  }
  return "state=READY";
}

}  // namespace

std::string quarantine_page(const RequestQuarantine& quarantine, TimePoint now) {
  std::string page;
  for (const QuarantinedSuspect& entry : quarantine.list(now)) {
    page += "fingerprint=" + to_string(entry.suspect.fingerprint) +
            " ends=" + std::to_string(entry.crashes) +
            " held_for_s=" + std::to_string(to_milliseconds(entry.held_for) / 1000);
    if (entry.suspect.kind == SuspectKind::prompt_part) page += " kind=prompt_part";
    page += "\n";
  }
  return page;
}

std::string backends_page(const BackendPool& pool, TimePoint now) {
  std::string page;
  for (const BackendRecord& record : pool.listed_records()) {
    page += "id=" + record.id + " service=" + record.service + " zone=" + record.zone +
            " address=" + record.address.to_string() + " " + backend_state(pool, record, now) +
            "\n";
  }
  return page;
}

}  // namespace pumicemast
