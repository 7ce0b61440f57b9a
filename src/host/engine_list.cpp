#include "host/engine_list.h"

namespace pumicemast {
namespace {

/// Gateways that read the list announce that twice a second, and are replaced within 1.5 s.
constexpr Duration kReaderTimeout = seconds(4);
/// Minimum time between two requests for the full list, which arrives in a few milliseconds within
/// a zone.
constexpr Duration kListRequestInterval = milliseconds(500);

}  // namespace

void EngineList::replace(const std::vector<BackendRecord>& records) {
  records_.clear();
  for (const BackendRecord& record : records) records_[record.id] = record;
}

void EngineList::on_list_read(const std::vector<BackendRecord>& records,
                              const StoreRevision& revision) {
  // The answer of the store may be seconds old.
  if (follower_.revision() > revision) return;
  follower_.on_read(revision);
  replace(records);
}

BackendListFollower::Step EngineList::on_changes(const BackendChanges& changes) {
  const BackendListFollower::Step step = follower_.on_changes(changes);
  if (step != BackendListFollower::Step::apply) return step;
  if (changes.complete) records_.clear();
  for (const BackendChange& entry : changes.entries) {
    if (entry.removed) {
      records_.erase(entry.record.id);
    } else {
      records_[entry.record.id] = entry.record;
    }
  }
  return step;
}

bool EngineList::on_reader_status(const StoreRevision& revision, TimePoint now) {
  reader_seen_at_ = now;
  if (!follower_.is_behind(revision) || now < next_request_at_) return false;
  next_request_at_ = now + kListRequestInterval;
  return true;
}

bool EngineList::relayed_by_gateways(TimePoint now) const {
  return reader_seen_at_ && now - *reader_seen_at_ < kReaderTimeout;
}

std::vector<BackendRecord> EngineList::records() const {
  std::vector<BackendRecord> result;
  for (const auto& [id, record] : records_) result.push_back(record);
  return result;
}

}  // namespace pumicemast
