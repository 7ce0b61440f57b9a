#include "support/fleet_start_simulation.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "gateway/configuration/configuration_catch_up.h"
#include "gateway/peers/backend_list_holders.h"
#include "gateway/peers/store_reader_policy.h"
#include "support/simulated_network.h"

namespace pumicemast::tests {
namespace {

constexpr double kBytesPerMegabit = 125'000;
constexpr double kBytesPerMegabyte = 1e6;
constexpr std::size_t kDigestBytes = 400;
constexpr std::size_t kSmallCallBytes = 250;
/// Size of a back end's entry in a response of the store, and in a message between gateways and
/// agents.
constexpr std::size_t kStoreEntryBytes = 320;
constexpr std::size_t kRelayEntryBytes = 150;
constexpr Duration kReaderCheckInterval = milliseconds(100);
constexpr Duration kGossipInterval = milliseconds(500);
constexpr Duration kCatchUpInterval = milliseconds(50);
constexpr Duration kRunAfterChange = seconds(10);
constexpr std::size_t kRingSuccessors = 3;
constexpr double kStoreBytesPerSecond = 125e6;
/// As in production: a gateway sends no full list while more bytes than this are queued.
constexpr std::size_t kListQueueLimitBytes = 1U << 20U;
constexpr std::uint64_t kListRevision = 1;
constexpr Duration kListRequestInterval = milliseconds(300);
constexpr Duration kAgentRequestInterval = milliseconds(500);
/// Time limit of an agent's call to the store, and its pause after one that failed.
constexpr Duration kProfileReadLimit = milliseconds(1500);
constexpr Duration kProfileRetryInterval = milliseconds(400);
/// Maximum number of back ends in one response of the store.
constexpr std::size_t kMaximumPageEntries = 500;

struct Gateway {
  Gateway(std::size_t index, std::size_t zone_index)
      : zone(zone_index),
        address{"10.0.0.1", static_cast<std::uint16_t>(index + 1)},
        reader_policy(address, index),
        catch_up(index),
        holders(index) {}

  std::size_t zone;
  Address address;
  StoreReaderPolicy reader_policy;
  ConfigurationCatchUp catch_up;
  BackendListHolders holders;
  std::set<std::size_t> known_gateways;  ///< Other gateways of the zone.
  std::set<std::size_t> introduced;
  bool started = false;
  bool is_reader = false;
  bool has_list = false;
  bool store_answered = false;  ///< The store has sent data to this gateway or to one of its zone.
  TimePoint next_list_request_at{};
  std::uint64_t version = 0;
  bool hung = false;
};

struct Contact {
  std::size_t gateway = 0;
  std::uint64_t revision = 0;  ///< 0 if the zone has no contact.
};

class Simulation {
 public:
  explicit Simulation(const FleetStartSetup& setup)
      : setup_(setup),
        random_(setup.seed),
        contacts_(setup.zones),
        network_(events_, network_options(setup), regions_of(setup)) {
    for (std::size_t index = 0; index < gateway_count(); ++index) {
      gateways_.push_back(std::make_unique<Gateway>(index, index % setup.zones));
    }
    network_.set_rate(store(), kStoreBytesPerSecond);
  }

  FleetStartOutcome run() {
    for (std::size_t index = 0; index < gateway_count(); ++index) {
      events_.schedule_in(random_delay(setup_.start_jitter), [this, index] { start(index); });
    }
    if (setup_.list_source == StartupListSource::object_store) start_agents();
    if (setup_.profile_source == EngineProfileSource::object_store) start_reading_profiles();
    if (setup_.contact_hangs_after > Duration::zero()) {
      events_.schedule_in(setup_.contact_hangs_after, [this] { hang_contacts(); });
    }
    const TimePoint change_at = events_.now() + setup_.change_after;
    events_.schedule_at(change_at, [this] { publish(); });
    outcome_.list_propagation_time = setup_.change_after + kRunAfterChange;
    outcome_.change_propagation_time = kRunAfterChange;
    outcome_.profile_propagation_time = setup_.change_after + kRunAfterChange;
    while (events_.now() < change_at + kRunAfterChange && events_.run_next()) {
    }
    for (std::size_t zone = 0; zone < setup_.zones; ++zone) {
      outcome_.max_readers_per_zone = std::max(outcome_.max_readers_per_zone, readers_of(zone));
    }
    return outcome_;
  }

