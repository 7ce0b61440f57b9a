/// Manages this gateway's permits for back ends that limit the requests of all gateways together.
///
/// A decision core: no I/O. A permit is requested when a request waits for one, is used once, and
/// is returned to its issuer if it is not used before it expires.
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

/// A message to the issuer for a back end: a request for a permit, returned permits, or both.
struct PermitMessage {
  std::string backend;
  TimePoint asked_at{};
  bool wanted = false;
  std::uint32_t returned = 0;  ///< Number of permits that were held and not used.
  /// Earlier permit requests, identified by their asked_at: those whose permit was not used, and
  /// those that were not answered in time, whose permit may have been granted. Repeated until the
  /// issuer answers.
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
  /// Whether a permit may be requested: none is held or requested, and the time to wait that the
  /// issuer stated has passed.
  bool can_request(const std::string& backend, TimePoint now) const;
  /// Number of permits that are held or requested.
  std::size_t outstanding(TimePoint now) const;
  void request(const std::string& backend, TimePoint now);
  void on_answer(const PermitAnswer& answer, TimePoint now);
  /// Consumes a permit: a request is sent to the back end.
  void use(const std::string& backend, TimePoint now);
  /// Returns all held permits, for other gateways to use: no request waits for one any more.
  void release_unused();
  /// Discards the time to wait that the issuer stated, because the limit has changed.
  void on_limit_changed(const std::string& backend);
  void forget(const std::string& backend) { entries_.erase(backend); }

  /// Returns the messages due to issuers. Call after each event, and regularly while permits are
  /// held.
  std::vector<PermitMessage> take_messages(TimePoint now);
  /// Whether take_messages() may return a message, now or when a held permit expires.
  bool active() const;
  const PermitCounters& counters() const { return counters_; }

 private:
  struct UnusedPermit {
    TimePoint asked_at{};
    /// The asked_at of the last permit request that reported it.
    std::optional<TimePoint> reported_in;
  };
  struct Entry {
    std::optional<TimePoint> asked_at;
    bool request_due = false;
    std::deque<TimePoint> held_until;
    TimePoint denied_until{};
    std::uint32_t unreported_returns = 0;
    std::vector<UnusedPermit> unused_permits;
  };
  /// Gives up the pending request, which was not answered in time.
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
