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

void BackendDepartures::on_listed(const std::string& id, std::uint64_t revision) {
  const auto [known, inserted] = revisions_.emplace(id, revision);
  if (!inserted) {
    known->second = std::max(known->second, revision);
    return;
  }
  order_.push_back({id, revision});
  if (order_.size() <= kMaximumRemembered) return;
  revisions_.erase(order_.front().id);
  order_.pop_front();
}

bool BackendDepartures::on_announced(const BackendIncarnation& backend, TimePoint now) {
  if (announced(backend)) return false;
  announced_.push_back({backend, now});
  if (announced_.size() > kMaximumAnnounced) announced_.pop_front();
  return true;
}

bool BackendDepartures::covers(const BackendRecord& record) const {
  if (announced({record.id, record.started_at_ms})) return true;
  const auto departure = revisions_.find(record.id);
  return departure != revisions_.end() && departure->second >= record.revision;
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