 private:
  static SimulatedNetwork::Options network_options(const FleetStartSetup& setup) {
    SimulatedNetwork::Options options;
    options.region_bytes_per_s = setup.region_mbit_per_s * kBytesPerMegabit;
    return options;
  }
  /// Regions of the gateways, the agents and the store, in this order.
  static std::vector<std::size_t> regions_of(const FleetStartSetup& setup) {
    std::vector<std::size_t> regions;
    const std::size_t processes = setup.zones * (setup.gateways_per_zone + setup.agents_per_zone);
    for (std::size_t index = 0; index < processes; ++index) {
      regions.push_back(index % setup.zones % setup.regions);
    }
    regions.push_back(0);
    return regions;
  }
  std::size_t gateway_count() const { return setup_.zones * setup_.gateways_per_zone; }
  std::size_t agent_count() const { return setup_.zones * setup_.agents_per_zone; }
  std::size_t store() const { return gateway_count() + agent_count(); }
  Duration random_delay(Duration maximum) {
    std::uniform_int_distribution<Duration::rep> any(0, maximum.count());
    return Duration(any(random_));
  }
  std::size_t readers_of(std::size_t zone) const {
    const auto count = std::count_if(gateways_.begin(), gateways_.end(), [&](const auto& gateway) {
      return gateway->zone == zone && gateway->is_reader && !gateway->hung;
    });
    return static_cast<std::size_t>(count);
  }
  void hang_contacts() {
    for (const Contact& contact : contacts_) {
      if (contact.revision == 0) continue;
      gateways_[contact.gateway]->hung = true;
      network_.stop_sending(contact.gateway);
    }
  }
  template <class Predicate>
  bool all(Predicate predicate) const {
    return std::all_of(gateways_.begin(), gateways_.end(),
                       [&](const auto& gateway) { return gateway->hung || predicate(*gateway); });
  }

  // ---- the store ----

  void send_from_store(std::size_t to, std::size_t bytes, std::function<void()> on_arrival) {
    if (!network_.same_region(store(), to)) {
      outcome_.megabytes_from_store_to_other_regions +=
          static_cast<double>(bytes) / kBytesPerMegabyte;
    }
    events_.schedule_in(setup_.store_delay, [this, to, bytes, on_arrival = std::move(on_arrival)] {
      network_.send(store(), to, bytes, on_arrival);
    });
  }
  void call_store(std::size_t from, std::function<void()> on_call) {
    network_.send(from, store(), kSmallCallBytes, std::move(on_call));
  }
  void start_agents() {
    for (std::size_t agent = 0; agent < agent_count(); ++agent) {
      events_.schedule_in(random_delay(setup_.start_jitter), [this, agent] {
        ++outcome_.lists_read;
        send_from_store(gateway_count() + agent, setup_.backends * kStoreEntryBytes, [] {});
      });
    }
  }
  void start_reading_profiles() {
    for (std::size_t agent = 0; agent < agent_count(); ++agent) {
      events_.schedule_in(random_delay(setup_.start_jitter),
                          [this, agent] { read_profile(agent); });
    }
  }
  /// A response that arrives after the time limit is discarded, and the call is repeated.
  void read_profile(std::size_t agent) {
    if (agents_with_profile_.contains(agent)) return;
    const TimePoint begun = events_.now();
    send_from_store(gateway_count() + agent, setup_.configuration_bytes, [this, agent, begun] {
      if (events_.now() - begun <= kProfileReadLimit) on_profile(agent);
    });
    events_.schedule_in(kProfileReadLimit + kProfileRetryInterval,
                        [this, agent] { read_profile(agent); });
  }
  void on_profile(std::size_t agent) {
    if (!agents_with_profile_.insert(agent).second) return;
    if (agents_with_profile_.size() == agent_count())
      outcome_.profile_propagation_time = events_.now() - TimePoint{};
  }
  /// A gateway with the list of back ends and the configuration subscribes to the agents of its
  /// zone, and answers their first reports.
  void describe_engines(std::size_t index) {
    const Gateway& gateway = *gateways_[index];
    if (setup_.profile_source != EngineProfileSource::gateways) return;
    if (!gateway.has_list || gateway.version == 0) return;
    for (std::size_t agent = gateway.zone; agent < agent_count(); agent += setup_.zones) {
      network_.send(index, gateway_count() + agent, kSmallCallBytes,
                    [this, index, agent] { report_to(index, agent); });
    }
  }
  void report_to(std::size_t index, std::size_t agent) {
    if (agents_with_profile_.contains(agent)) return;
    network_.send(gateway_count() + agent, index, kSmallCallBytes, [this, index, agent] {
      network_.send(index, gateway_count() + agent, kSmallCallBytes,
                    [this, agent] { on_profile(agent); });
    });
  }
  void publish() {
    published_at_ = events_.now();
    published_ = 2;
    for (std::size_t index = 0; index < gateways_.size(); ++index) {
      if (gateways_[index]->is_reader) read_configuration(index);
    }
  }
  void read_configuration(std::size_t index) {
    send_from_store(index, setup_.configuration_bytes,
                    [this, index, version = published_] { adopt_configuration(index, version); });
  }
  void read_list(std::size_t index) {
    ++outcome_.lists_read;
    read_page(index, setup_.backends);
  }
  void read_page(std::size_t index, std::size_t entries_left) {
    const std::size_t entries = std::min(entries_left, kMaximumPageEntries);
    send_from_store(index, entries * kStoreEntryBytes,
                    [this, index, left = entries_left - entries] {
                      gateways_[index]->store_answered = true;
                      if (left == 0) {
                        adopt_list(index);
                      } else {
                        call_store(index, [this, index, left] { read_page(index, left); });
                      }
                    });
  }

