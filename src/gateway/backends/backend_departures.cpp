#include "gateway/backends/backend_departures.h"

#include <algorithm>

namespace pumicemast {
namespace {

/// A restored store may list again all back ends that left within the seconds before.
constexpr std::size_t kMaximumListed = 512;
constexpr std::size_t kMaximumRecent = 64;
/// Bounds the memory that wrong responses can take.
constexpr std::size_t kMaximumAnnounced = 1024;
/// How long an announcement is sent to other gateways. Each sends on what is new to it, so that it
/// reaches all of them through several digests.
constexpr Duration kAdvertisedFor = seconds(10);

}  // namespace

void BackendDepartures::on_listed(const BackendDeparture& departure) {
  const auto [entry, inserted] = listed_.emplace(departure.backend.id, departure);
  BackendDeparture& known = entry->second;
  if (!inserted && departure.revision <= known.revision) return;
  if (!inserted) {
    const bool was_draining = known.draining && known.backend == departure.backend;
    known = departure;
    known.draining = departure.draining || was_draining;
    std::erase(listed_order_, departure.backend.id);
  }
  listed_order_.push_back(departure.backend.id);
  if (listed_order_.size() <= kMaximumListed) return;
  listed_.erase(listed_order_.front());
  listed_order_.pop_front();
}

void BackendDepartures::on_list_revision(const StoreRevision& revision, TimePoint now) {
  if (revision.era <= era_) return;
  era_ = revision.era;
  era_since_ = now;
}

bool BackendDepartures::on_announced(const BackendIncarnation& backend, TimePoint now) {
  if (!announced_.emplace(backend, now).second) return false;
  announced_order_.push_back(backend);
  if (announced_order_.size() <= kMaximumAnnounced) return true;
  announced_.erase(announced_order_.front());
  announced_order_.pop_front();
  return true;
}

bool BackendDepartures::covers(const BackendRecord& record, TimePoint now) const {
  if (announced({record.id, record.started_at_ms})) return true;
  const auto found = listed_.find(record.id);
  if (found == listed_.end()) return false;
  const BackendDeparture& departure = found->second;
  if (departure.revision >= record.revision) return true;
  // A later entry shows that it came back, but not if the store was restored from a copy that is
  // older than the departure.
  if (departure.revision.era == record.revision.era) return false;
  if (departure.backend.started_at_ms != record.started_at_ms) return false;
  return departure.draining || now < era_since_ + kRestoreSettlingTime;
}

std::vector<BackendDeparture> BackendDepartures::recent() const {
  std::vector<BackendDeparture> departures;
  const std::size_t count = std::min(kMaximumRecent, listed_order_.size());
  for (std::size_t index = listed_order_.size() - count; index < listed_order_.size(); ++index) {
    departures.push_back(listed_.at(listed_order_[index]));
  }
  return departures;
}

bool BackendDepartures::announced(const BackendIncarnation& backend) const {
  return announced_.contains(backend);
}

std::optional<TimePoint> BackendDepartures::announced_at(const BackendIncarnation& backend) const {
  const auto found = announced_.find(backend);
  if (found == announced_.end()) return std::nullopt;
  return found->second;
}

std::vector<BackendIncarnation> BackendDepartures::recently_announced(TimePoint now) const {
  const auto is_recent = [&](const BackendIncarnation& backend) {
    return now - announced_.at(backend) < kAdvertisedFor;
  };
  const auto first =
      std::find_if_not(announced_order_.rbegin(), announced_order_.rend(), is_recent).base();
  return {first, announced_order_.end()};
}

}  // namespace pumicemast
