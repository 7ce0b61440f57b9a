// The list of back ends as a gateway reads, relays and follows it.
#include "common/event_loop.h"
#include "gateway/peers/fleet_state.h"

namespace pumicemast {

void FleetState::apply_backend_list(const std::vector<BackendRecord>& records,
                                    const StoreRevision& revision) {
  pool_.on_list(records, revision, loop_now());
  log_.log_line("backend_list", "backends event=list count=" + std::to_string(records.size()) +
                                    " revision=" + to_string(revision));
}

void FleetState::apply_backend(const BackendRecord& record) {
  const bool was_leaving = pool_.leaving(record.id);
  const bool applied = pool_.on_record(record, loop_now());
  if (applied && was_leaving == record.draining) return;
  const char* state = record.draining ? "DRAINING" : "READY";
  log_.log_line("backend", "backend id=" + record.id + " service=" + record.service +
                               " address=" + record.address.to_string() +
                               " state=" + (applied ? state : "IGNORED reason=older_entry"));
}

void FleetState::apply_backend_removal(const std::string& id, const StoreRevision& revision) {
  const bool applied = pool_.on_removed(id, revision, loop_now());
  log_.log_line("backend", "backend id=" + id +
                               (applied ? " state=GONE" : " state=IGNORED reason=older_removal"));
}

void FleetState::on_backend_list(const std::vector<BackendRecord>& records,
                                 const StoreRevision& revision) {
  apply_backend_list(records, revision);
  list_relay_.on_list_read(revision);
}

void FleetState::on_backend(const BackendRecord& record) {
  apply_backend(record);
  list_relay_.on_record(record);
}

void FleetState::on_backend_removed(const std::string& id, const StoreRevision& revision) {
  apply_backend_removal(id, revision);
  list_relay_.on_removed(id, revision);
}

void FleetState::on_backends_current(const StoreRevision& revision) {
  const auto changes = list_relay_.on_current(revision);
  links_.set_list_revision(list_relay_.revision());
  update_engines();
  on_list_known();
  if (!changes) return;
  BackendChanges to_agents = *changes;
  std::erase_if(to_agents.entries, [this](const auto& entry) { return !concerns_agents(entry); });
  links_.relay_changes(*changes, to_agents);
  // Gateways that are cut off from the store learn from digests which back ends leave.
  links_.gossip_now();
}

void FleetState::on_backend_changes(PeerId gateway, const BackendChanges& changes) {
  using Step = BackendListFollower::Step;
  const Step step = list_relay_.on_changes(changes);
  if (step == Step::request_full_list) on_list_revision_advertised(gateway, changes.revision);
  if (step != Step::apply) return;
  if (changes.complete) {
    std::vector<BackendRecord> records;
    for (const BackendChange& entry : changes.entries) records.push_back(entry.record);
    apply_backend_list(records, changes.revision);
  } else {
    for (const BackendChange& entry : changes.entries) {
      if (entry.removed) {
        apply_backend_removal(entry.record.id, entry.record.revision);
      } else {
        apply_backend(entry.record);
      }
    }
  }
  links_.set_list_revision(list_relay_.revision());
  update_engines();
  on_list_known();
}

void FleetState::on_list_known() {
  if (list_known_) return;
  list_known_ = true;
  store_reader_.on_list_known();
  if (!store_reader_.reads()) assume_store_reachable();
  links_.send_digest_to_zone();  // Other gateways may be waiting for the list.
}

void FleetState::on_list_revision_advertised(PeerId gateway, const StoreRevision& revision) {
  backend_list_holders_.on_revision_advertised(gateway, revision);
  if (!list_relay_.should_ask(revision, loop_now())) return;
  if (const auto holder = backend_list_holders_.next(list_relay_.revision())) {
    links_.request_backend_list(*holder);
  }
}

bool FleetState::concerns_agents(const BackendChange& change) const {
  // For a removed back end only the id is known, not the service.
  if (change.removed || !routes_) return true;
  const ServiceProfile* service = routes_->service(change.record.service);
  return service == nullptr || service->engine.has_value();
}

BackendChanges FleetState::own_backend_list(ListScope scope) {
  BackendChanges list{0, list_relay_.revision(), true, {}};
  for (const BackendRecord& record : pool_.listed_records()) {
    const BackendChange entry{record, false};
    if (scope == ListScope::all || concerns_agents(entry)) list.entries.push_back(entry);
  }
  return list;
}

}  // namespace pumicemast
