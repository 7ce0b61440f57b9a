#include "gateway/peers/backend_list_relay.h"

namespace pumicemast {
namespace {

/// The whole list, 20 KB for 120 back ends, is within a zone in some milliseconds; an answer that
/// does not come is asked for again from whoever tells next of a newer list.
constexpr Duration kAskInterval = milliseconds(300);

}  // namespace

void BackendListRelay::on_listed(std::uint64_t revision) {
  changes_.clear();
  follower_.on_read(revision);
}

void BackendListRelay::on_gone(const std::string& id, std::uint64_t revision) {
  BackendChange change;
  change.record.id = id;
  change.record.revision = revision;
  change.removed = true;
  changes_.push_back(std::move(change));
}

std::optional<BackendChanges> BackendListRelay::on_current(std::uint64_t revision) {
  if (changes_.empty()) return std::nullopt;
  BackendChanges told{follower_.revision(), revision, false, std::move(changes_)};
  changes_.clear();
  follower_.on_read(revision);
  return told;
}

bool BackendListRelay::should_ask(std::uint64_t revision, TimePoint now) {
  if (!follower_.is_behind(revision) || now < next_ask_) return false;
  next_ask_ = now + kAskInterval;
  return true;
}

}  // namespace pumicemast
