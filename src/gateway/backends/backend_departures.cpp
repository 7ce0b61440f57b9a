#include "gateway/backends/backend_departures.h"

#include <algorithm>

namespace pumicemast {
namespace {

constexpr std::size_t kMaximumRemembered = 64;
/// Bounds the memory that wrong responses can take.
constexpr std::size_t kMaximumAnnounced = 1024;

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

bool BackendDepartures::on_announced(const BackendIncarnation& backend) {
  if (announced(backend)) return false;
  announced_.push_back(backend);
  if (announced_.size() > kMaximumAnnounced) announced_.pop_front();
  return true;
}

bool BackendDepartures::covers(const BackendRecord& record) const {
  if (announced({record.id, record.started_at_ms})) return true;
  const auto departure = revisions_.find(record.id);
  return departure != revisions_.end() && departure->second >= record.revision;
}

bool BackendDepartures::announced(const BackendIncarnation& backend) const {
  return std::find(announced_.begin(), announced_.end(), backend) != announced_.end();
}

}  // namespace pumicemast