  // ---- a gateway's start ----

  void start(std::size_t index) {
    gateways_[index]->started = true;
    update_reader_role(index);
    gossip(index);
    catch_up(index);
  }
  void update_reader_role(std::size_t index) {
    Gateway& gateway = *gateways_[index];
    if (gateway.hung) return;
    if (setup_.list_source == StartupListSource::contact && !gateway.has_list)
      search_contact(index);
    const bool is_reader = decide(gateway);
    if (is_reader != gateway.is_reader) {
      gateway.is_reader = is_reader;
      gateway.catch_up.set_reads_store(is_reader);
      if (is_reader) become_reader(index);
    }
    events_.schedule_in(kReaderCheckInterval, [this, index] { update_reader_role(index); });
  }
  bool decide(Gateway& gateway) {
    const bool knows_no_gateway = gateway.known_gateways.empty();
    if (setup_.list_source == StartupListSource::object_store && knows_no_gateway) return true;
    return gateway.reader_policy.decide(events_.now());
  }
  void become_reader(std::size_t index) {
    read_configuration(index);
    if (!gateways_[index]->has_list) read_list(index);
    for (const std::size_t other : gateways_[index]->known_gateways) send_digest(index, other);
  }
  void search_contact(std::size_t index) {
    ContactSearch& search = gateways_[index]->reader_policy.search();
    if (const auto action = search.next_action(events_.now())) {
      call_store(index, [this, index, action = *action] { on_contact_action(index, action); });
    }
    if (!search.contact()) return;
    const std::size_t contact = search.contact()->gateway.port - 1U;
    gateways_[index]->known_gateways.insert(contact);
    send_digest(index, contact);
  }
  void on_contact_action(std::size_t index, const ContactAction& action) {
    Contact& contact = contacts_[gateways_[index]->zone];
    if (const auto* claim = std::get_if<ClaimContact>(&action)) {
      if (claim->replaces.value_or(0) == contact.revision) contact = {index, contact.revision + 1};
    }
    ContactRegistryAnswer answer{ContactRegistryState::empty, {}};
    if (contact.revision > 0) {
      answer = {ContactRegistryState::named,
                {gateways_[contact.gateway]->address, contact.revision}};
    }
    send_from_store(index, kSmallCallBytes, [this, index, answer] {
      gateways_[index]->reader_policy.search().on_answer(answer, events_.now());
    });
  }

  // ---- gossip ----

