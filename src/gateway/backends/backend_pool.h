/// Tracks the back ends that a gateway knows and their load, and selects one for each request.
///
/// A decision core: no I/O. Its state comes from three sources of different age: the list of
/// service discovery, the load reports of the agents on the engines' machines, and the requests of
/// this gateway itself.
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
#include "fleet/backend_notice.h"
#include "fleet/backend_record.h"
#include "fleet/fleet_configuration.h"
#include "gateway/backends/backend_departures.h"
#include "gateway/backends/backend_limits.h"
#include "gateway/backends/backend_permits.h"
#include "gateway/backends/backend_pushbacks.h"
#include "locality/placement_rules.h"

namespace pumicemast {

struct BackendPoolOptions {
  std::string zone;  ///< Zone of this gateway; back ends in the same zone are preferred.
  RegionsOfZones regions_of_zones;
  std::uint64_t seed = 1;
  /// Cost of sending to another zone, in milliseconds; added to the predicted wait there.
  double other_zone_ms = 35;
  /// An engine is skipped if the request would delay its weight change by more than this, in
  /// milliseconds, beyond the shortest such delay at any eligible engine.
  double overrun_tolerance_ms = 600;
  /// Age at which a load report expires. Without a report, the load is estimated from this
  /// gateway's requests alone.
  Duration report_lifetime = milliseconds(900);
  /// An entry that disappears within this time after the list became readable again may have
  /// expired during the outage.
  Duration outage_expiry_window = milliseconds(1000);
  /// Time after the list became readable again for which a possibly expired entry stays usable. An
  /// expired entry comes back within about two seconds; one that is missing longer has left.
  Duration outage_expiry_grace = milliseconds(2200);
  /// A back end whose path delay exceeds this gets no new requests.
  Duration max_path_delay = milliseconds(200);
  /// Longest interval between two path measurements; a missing measurement counts as a delay.
  Duration path_measurement_interval = milliseconds(1000);
  /// A back end that fails gets no requests for this time, doubled with each consecutive failure.
  Duration initial_backoff = milliseconds(250);
  Duration max_backoff = seconds(4);  ///< Upper bound of the doubled back-off.
  /// Number of gateways assumed to share a back end whose load is not reported; replaced once the
  /// actual number is known.
  double gateway_count = 7;
};

/// What back ends have said about themselves in responses, and what was sent to them nevertheless.
struct NoticeCounters {
  std::uint64_t pushbacks = 0;           ///< Refusals that asked for a pause.
  std::uint64_t invalid_fields = 0;      ///< Fields that could not be read.
  std::uint64_t sends_to_leaving = 0;    ///< Requests sent after the announcement of leaving.
  std::uint64_t sends_while_paused = 0;  ///< Requests sent within a pause.
};

/// How a gateway learned what a back end says about itself: in a response to this gateway, from the
/// back end's agent, or from another gateway.
enum class NoticeSource { response, agent, gateway };
const char* to_string(NoticeSource source);

/// A back end has announced its leaving, or has asked for a pause.
struct NoticeChange {
  std::string backend;
  NoticeSource source = NoticeSource::response;
  bool leaving = false;
  std::optional<Duration> pushback;
};

/// Requirements of a request on its back end.
struct BackendRequirements {
  const ServiceProfile* service = nullptr;
  AllowedRegions allowed_regions;
  double prompt_tokens = 0;
  double answer_tokens = 0;  ///< Response length that the caller expects; 0 when not stated.
  std::uint64_t lowest_version = 0;     ///< Oldest weights that may run the request.
  std::uint64_t preferred_version = 0;  ///< Weights of a response to be resumed; 0 for any.
  bool urgent = false;  ///< A retry after a failure: takes precedence over first attempts.
  /// The request must leave the reserved fraction of each engine's slots free.
  bool unreserved_only = false;
  /// Id of an engine whose agent has granted a slot; empty for none. Only this engine is chosen,
  /// whatever its credits and reserved slots.
  std::string granted_backend{};
};

struct BackendChoice {
  std::string id;
  Address address;
  std::uint64_t weight_version = 0;
  double expected_ms = 0;  ///< Predicted time to the first token; for other services, the wait.
};

/// Prompt tokens of this gateway's requests at an engine that have no first token yet.
struct PromptBacklog {
  Address address;
  double pending_tokens = 0;
};

class BackendPool {
 public:
  explicit BackendPool(BackendPoolOptions options);

