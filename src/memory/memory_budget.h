/// Decides how a server keeps what it holds for callers and back ends within one budget.
///
/// A decision core: no I/O. One rule, in this order: input that is no complete request is dropped
/// beyond a share of the budget, connections whose callers read slowly are held back, large
/// requests are refused, and the slowest callers are cut off.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "common/time.h"

namespace pumicemast {

/// Identifies a caller's connection within one gateway.
using CallerNumber = std::uint64_t;

/// Bytes by what they are held for.
struct HeldBytes {
  std::size_t request_head = 0;     ///< Being received, or kept for retries; also unparsed input.
  std::size_t request_body = 0;     ///< Being received, or kept for retries.
  std::size_t unread_response = 0;  ///< Not read by the caller yet, or not passed on to it yet.
  std::size_t unsent_request = 0;   ///< Not read by the back end yet.

  std::size_t total() const {
    return request_head + request_body + unread_response + unsent_request;
  }
};

/// What is held for one caller's connection.
struct CallerMemory {
  HeldBytes held;
  /// Bytes that its admitted request will need: the rest of its body, and the copy that is sent.
  std::size_t promised = 0;
  std::size_t queued_response = 0;  ///< The part of `held.unread_response` that it could read.
  std::uint64_t response_read = 0;  ///< Bytes read on this connection since it was opened.
  /// The part of `held` that is input without an admitted request: of an incomplete head or small
  /// body, or sent ahead of the response to an earlier request.
  std::size_t unadmitted_input = 0;
};

enum class MemoryLevel {
  normal,
  full,      ///< Above the first threshold: bodies are refused, responses are held back earlier.
  exceeded,  ///< Above the budget: callers that read too slowly are cut off.
};
const char* to_string(MemoryLevel level);

class MemoryBudget {
 public:
  /// A caller reads in time if it takes no longer than this to read what was queued for it. Such
  /// callers are never cut off.
  static constexpr Duration kReadsInTime = seconds(1);
  /// Bodies up to this size are never refused.
  static constexpr std::size_t kSmallBodyBytes = 16U * 1024U;
  /// Requests up to this size, head and body, are never refused.
  static constexpr std::size_t kSmallRequestBytes = 4U * 1024U;

  /// @param budget_bytes  most that may be held.
  explicit MemoryBudget(std::size_t budget_bytes) : budget_(budget_bytes) {}

  void update(CallerNumber caller, const CallerMemory& memory, TimePoint now);
  void remove(CallerNumber caller);

  /// Whether a body of `bytes` may be received now.
  bool admits_body(std::size_t bytes) const;
  /// Whether a complete request whose head and body take `bytes` may be handled now.
  bool admits_request(std::size_t bytes) const;
  /// The caller whose unadmitted input is to be dropped now, if any: of those whose input exceeds
  /// its share of the budget, the one that has waited longest for the rest.
  std::optional<CallerNumber> next_to_drop_input() const;
  /// Whether to stop reading the response that is being relayed to this caller.
  bool holds_back(CallerNumber caller) const;
  /// Whether the caller has left responses unread for longer than kReadsInTime.
  bool reads_slowly(CallerNumber caller, TimePoint now) const;
  /// The caller to be cut off now, if any: while the budget is exceeded, the one whose response has
  /// been unread longest, if it reads too slowly.
  std::optional<CallerNumber> next_to_cut_off(TimePoint now) const;

  MemoryLevel level() const { return level_; }
  const HeldBytes& held() const { return held_; }
  std::size_t promised() const { return promised_; }
  std::size_t budget() const { return budget_; }
  /// Number of connections that are tracked because something is held for them.
  std::size_t tracked() const { return callers_.size(); }

 private:
  struct Caller {
    CallerMemory memory;
    /// What had been queued up to `unread_since` ends at this position of the response bytes. It
    /// is unread since then at the latest.
    std::uint64_t mark = 0;
    TimePoint unread_since{};
    std::optional<TimePoint> unadmitted_since;
    bool held_back = false;
  };

  void add(const CallerMemory& memory);
  void subtract(const CallerMemory& memory);
  void update_level();
  static void update_mark(Caller& caller, TimePoint now);
  void update_unadmitted(CallerNumber number, Caller& caller, TimePoint now);
  std::size_t unread_limit() const;

  std::size_t budget_;
  std::map<CallerNumber, Caller> callers_;
  HeldBytes held_;
  std::size_t promised_ = 0;
  std::size_t unadmitted_input_ = 0;
  /// Callers with unadmitted input, the longest waiting first.
  std::set<std::pair<TimePoint, CallerNumber>> unadmitted_;
  MemoryLevel level_ = MemoryLevel::normal;
};

}  // namespace pumicemast
