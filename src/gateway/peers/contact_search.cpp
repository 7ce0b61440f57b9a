#include "gateway/peers/contact_search.h"

#include <algorithm>

#include "common/hash.h"

namespace pumicemast {

ContactSearch::ContactSearch(Address self, ContactSearchOptions options)
    : self_(std::move(self)), options_(options) {
  const auto spread =
      static_cast<std::uint64_t>(std::max<Duration::rep>(1, options_.patience_spread.count()));
  const std::uint64_t own_share = stable_hash(self_.to_string()) % spread;
  patience_ = options_.patience + Duration(static_cast<Duration::rep>(own_share));
}

bool ContactSearch::contact_is_silent(TimePoint now) const {
  return now - std::max(contact_found_at_, reader_heard_at_) >= patience_;
}

std::optional<ContactAction> ContactSearch::next_action(TimePoint now) {
  if (call_open_ || is_contact_ || now < next_call_at_) return std::nullopt;
  std::optional<ContactAction> action;
  if (contact_) {
    if (!contact_is_silent(now)) return std::nullopt;
    action = ClaimContact{contact_->revision};
  } else if (board_empty_) {
    action = ClaimContact{};
  } else {
    action = ReadContact{};
  }
  call_open_ = true;
  return action;
}

void ContactSearch::on_answer(const ContactRegistryAnswer& answer, TimePoint now) {
  call_open_ = false;
  if (answer.state == ContactRegistryState::unavailable) {
    // A claim without an answer may have been carried out: the board is read again.
    board_empty_ = false;
    contact_.reset();
    next_call_at_ = now + options_.retry_interval;
    if (!unavailable_since_) unavailable_since_ = now;
    return;
  }
  unavailable_since_.reset();
  board_empty_ = answer.state == ContactRegistryState::empty;
  contact_.reset();
  if (board_empty_) return;
  is_contact_ = answer.entry.gateway == self_;
  if (is_contact_) return;
  contact_ = answer.entry;
  contact_found_at_ = now;
}

bool ContactSearch::reads(TimePoint now) const {
  if (is_contact_) return true;
  return unavailable_since_ && now - *unavailable_since_ >= options_.unavailable_limit;
}

}  // namespace pumicemast