  void gossip(std::size_t index) {
    const Gateway& gateway = *gateways_[index];
    if (gateway.hung) return;
    std::size_t recipients = 0;
    for (const std::size_t other : gateway.known_gateways) {
      if (!gateway.is_reader && ++recipients > kRingSuccessors) break;
      send_digest(index, other);
    }
    events_.schedule_in(kGossipInterval, [this, index] { gossip(index); });
  }
  void send_digest(std::size_t from, std::size_t to) {
    const Gateway& sender = *gateways_[from];
    network_.send(from, to, kDigestBytes,
                  [this, from, to, is_reader = sender.is_reader && sender.store_answered,
                   has_list = sender.has_list, version = sender.version] {
                    on_digest(to, from, is_reader, version);
                    if (has_list) on_holder_advertised(to, from);
                  });
  }
  void on_holder_advertised(std::size_t index, std::size_t holder) {
    Gateway& gateway = *gateways_[index];
    if (gateway.has_list || !gateway.started) return;
    gateway.holders.on_revision_advertised(holder, kListRevision);
    if (events_.now() < gateway.next_list_request_at) return;
    gateway.next_list_request_at = events_.now() + kListRequestInterval;
    request_list(index, *gateway.holders.next(0), [this, index] { adopt_list(index); });
  }
  void on_digest(std::size_t index, std::size_t from, bool is_reader, std::uint64_t version) {
    Gateway& gateway = *gateways_[index];
    if (!gateway.started || gateway.hung) return;
    gateway.known_gateways.insert(from);
    if (gateway.introduced.insert(from).second) introduce_to_zone(index, from);
    gateway.reader_policy.on_reader_status(from, is_reader, events_.now());
    gateway.catch_up.on_version_advertised(from, version, true, events_.now());
  }
  void introduce_to_zone(std::size_t index, std::size_t newcomer) {
    network_.send(index, newcomer, kDigestBytes,
                  [this, newcomer, known_gateways = gateways_[index]->known_gateways] {
                    for (const std::size_t other : known_gateways) {
                      const bool is_new = other != newcomer &&
                                          gateways_[newcomer]->known_gateways.insert(other).second;
                      if (is_new) send_digest(newcomer, other);
                    }
                  });
    send_digest(index, newcomer);
  }
  void request_list(std::size_t requester, std::size_t holder,
                    const std::function<void()>& on_list) {
    network_.send(requester, holder, kSmallCallBytes, [this, requester, holder, on_list] {
      if (!gateways_[holder]->has_list) return;
      if (network_.queued_bytes(holder) > kListQueueLimitBytes) return;
      // Agents receive only the entries of engines, of which each agent has one.
      const std::size_t entries = requester < gateway_count() ? setup_.backends : agent_count();
      network_.send(holder, requester, entries * kRelayEntryBytes, on_list);
    });
  }
  void adopt_list(std::size_t index) {
    Gateway& gateway = *gateways_[index];
    if (gateway.has_list) return;
    gateway.has_list = true;
    gateway.store_answered = true;  // At least to the gateway of the zone that sent the list.
    gateway.reader_policy.on_list_known();
    if (setup_.list_source == StartupListSource::object_store) discover_zone_gateways(index);
    for (const std::size_t other : gateway.known_gateways) send_digest(index, other);
    if (gateway.is_reader) start_agent_list_requests(gateway.zone);
    describe_engines(index);
    if (all([](const Gateway& each) { return each.has_list; })) {
      outcome_.list_propagation_time =
          std::min(outcome_.list_propagation_time, events_.now() - TimePoint{});
    }
  }
  /// The agents in the list report the gateways that they know.
  void discover_zone_gateways(std::size_t index) {
    for (std::size_t other = 0; other < gateways_.size(); ++other) {
      const bool discovered =
          gateways_[other]->has_list && gateways_[other]->zone == gateways_[index]->zone;
      if (discovered && other != index) gateways_[index]->known_gateways.insert(other);
    }
  }
  /// The agents of the zone learn of a store reader and request the list from gateways.
  void start_agent_list_requests(std::size_t zone) {
    if (!zones_with_list_.insert(zone).second) return;
    for (std::size_t agent = zone; agent < agent_count(); agent += setup_.zones) {
      events_.schedule_in(random_delay(kAgentRequestInterval),
                          [this, agent] { request_list_for_agent(agent); });
    }
  }
  void request_list_for_agent(std::size_t agent) {
    if (agents_with_list_.contains(agent)) return;
    const std::size_t zone = agent % setup_.zones;
    std::uniform_int_distribution<std::size_t> any(0, setup_.gateways_per_zone - 1);
    const std::size_t holder = zone + any(random_) * setup_.zones;
    request_list(gateway_count() + agent, holder,
                 [this, agent] { agents_with_list_.insert(agent); });
    events_.schedule_in(kAgentRequestInterval, [this, agent] { request_list_for_agent(agent); });
  }

  // ---- configurations ----

  void adopt_configuration(std::size_t index, std::uint64_t version) {
    Gateway& gateway = *gateways_[index];
    if (gateway.is_reader) gateway.store_answered = true;
    if (version <= gateway.version) return;
    const bool is_first = gateway.version == 0;
    gateway.version = version;
    if (is_first) describe_engines(index);
    gateway.catch_up.on_in_force(version);
    for (const std::size_t other : gateway.known_gateways) {
      if (gateway.is_reader) send_digest(index, other);
    }
    if (version == 2 && all([](const Gateway& each) { return each.version == 2; })) {
      outcome_.change_propagation_time = events_.now() - published_at_;
    }
  }
  void catch_up(std::size_t index) {
    Gateway& gateway = *gateways_[index];
    if (const auto holder = gateway.catch_up.next_request(events_.now())) {
      network_.send(index, *holder, kSmallCallBytes, [this, index, from = *holder] {
        network_.send(from, index, setup_.configuration_bytes,
                      [this, index, version = gateways_[from]->version] {
                        adopt_configuration(index, version);
                      });
      });
    }
    events_.schedule_in(kCatchUpInterval, [this, index] { catch_up(index); });
  }

  FleetStartSetup setup_;
  std::minstd_rand random_;
  std::vector<Contact> contacts_;  ///< By zone.
  simulation::EventQueue events_;
  SimulatedNetwork network_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::set<std::size_t> zones_with_list_;
  std::set<std::size_t> agents_with_list_;
  std::set<std::size_t> agents_with_profile_;
  std::uint64_t published_ = 1;
  TimePoint published_at_{};
  FleetStartOutcome outcome_;
};

}  // namespace

FleetStartOutcome start_fleet(const FleetStartSetup& setup) { return Simulation(setup).run(); }

}  // namespace pumicemast::tests
