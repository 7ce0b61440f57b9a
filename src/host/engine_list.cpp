#include "host/engine_list.h"

namespace pumicemast {
namespace {

/// Gateways that read the list say so twice a second, and are replaced within 1.5 s.
constexpr Duration kReaderLifetime = seconds(4);
/// The whole list comes within the zone in some milliseconds.
constexpr Duration kAskInterval = milliseconds(500);

}  // namespace

void EngineList::replace(const std::vector<BackendRecord>& records) {
  records_.clear();
  for (const BackendRecord& record : records) records_[record.id] = record;
}

void EngineList::on_listed(const std::vector<BackendRecord>& records, std::uint64_t revision) {
  // The store may give an answer that is seconds old.
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

bool EngineList::on_reader_heard(std::uint64_t revision, TimePoint now) {
  reader_heard_at_ = now;
  if (!follower_.is_behind(revision) || now < next_ask_) return false;
  next_ask_ = now + kAskInterval;
  return true;
}

bool EngineList::told_by_gateways(TimePoint now) const {
  return reader_heard_at_ && now - *reader_heard_at_ < kReaderLifetime;
}

std::vector<BackendRecord> EngineList::records() const {
  std::vector<BackendRecord> result;
  for (const auto& [id, record] : records_) result.push_back(record);
  return result;
}

}  // namespace pumicemast
