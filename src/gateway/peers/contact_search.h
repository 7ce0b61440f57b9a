/// Finds a gateway of the own zone at the start, or becomes the one that others find.
///
/// A decision core: no I/O. A gateway that has just started knows no other one. Were each to read
/// the list of back ends itself, hundreds of copies would fill the links between regions; so one
/// gateway of a zone enters itself at the contact board and reads, and the others ask it. An entry
/// is claimed on the condition that it has not changed: of many that miss a contact, one replaces
/// it.
#pragma once

#include <optional>
#include <variant>

#include "common/time.h"
#include "fleet/contact_registry.h"

namespace pumicemast {

struct ContactSearchOptions {
  /// A contact of which nothing was heard for so long is replaced.
  Duration patience = milliseconds(1000);
  /// Added by each gateway's own share.
  Duration patience_spread = milliseconds(300);
  /// Between two calls after one that failed.
  Duration retry_interval = milliseconds(200);
  /// A board that does not answer for so long is done without.
  Duration unavailable_limit = milliseconds(1000);
};

struct ReadContact {};
struct ClaimContact {
  std::optional<std::uint64_t> replaces;  ///< Nothing: there is no entry.
};
using ContactAction = std::variant<ReadContact, ClaimContact>;

class ContactSearch {
 public:
  explicit ContactSearch(Address self, ContactSearchOptions options = {});

  /// The call to make at the board now, if any; on_answer() is owed for each.
  std::optional<ContactAction> next_action(TimePoint now);
  void on_answer(const ContactRegistryAnswer& answer, TimePoint now);
  /// A gateway of the zone has told that it reads the list.
  void on_reader_heard(TimePoint now) { reader_heard_at_ = now; }

  /// Another gateway, to be asked for what it knows.
  const std::optional<ContactEntry>& contact() const { return contact_; }
  /// Whether this gateway is to read the list itself: others ask it for the list, or there is
  /// nobody to ask.
  bool reads(TimePoint now) const;

 private:
  bool contact_is_silent(TimePoint now) const;

  Address self_;
  ContactSearchOptions options_;
  Duration patience_;
  bool call_open_ = false;
  bool is_contact_ = false;
  bool board_empty_ = false;
  std::optional<ContactEntry> contact_;
  TimePoint contact_found_at_{};
  TimePoint reader_heard_at_{};
  TimePoint next_call_at_{};
  std::optional<TimePoint> unavailable_since_;
};

}  // namespace pumicemast
