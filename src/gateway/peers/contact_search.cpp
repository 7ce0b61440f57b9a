#include "gateway/peers/contact_search.h"

#include <algorithm>

#include "common/hash.h"

namespace pumicemast {

ContactSearch::ContactSearch(Address self, ContactSearchOptions options)
    : self_(std::move(self)), options_(options) {
  const auto max_jitter =
      static_cast<std::uint64_t>(std::max<Duration::rep>(1, options_.max_timeout_jitter.count()));
  const std::uint64_t own_jitter = stable_hash(self_.to_string()) % max_jitter;
  contact_timeout_ = options_.contact_timeout + Duration(static_cast<Duration::rep>(own_jitter));
}

bool ContactSearch::contact_timed_out(TimePoint now) const {
  return now - std::max(contact_found_at_, reader_seen_at_) >= contact_timeout_;
}

std::optional<ContactAction> ContactSearch::next_action(TimePoint now) {
  if (call_outstanding_ || is_contact_ || now < next_call_at_) return std::nullopt;
  std::optional<ContactAction> action;
  if (contact_) {
    if (!contact_timed_out(now)) return std::nullopt;
    action = ClaimContact{contact_->revision};
  } else if (registry_empty_) {
    action = ClaimContact{};
  } else {
    action = ReadContact{};
  }
  call_outstanding_ = true;
  return action;
}

void ContactSearch::on_answer(const ContactRegistryAnswer& answer, TimePoint now) {
  call_outstanding_ = false;
  if (answer.state == ContactRegistryState::unavailable) {
    // A claim without an answer may have taken effect: the registry is read again.
    registry_empty_ = false;
    contact_.reset();
    next_call_at_ = now + options_.retry_interval;
    if (!unavailable_since_) unavailable_since_ = now;
    return;
  }
  unavailable_since_.reset();
  registry_empty_ = answer.state == ContactRegistryState::empty;
  contact_.reset();
  if (registry_empty_) return;
  is_contact_ = answer.entry.gateway == self_;
  if (is_contact_) return;
  contact_ = answer.entry;
  contact_found_at_ = now;
}

bool ContactSearch::should_read(TimePoint now) const {
  if (is_contact_) return true;
  return unavailable_since_ && now - *unavailable_since_ >= options_.registry_timeout;
}

}  // namespace pumicemast
