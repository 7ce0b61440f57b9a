#include "gateway/backends/backend_departures.h"

#include <algorithm>

namespace pumicemast {
namespace {

constexpr std::size_t kMaximumRemembered = 64;
/// Bounds the memory that wrong responses can take.
constexpr std::size_t kMaximumAnnounced = 1024;
/// How long an announcement is sent to other gateways. Each sends on what is new to it, so that it
/// reaches all of them through several digests.
constexpr Duration kAdvertisedFor = seconds(10);

}  // namespace

void BackendDepartures::on_listed(const BackendDeparture& departure) {
  const auto [known, inserted] = listed_.emplace(departure.backend.id, departure);
  if (inserted) {
    order_.push_back(departure.backend.id);
    if (order_.size() <= kMaximumRemembered) return;
    listed_.erase(order_.front());
    order_.pop_front();
    return;
  }
  if (departure.revision < known->second.revision) return;
  const bool was_draining = known->second.draining && known->second.backend == departure.backend;
  known->second = departure;
  known->second.draining = departure.draining || was_draining;
}

void BackendDepartures::on_list_revision(const StoreRevision& revision, TimePoint now) {
  if (revision.era <= era_) return;
  era_ = revision.era;
  era_since_ = now;
}

bool BackendDepartures::on_announced(const BackendIncarnation& backend, TimePoint now) {
  if (announced(backend)) return false;
  announced_.push_back({backend, now});
  if (announced_.size() > kMaximumAnnounced) announced_.pop_front();
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
  for (const std::string& id : order_) departures.push_back(listed_.at(id));
  return departures;
}

bool BackendDepartures::announced(const BackendIncarnation& backend) const {
  return announced_at(backend).has_value();
}

std::optional<TimePoint> BackendDepartures::announced_at(const BackendIncarnation& backend) const {
  const auto found =
      std::find_if(announced_.begin(), announced_.end(),
                   [&](const Announcement& known) { return known.backend == backend; });
  if (found == announced_.end()) return std::nullopt;
  return found->known_since;
}

std::vector<BackendIncarnation> BackendDepartures::recently_announced(TimePoint now) const {
  std::vector<BackendIncarnation> recent;
  for (const Announcement& announcement : announced_) {
    if (now - announcement.known_since < kAdvertisedFor) recent.push_back(announcement.backend);
  }
  return recent;
}

}  // namespace pumicemast
