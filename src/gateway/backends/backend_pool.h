/// The back ends a gateway knows, how loaded they are, and which one a request goes to.
///
/// A decision core: no I/O. What it knows comes from three sources of different age: the
/// list of service discovery, the load reports of the agents beside the engines, and what
/// this gateway sees of its own requests.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "common/time.h"
#include "fleet/backend_record.h"
#include "fleet/fleet_configuration.h"
#include "gateway/backends/backend_limits.h"
#include "gateway/backends/backend_permits.h"

namespace pumicemast {

struct BackendPoolOptions {
  std::string zone;  ///< Where this gateway stands; its own back ends are preferred.
  std::uint64_t seed = 1;
  /// Added to the predicted wait of a back end in another zone: what crossing costs.
  double other_zone_ms = 35;
  /// By so much a request may keep an engine longer from changing weights than the engine
  /// that it would keep least.
  double overrun_tolerance_ms = 600;
  /// Without a report for so long, the load is estimated from this gateway's requests alone.
  Duration report_lifetime = milliseconds(900);
  /// What vanishes so soon after the list could be read again may have lapsed meanwhile.
  Duration lapse_window = milliseconds(1000);
  /// An entry that lapsed comes back within about two seconds of the list's return; one that is
  /// missing longer has gone.
  Duration lapse_grace = milliseconds(2200);
  /// A back end whose link holds messages up for so long gets nothing new.
  Duration longest_path_delay = milliseconds(200);
  /// The path is measured at least this often; a measurement that fails to come is a delay.
  Duration path_measurement_interval = milliseconds(1000);
  /// A back end that fails is left alone for so long; doubled with each failure in a row.
  Duration first_pause = milliseconds(250);
  Duration longest_pause = seconds(4);
  /// Gateways among which the load of a back end without reports is thought to be shared, until
  /// it is known how many there are.
  double gateway_count = 7;
};

/// A back end that is draining or gone, and the revision of the list that said so.
struct LeftBackend {
  std::string id;
  std::uint64_t revision = 0;
};

/// What a request needs of its back end.
struct BackendNeed {
  const ServiceProfile* service = nullptr;
  double prompt_tokens = 0;
  double answer_tokens = 0;  ///< As the caller expects; 0 when it did not say.
  std::uint64_t lowest_version = 0;
  std::uint64_t preferred_version = 0;  ///< Of an answer that is to be continued; 0 for any.
  bool urgent = false;  ///< Sent again after a failure: goes before what has not begun.
  /// Takes only what would hardly be needed by others: a part of each engine's places is reserved.
  bool spare_only = false;
};

struct BackendChoice {
  std::string id;
  Address address;
  std::uint64_t weight_version = 0;
  double expected_ms = 0;  ///< Predicted time to the first token, or a plain service's wait.
};

/// Prompt tokens of own requests at an engine that have no first token yet.
struct PromptBacklog {
  Address address;
  double unread_tokens = 0;
};

class BackendPool {
 public:
  explicit BackendPool(BackendPoolOptions options);

  /// Adds or updates an entry. One that left comes back with a newer entry only, as when it was
  /// started again under the id that it had; nothing that was known of it before holds then.
  void on_record(const BackendRecord& record);
  /// Its entry vanished. That means that it leaves, unless entries may have lapsed because
  /// nobody could renew them; then one whose agent says that it lives is used a while longer.
  void on_gone(const std::string& id, std::uint64_t revision, TimePoint now);
  /// Another gateway has seen it leaving or gone: no new work, unless a newer entry is known.
  void on_leaving(const std::string& id, std::uint64_t revision);
  /// The whole list was read: what it does not name is gone.
  void on_list(const std::vector<BackendRecord>& records, std::uint64_t revision, TimePoint now);
  /// The list can be read, or can't.
  void set_gateway_count(std::size_t count) { options_.gateway_count = static_cast<double>(count); }
  void on_list_reachable(bool reachable, TimePoint now);
  /// Forgets back ends that are gone and idle. Call now and then.
  void sweep(TimePoint now);
  /// @return the back end, if its process has ended since the report before: the agent that tells
  /// it
  ///         has lived on.
  std::optional<std::string> on_report(const Address& address, const LoadReport& report,
                                       TimePoint now);
  /// Prompt tokens of other gateways' requests there have changed; the rest of the report stands.
  void on_others_backlog(const Address& address, std::uint32_t unread_tokens);
  /// A message to the machine of this engine and back takes so long.
  void on_path_delay(const Address& address, Duration delay, TimePoint now);
  void on_agent_lost(const Address& address);

  void on_sent(const std::string& id, double prompt_tokens, TimePoint now);
  void on_first_token(const std::string& id, double prompt_tokens);
  void on_finished(const std::string& id);
  /// It failed a request in a way that speaks against it.
  void on_failure(const std::string& id, TimePoint now);
  void on_success(const std::string& id);
  /// It declined a request as full, or the like: its load is not what was thought.
  void on_refusal(const std::string& id, TimePoint now);

