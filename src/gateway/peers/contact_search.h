/// Finds a first gateway of the own zone when this one starts, or makes this one the zone's
/// contact.
///
/// A decision core: no I/O. A gateway that has just started knows no other gateway. If each read
/// the list of back ends from the store, hundreds of copies would fill the links between regions.
/// So one gateway of a zone registers itself as the zone's contact and reads the list, and the
/// others ask it. An entry is replaced only if it has not changed since it was read: of many
/// gateways that find the contact silent, one replaces it.
#pragma once

#include <optional>
#include <variant>

#include "common/time.h"
#include "fleet/contact_registry.h"

namespace pumicemast {

struct ContactSearchOptions {
  /// A contact is replaced when this time has passed since it was found and since a reader of the
  /// zone was last seen.
  Duration contact_timeout = milliseconds(1000);
  /// Upper bound of the jitter that each gateway adds to contact_timeout.
  Duration max_timeout_jitter = milliseconds(300);
  /// Wait before the next call to the registry after one that failed.
  Duration retry_interval = milliseconds(200);
  /// When the registry has not answered for this time, this gateway reads the store without it.
  Duration registry_timeout = milliseconds(1000);
};

struct ReadContact {};
struct ClaimContact {
  std::optional<std::uint64_t> replaces;  ///< Revision of the entry to replace; empty for none.
};
using ContactAction = std::variant<ReadContact, ClaimContact>;

class ContactSearch {
 public:
  explicit ContactSearch(Address self, ContactSearchOptions options = {});

  /// The call to make to the registry now, if any. on_answer() must follow each call.
  std::optional<ContactAction> next_action(TimePoint now);
  void on_answer(const ContactRegistryAnswer& answer, TimePoint now);
  /// A gateway of the zone has advertised that it reads the store.
  void on_reader_seen(TimePoint now) { reader_seen_at_ = now; }

  /// The gateway to exchange digests with, if it is not this one.
  const std::optional<ContactEntry>& contact() const { return contact_; }
  /// Whether this gateway is to read the list from the store: it is the zone's contact, or the
  /// registry does not answer.
  bool should_read(TimePoint now) const;

 private:
  bool contact_timed_out(TimePoint now) const;

  Address self_;
  ContactSearchOptions options_;
  Duration contact_timeout_;
  bool call_outstanding_ = false;
  bool is_contact_ = false;
  bool registry_empty_ = false;
  std::optional<ContactEntry> contact_;
  TimePoint contact_found_at_{};
  TimePoint reader_seen_at_{};
  TimePoint next_call_at_{};
  std::optional<TimePoint> unavailable_since_;
};

}  // namespace pumicemast