  /// Adds or updates a back end. One that left comes back only with a newer entry. An entry with
  /// another start time is a restart under the same id, and discards everything known before.
  /// @return false if a newer entry is known, and this one is ignored.
  bool on_record(const BackendRecord& record, TimePoint now);
  /// Handles the removal of a list entry. The back end is leaving, unless entries may have expired
  /// because they could not be renewed during an outage of the list. In that case, a back end that
  /// its agent reports as alive stays in use until the grace period ends.
  /// @return false if it is ignored: a newer entry is known, or the removal itself.
  bool on_removed(const std::string& id, const StoreRevision& revision, TimePoint now);
  /// Another gateway reports the back end as draining or removed: it gets no new requests, unless a
  /// newer entry is known.
  void on_departure(const BackendDeparture& departure, TimePoint now);
  /// Handles the complete list: a back end without an entry counts as removed.
  void on_list(const std::vector<BackendRecord>& records, const StoreRevision& revision,
               TimePoint now);
  void set_gateway_count(std::size_t count) { options_.gateway_count = static_cast<double>(count); }
  /// The list became readable or unreadable.
  void on_list_reachable(bool reachable, TimePoint now);
  /// Drops removed back ends without requests in flight. Call periodically.
  void sweep(TimePoint now);
  /// @return the id of the back end if its process ended since the previous report of the same
  ///         agent, which kept running.
  std::optional<std::string> on_report(const Address& address, const LoadReport& report,
                                       TimePoint now);
  /// The prompt tokens of other gateways' pending requests have changed; the rest of the last
  /// report stays valid.
  void on_others_backlog(const Address& address, std::uint32_t pending_tokens);
  /// @param delay  measured round-trip time to the engine's machine.
  void on_path_delay(const Address& address, Duration delay, TimePoint now);
  void on_agent_lost(const Address& address);

  void on_sent(const std::string& id, double prompt_tokens, TimePoint now);
  void on_first_token(const std::string& id, double prompt_tokens);
  void on_finished(const std::string& id);
  /// A request failed in a way that indicates a fault of the back end.
  void on_failure(const std::string& id, TimePoint now);
  void on_success(const std::string& id);
  /// The back end refused a request, for example as full: its load differs from what is known here.
  void on_refusal(const std::string& id, TimePoint now);
  /// Handles what a response of the back end says about the back end itself.
  /// @param sent_at  when the request was sent.
  void on_notice(const BackendIncarnation& backend, const BackendNotice& notice, TimePoint sent_at,
                 TimePoint now);
  /// Another gateway has received the announcement of this back end that it is leaving.
  void on_announced_departure(const BackendIncarnation& backend, TimePoint now);
  /// Returns the changes by notices since the last call.
  std::vector<NoticeChange> take_notice_changes();
  const NoticeCounters& notice_counters() const { return notice_counters_; }
  const BackendDepartures& departures() const { return departures_; }
  const BackendPushbacks& pushbacks() const { return pushbacks_; }

