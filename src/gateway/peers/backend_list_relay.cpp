#include "gateway/peers/backend_list_relay.h"

namespace pumicemast {
namespace {

/// Shortest time between two requests for the whole list. The list, 20 KB for 120 back ends,
/// crosses a zone within milliseconds. If no answer arrives, the next gateway that advertises a
/// newer list leads to another request.
constexpr Duration kRequestInterval = milliseconds(300);

}  // namespace

void BackendListRelay::on_list_read(const StoreRevision& revision) {
  changes_.clear();
  follower_.on_read(revision);
}

void BackendListRelay::on_removed(const std::string& id, const StoreRevision& revision) {
  BackendChange change;
  change.record.id = id;
  change.record.revision = revision;
  change.removed = true;
  changes_.push_back(std::move(change));
}

std::optional<BackendChanges> BackendListRelay::on_current(const StoreRevision& revision) {
  if (changes_.empty()) return std::nullopt;
  BackendChanges changes{follower_.revision(), revision, false, std::move(changes_)};
  changes_.clear();
  follower_.on_read(revision);
  return changes;
}

bool BackendListRelay::should_ask(const StoreRevision& revision, TimePoint now) {
  if (!follower_.is_behind(revision) || now < next_request_at_) return false;
  next_request_at_ = now + kRequestInterval;
  return true;
}

}  // namespace pumicemast