  /// The back end with the lowest predicted wait among those that may take the request.
  /// @param excluded  back ends that this request must not go to.
  std::optional<BackendChoice> choose(const BackendNeed& need,
                                      const std::set<std::string>& excluded, TimePoint now);
  /// No back end may take the request now: asks for a permit to one that limits its requests, if
  /// there is any.
  /// @param waiting  requests that wait for room; no more permits are asked for.
  void request_permit(const BackendNeed& need, const std::set<std::string>& excluded,
                      std::size_t waiting, TimePoint now);
  /// Engines whose backlog of this gateway's prompts has changed since the last call.
  std::vector<PromptBacklog> take_changed_backlogs();
  bool leaving(const std::string& id) const;
  /// Of the process that has this id now, as the list tells.
  BackendIncarnation life_of(const std::string& id) const;
  /// Whether a back end of `service` holds weights of `lowest_version` or newer, with room or not.
  bool holds(const std::string& service, std::uint64_t lowest_version, TimePoint now) const;
  /// Its agent has said so lately.
  bool known_alive(const std::string& id, TimePoint now) const;
  /// Back ends that are leaving or gone, for other gateways; the newest last.
  const std::deque<LeftBackend>& recently_left() const { return left_order_; }
  std::vector<BackendRecord> records() const;
  /// Those that the list names.
  std::vector<BackendRecord> listed() const;
  /// The engines that this gateway hears of: it sends to no others. All until this is called.
  void set_watched(std::set<Address> engines) { watched_ = std::move(engines); }
  std::size_t size() const { return backends_.size(); }
  /// The limits that back ends name, by id.
  BackendLimits& limits() { return limits_; }
  const BackendLimits& limits() const { return limits_; }
  /// What this gateway may send to those.
  BackendPermits& permits() { return permits_; }
  /// Whether a back end of `service` could take requests but for the limit that it names.
  bool limits_requests(const std::string& service) const;
  /// Of the connections that one back end accepts from all callers together, those that may rest at
  /// this gateway: they keep others out.
  std::size_t resting_connections(const ServiceProfile& service) const;
  /// Its entry of the list, or null.
  const BackendRecord* record_of(const std::string& id) const;
  /// Back ends whose agents have told their load lately.
  std::size_t reporting(TimePoint now) const;

 private:
  struct Backend {
    BackendRecord record;
    LoadReport report;
    TimePoint reported_at{};
    bool has_report = false;
    std::deque<TimePoint> sent;       ///< Sends that the report can't know of.
    double unread_prompt_tokens = 0;  ///< Of own requests without a first token.
    std::uint32_t in_flight = 0;
    std::uint32_t failures = 0;  ///< In a row.
    TimePoint avoid_until{};
    Duration path_delay = Duration::zero();
    TimePoint path_measured_at{};
    bool gone = false;
    TimePoint used_until{};  ///< Of one that is gone.
  };

  Backend* find(const std::string& id);
  static void forget_earlier_life(Backend& backend);
  void note_left(const std::string& id, std::uint64_t revision);
  bool has_left(const BackendRecord& record) const;
  bool usable(const Backend& backend, TimePoint now) const;
  bool watched(const Backend& backend) const;
  bool fresh(const Backend& backend, TimePoint now) const;
  bool held_up(const Backend& backend, TimePoint now) const;
  bool may_take(const Backend& backend, const BackendNeed& need, TimePoint now) const;
  /// How long an answer would still be under way after the engine was to leave service.
  double overrun_ms(const Backend& backend, const BackendNeed& need, double wait_ms,
                    TimePoint now) const;
  /// Places of an engine that are taken, as far as it is known here.
  double taken_places(const Backend& backend, TimePoint now) const;
  /// Whether this gateway may send there now, by the back end's limit or by its agent's credits.
  bool may_send(const std::string& id, const Backend& backend, const BackendNeed& need,
                TimePoint now) const;
  /// Agents share out what room their engines have.
  bool has_credit(const Backend& backend, const BackendNeed& need, TimePoint now) const;
  /// Whether more places are free there than are reserved for who can still be answered in time.
  bool has_spare_room(const Backend& backend, const BackendNeed& need, TimePoint now) const;
  /// Of the engines that could take the request, full or not.
  double least_overrun_ms(const BackendNeed& need, TimePoint now) const;
  /// What is known of at least half of the engines of a service: an engine of which it is not known
  /// is then an exception, and suspect.
  struct CommonKnowledge {
    bool reports = false;  ///< Their agents report.
    bool paths = false;    ///< The way to them was measured.
  };
  CommonKnowledge common_knowledge(const BackendNeed& need, TimePoint now) const;
  /// Whether its machine may stand still, or its link hold up what is sent.
  bool suspect(const Backend& backend, const CommonKnowledge& common, TimePoint now) const;
  double expected_ms(Backend& backend, const BackendNeed& need, TimePoint now) const;
  /// What sending there would cost, beyond the predicted wait.
  double detour_ms(const Backend& backend, const BackendNeed& need);
  /// Back ends that could take the request, with a permit or a credit.
  template <class Visitor>
  void for_each_candidate(const BackendNeed& need, const std::set<std::string>& excluded,
                          TimePoint now, Visitor visit);
  double engine_wait_ms(Backend& backend, const EngineProfile& engine, const BackendNeed& need,
                        TimePoint now) const;

  BackendPoolOptions options_;
  std::map<std::string, Backend> backends_;
  std::map<Address, std::string> ids_by_address_;
  std::set<std::string> changed_backlogs_;
  BackendLimits limits_;
  BackendPermits permits_;
  std::optional<std::set<Address>> watched_;
  std::map<std::string, std::uint64_t> left_;  ///< Revisions by id.
  std::deque<LeftBackend> left_order_;
  TimePoint list_back_at_{};  ///< When the list could be read again.
  bool list_reachable_ = true;
  std::minstd_rand random_;
};

}  // namespace pumicemast