  /// Returns the back end with the lowest cost (predicted wait plus routing penalty) among those
  /// that may take the request now.
  /// @param excluded  back ends that this request must not go to.
  std::optional<BackendChoice> choose(const BackendRequirements& requirements,
                                      const std::set<std::string>& excluded, TimePoint now);
  /// The engines where it is cheapest to wait for a slot: all checks of `choose` but the credits
  /// and the reserved slots. Only engines whose agents keep a queue. `expected_ms` counts from the
  /// grant of a slot.
  /// @param count  maximum number of engines.
  /// @param own_zone_first  whether engines of other zones only fill up the number.
  std::vector<BackendChoice> slot_candidates(const BackendRequirements& requirements,
                                             const std::set<std::string>& excluded,
                                             std::size_t count, bool own_zone_first, TimePoint now);
  /// Whether a current report of the engine's agent says that it keeps a queue.
  bool keeps_slot_queue(const Address& engine, TimePoint now) const;
  /// Whether a first attempt could be sent to some engine of the service now: one has a credit, or
  /// needs a permit instead.
  bool may_have_room(const ServiceProfile& service, TimePoint now);
  /// The back end at the address; empty if none is known.
  std::string id_at(const Address& address) const;
  /// Requests a permit for the cheapest back end that limits its requests, if there is one. Call
  /// when no back end may take the request now.
  /// @param waiting  number of waiting requests; no more permits than that are held or requested.
  void request_permit(const BackendRequirements& requirements,
                      const std::set<std::string>& excluded, std::size_t waiting, TimePoint now);
  /// Returns the engines where this gateway's prompt backlog has changed since the last call.
  std::vector<PromptBacklog> take_changed_backlogs();
  /// Whether the back end is draining, removed or unknown.
  bool leaving(const std::string& id) const;
  /// Whether its agent has reported the engine alive at this time or later.
  bool reported_alive_since(const std::string& id, TimePoint since) const;
  /// The incarnation that the list names for this id.
  BackendIncarnation incarnation_of(const std::string& id) const;
  /// Whether a back end where the request may run has new enough weights, at any load.
  bool has_weights(const BackendRequirements& requirements, TimePoint now) const;
  /// `allowed` if a back end of the service, at any load, is in a zone where the request may run,
  /// or if the service has none at all; otherwise why the request may run at none of them.
  ZoneVerdict placement_of(const BackendRequirements& requirements) const;
  /// The zones where requests may run.
  PlacementRules& placement() { return placement_; }
  const PlacementRules& placement() const { return placement_; }
  /// Whether a current report of its agent says that the back end is alive.
  bool known_alive(const std::string& id, TimePoint now) const;
  std::vector<BackendRecord> records() const;
  /// The records of back ends that are in the list.
  std::vector<BackendRecord> listed_records() const;
  /// Sets the engines whose load this gateway receives. It sends to no others; until the first
  /// call, it may send to all.
  void set_subscribed_engines(std::set<Address> engines) {
    subscribed_engines_ = std::move(engines);
  }
  std::size_t size() const { return backends_.size(); }
  /// The limits that back ends state, by id.
  BackendLimits& limits() { return limits_; }
  const BackendLimits& limits() const { return limits_; }
  /// This gateway's permits for back ends with a limit.
  BackendPermits& permits() { return permits_; }
  /// Whether a back end in service where the request may run limits its requests.
  bool has_limited_backend(const BackendRequirements& requirements) const;
  /// Whether a back end in service where the request may run is cold.
  bool has_cold_backend(const BackendRequirements& requirements, TimePoint now) const;
  /// When the first back end where the request may run takes requests again, if all of them have
  /// asked this gateway for a pause; empty otherwise.
  std::optional<TimePoint> pause_ends_at(const BackendRequirements& requirements,
                                         TimePoint now) const;
  /// Sets what the back ends of each service bear while they are cold.
  void set_cold_starts(std::map<std::string, ColdStartProfile> by_service);
  /// The limit of a back end that is cold; empty when it is not.
  std::optional<ColdLimit> cold_limit(const BackendRecord& record, TimePoint now) const;
  /// Maximum number of idle connections that this gateway keeps open to one back end: its part of
  /// the connections that the back end accepts in total. Idle connections take those from other
  /// callers.
  std::size_t max_idle_connections(const ServiceProfile& service) const;
  /// The latest record of the back end, or null.
  const BackendRecord* record_of(const std::string& id) const;
  /// Number of listed back ends with a current load report.
  std::size_t reporting(TimePoint now) const;

 private:
  struct Backend {
    BackendRecord record;  ///< `draining` also when the departure is known from elsewhere.
    bool listed_as_draining = false;
    LoadReport report;
    TimePoint reported_at{};
    TimePoint reported_leaving_since{};  ///< First of the current reports that say so.
    bool has_report = false;
    std::deque<TimePoint> sent;        ///< Send times of requests that the report can't include.
    double pending_prompt_tokens = 0;  ///< Of this gateway's requests without a first token.
    std::uint32_t in_flight = 0;
    std::uint32_t failures = 0;  ///< Consecutive failures.
    TimePoint backoff_until{};
    Duration path_delay = Duration::zero();
    TimePoint path_measured_at{};
    bool removed = false;
    TimePoint usable_until{};  ///< Only set for a removed back end.
  };

