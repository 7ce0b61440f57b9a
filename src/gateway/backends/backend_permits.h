/// This gateway's permits to send to back ends that limit the requests of all gateways together.
///
/// A decision core: no I/O. A permit is asked for when a request waits for one, is used once, and
/// goes back to its issuer if it was not used soon.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"
#include "limits/permit_issuer.h"

namespace pumicemast {

/// What the issuer for a back end is to be told.
struct PermitMessage {
  std::string backend;
  TimePoint asked_at{};
  bool wanted = false;
  std::uint32_t returned = 0;  ///< Permits that were held and not used.
  /// By their asked_at: those that were not used, and requests that nobody answered in time, whose
  /// permits may have been granted. Told again until the issuer answers.
  std::vector<TimePoint> given_back{};
};

struct PermitCounters {
  std::uint64_t asked = 0;
  std::uint64_t granted = 0;
  std::uint64_t denied = 0;
  std::uint64_t used = 0;
  std::uint64_t returned = 0;
};

class BackendPermits {
 public:
  bool held(const std::string& backend, TimePoint now) const;
  /// Whether one may be asked for: none is held or asked for, and the issuer has not said to wait.
  bool can_request(const std::string& backend, TimePoint now) const;
  /// Permits that are held or asked for.
  std::size_t outstanding(TimePoint now) const;
  void request(const std::string& backend, TimePoint now);
  void on_answer(const PermitAnswer& answer, TimePoint now);
  /// A request goes to the back end.
  void use(const std::string& backend, TimePoint now);
  /// No request waits for a permit any more: what is held goes back at once, to be of use
  /// elsewhere.
  void release_unused();
  /// Another limit holds: what the issuer said of the time to wait holds no longer.
  void on_limit_changed(const std::string& backend);
  void forget(const std::string& backend) { entries_.erase(backend); }

  /// What is to be told to issuers now. Call after each event, and while permits are held.
  std::vector<PermitMessage> take_messages(TimePoint now);
  /// Whether take_messages() may have something to tell, now or soon.
  bool active() const;
  const PermitCounters& counters() const { return counters_; }

 private:
  struct UnusedPermit {
    TimePoint asked_at{};
    /// Of the last request that told it.
    std::optional<TimePoint> reported_in;
  };
  struct Entry {
    std::optional<TimePoint> asked_at;
    bool request_due = false;
    std::deque<TimePoint> held_until;
    TimePoint denied_until{};
    std::uint32_t unreported_returns = 0;
    std::vector<UnusedPermit> given_back;
  };
  /// The asking is over without an answer.
  static void abandon_request(Entry& entry);
  static void queue_return(Entry& entry, TimePoint held_until);
  static PermitMessage make_message(const std::string& backend, Entry& entry, bool requests_permit,
                                    TimePoint now);
  static bool awaiting_answer(const Entry& entry, TimePoint now);
  static std::size_t count_held(const Entry& entry, TimePoint now);

  std::map<std::string, Entry> entries_;
  PermitCounters counters_;
};

}  // namespace pumicemast