  Backend* find(const std::string& id);
  static void reset_for_new_incarnation(Backend& backend);
  void update_draining(Backend& backend, TimePoint now);
  void on_announced_leaving(const BackendIncarnation& backend, NoticeSource source, TimePoint now);
  /// Whether both state when the process started, and differ.
  static bool is_of_another_process(const LoadReport& report, const BackendRecord& record);
  /// The agent reports that its engine leaves. Once it is certain that this concerns the listed
  /// process, it binds as an announcement in a response does.
  void on_reported_leaving(Backend& backend, const LoadReport& report, TimePoint now);
  /// @return whether the announcement is new.
  bool record_announced_leaving(const BackendIncarnation& backend, TimePoint now);
  bool usable(const Backend& backend, TimePoint now) const;
  /// Whether the back end belongs to the service and the request may run in its zone.
  bool serves(const Backend& backend, const BackendRequirements& requirements) const;
  bool subscribed(const Backend& backend) const;
  bool has_fresh_report(const Backend& backend, TimePoint now) const;
  bool path_delayed(const Backend& backend, TimePoint now) const;
  /// Whether the back end has asked this gateway for a pause, or is being tried out after one.
  bool pushes_back(const BackendRecord& record, TimePoint now) const;
  /// Whether the back end could run the request at any load.
  bool is_in_service(const Backend& backend, const BackendRequirements& requirements,
                     TimePoint now) const;
  bool is_eligible(const Backend& backend, const BackendRequirements& requirements,
                   TimePoint now) const;
  /// How long, in milliseconds, a response would still run after the engine's scheduled time to
  /// leave service.
  double overrun_ms(const Backend& backend, const BackendRequirements& requirements, double wait_ms,
                    TimePoint now) const;
  /// Number of occupied slots of an engine, as far as it is known or estimated here.
  double occupied_slots(const Backend& backend, TimePoint now) const;
  /// Whether a request needs a permit: the back end advertises a limit, or is cold.
  bool needs_permit(const std::string& id, const Backend& backend, TimePoint now) const;
  /// Whether this gateway may send there now: with a permit if one is needed, else with a credit of
  /// the engine's agent.
  bool may_send(const std::string& id, const Backend& backend,
                const BackendRequirements& requirements, TimePoint now) const;
  /// Whether a credit is left. Agents divide the free capacity of their engines among gateways as
  /// credits.
  bool has_credit(const Backend& backend, const BackendRequirements& requirements,
                  TimePoint now) const;
  /// Whether more slots are free than are reserved for requests that can still be answered in time.
  bool has_unreserved_slot(const Backend& backend, const BackendRequirements& requirements,
                           TimePoint now) const;
  /// The smallest overrun among the eligible engines, whether or not they have free slots.
  double min_overrun_ms(const BackendRequirements& requirements, TimePoint now) const;
  /// Which telemetry exists for at least half of the subscribed engines of a service. An engine
  /// without it is then an exception, and possibly stalled.
  struct TelemetryCoverage {
    bool reports = false;  ///< Current load reports.
    bool paths = false;    ///< Path measurements.
  };
  TelemetryCoverage telemetry_coverage(const BackendRequirements& requirements,
                                       TimePoint now) const;
  /// Whether the engine's machine may be suspended, or its link may delay what is sent.
  bool possibly_stalled(const Backend& backend, const TelemetryCoverage& coverage,
                        TimePoint now) const;
  double expected_ms(Backend& backend, const BackendRequirements& requirements,
                     TimePoint now) const;
  /// Cost of sending there in milliseconds, in addition to the predicted wait.
  double routing_penalty_ms(const Backend& backend, const BackendRequirements& requirements);
  /// Visits the back ends that could take the request if a permit or credit is available.
  template <class Visitor>
  void for_each_candidate(const BackendRequirements& requirements,
                          const std::set<std::string>& excluded, TimePoint now, Visitor visit);
  /// Predicted time from the grant of a slot to the first token, in milliseconds. Requires a
  /// report.
  static double first_token_after_grant_ms(const Backend& backend, const EngineProfile& engine,
                                           double prompt_tokens);
  double engine_wait_ms(Backend& backend, const EngineProfile& engine,
                        const BackendRequirements& requirements, TimePoint now) const;

  BackendPoolOptions options_;
  PlacementRules placement_;
  std::map<std::string, Backend> backends_;
  std::map<Address, std::string> ids_by_address_;
  std::set<std::string> changed_backlogs_;
  BackendLimits limits_;
  std::map<std::string, ColdStartProfile> cold_starts_;  ///< By service.
  BackendPermits permits_;
  std::optional<std::set<Address>> subscribed_engines_;
  BackendDepartures departures_;
  BackendPushbacks pushbacks_;
  NoticeCounters notice_counters_;
  std::vector<NoticeChange> notice_changes_;
  TimePoint list_reachable_since_{};  ///< When the list last became readable again.
  bool list_reachable_ = true;
  std::minstd_rand random_;
};

}  // namespace pumicemast
