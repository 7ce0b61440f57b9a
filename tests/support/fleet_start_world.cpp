#include "support/fleet_start_world.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "gateway/configuration/configuration_catch_up.h"
#include "gateway/peers/backend_list_holders.h"
#include "gateway/peers/store_reader_policy.h"
#include "support/spread_network.h"

namespace pumicemast::tests {
namespace {

constexpr double kBytesPerMegabit = 125'000;
constexpr double kBytesPerMegabyte = 1e6;
constexpr std::size_t kDigestBytes = 400;
constexpr std::size_t kSmallCallBytes = 250;
/// Of a back end in an answer of the store, and in a message of the system's own.
constexpr std::size_t kStoreEntryBytes = 320;
constexpr std::size_t kRelayEntryBytes = 150;
constexpr Duration kLookInterval = milliseconds(100);
constexpr Duration kTellInterval = milliseconds(500);
constexpr Duration kCatchUpInterval = milliseconds(50);
constexpr Duration kRunAfterChange = seconds(10);
constexpr std::size_t kRing = 3;
constexpr double kStoreBytesPerSecond = 125e6;
/// As a gateway's: while more waits, it sends no whole list.
constexpr std::size_t kListQueueLimitBytes = 1U << 20U;
constexpr std::uint64_t kListRevision = 1;
constexpr Duration kListAskInterval = milliseconds(300);
constexpr Duration kAgentAskInterval = milliseconds(500);
/// Of the list of back ends, in one answer of the store.
constexpr std::size_t kPageEntries = 500;

struct Gateway {
  Gateway(std::size_t index, std::size_t zone_index)
      : zone(zone_index),
        address{"10.0.0.1", static_cast<std::uint16_t>(index + 1)},
        reading(address, index),
        catch_up(index),
        holders(index) {}

  std::size_t zone;
  Address address;
  StoreReaderPolicy reading;
  ConfigurationCatchUp catch_up;
  BackendListHolders holders;
  std::set<std::size_t> known;  ///< Other gateways of the zone.
  std::set<std::size_t> welcomed;
  bool started = false;
  bool reads = false;
  bool has_list = false;
  bool store_answers = false;  ///< A page of the list has come.
  TimePoint next_ask{};
  std::uint64_t version = 0;
  bool hangs = false;
};

struct Contact {
  std::size_t gateway = 0;
  std::uint64_t revision = 0;  ///< 0: none.
};

class World {
 public:
  explicit World(const FleetStartSetup& setup)
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
      events_.schedule_in(any_delay(setup_.start_spread), [this, index] { start(index); });
    }
    if (setup_.reading == StartReading::each_alone) start_agents();
    if (setup_.contact_hangs_after > Duration::zero()) {
      events_.schedule_in(setup_.contact_hangs_after, [this] { hang_contacts(); });
    }
    const TimePoint change_at = events_.now() + setup_.change_after;
    events_.schedule_at(change_at, [this] { publish(); });
    outcome_.list_at_last = setup_.change_after + kRunAfterChange;
    outcome_.change_in_force = kRunAfterChange;
    while (events_.now() < change_at + kRunAfterChange && events_.run_next()) {
    }
    for (std::size_t zone = 0; zone < setup_.zones; ++zone) {
      outcome_.most_readers = std::max(outcome_.most_readers, readers_of(zone));
    }
    return outcome_;
  }

 private:
  static SpreadNetwork::Options network_options(const FleetStartSetup& setup) {
    SpreadNetwork::Options options;
    options.region_bytes_per_s = setup.region_mbit_per_s * kBytesPerMegabit;
    return options;
  }
  /// Gateways, agents, the store.
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
  Duration any_delay(Duration most) {
    std::uniform_int_distribution<Duration::rep> any(0, most.count());
    return Duration(any(random_));
  }
  std::size_t readers_of(std::size_t zone) const {
    const auto count = std::count_if(gateways_.begin(), gateways_.end(), [&](const auto& gateway) {
      return gateway->zone == zone && gateway->reads && !gateway->hangs;
    });
    return static_cast<std::size_t>(count);
  }
  void hang_contacts() {
    for (const Contact& contact : contacts_) {
      if (contact.revision == 0) continue;
      gateways_[contact.gateway]->hangs = true;
      network_.hang(contact.gateway);
    }
  }
  template <class Holds>
  bool all(Holds holds) const {
    return std::all_of(gateways_.begin(), gateways_.end(),
                       [&](const auto& gateway) { return gateway->hangs || holds(*gateway); });
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
      events_.schedule_in(any_delay(setup_.start_spread), [this, agent] {
        ++outcome_.lists_read;
        send_from_store(gateway_count() + agent, setup_.backends * kStoreEntryBytes, [] {});
      });
    }
  }
  void publish() {
    published_at_ = events_.now();
    published_ = 2;
    for (std::size_t index = 0; index < gateways_.size(); ++index) {
      if (gateways_[index]->reads) read_configuration(index);
    }
  }
  void read_configuration(std::size_t index) {
    send_from_store(index, setup_.configuration_bytes,
                    [this, index, version = published_] { take_configuration(index, version); });
  }
  void read_list(std::size_t index) {
    ++outcome_.lists_read;
    read_page(index, setup_.backends);
  }
  void read_page(std::size_t index, std::size_t entries_left) {
    const std::size_t entries = std::min(entries_left, kPageEntries);
    send_from_store(index, entries * kStoreEntryBytes,
                    [this, index, left = entries_left - entries] {
                      gateways_[index]->store_answers = true;
                      if (left == 0) {
                        take_list(index);
                      } else {
                        call_store(index, [this, index, left] { read_page(index, left); });
                      }
                    });
  }

  // ---- a gateway's start ----

  void start(std::size_t index) {
    gateways_[index]->started = true;
    look(index);
    tell_regularly(index);
    catch_up(index);
  }
  void look(std::size_t index) {
    Gateway& gateway = *gateways_[index];
    if (gateway.hangs) return;
    if (setup_.reading == StartReading::contact && !gateway.has_list) search(index);
    const bool reads = decide(gateway);
    if (reads != gateway.reads) {
      gateway.reads = reads;
      gateway.catch_up.set_reads_store(reads);
      if (reads) begin_reading(index);
    }
    events_.schedule_in(kLookInterval, [this, index] { look(index); });
  }
  bool decide(Gateway& gateway) {
    const bool knows_nobody = gateway.known.empty();
    if (setup_.reading == StartReading::each_alone && knows_nobody) return true;
    return gateway.reading.decide(events_.now());
  }
  void begin_reading(std::size_t index) {
    read_configuration(index);
    if (!gateways_[index]->has_list) read_list(index);
    for (const std::size_t other : gateways_[index]->known) tell(index, other);
  }
  void search(std::size_t index) {
    ContactSearch& search = gateways_[index]->reading.search();
    if (const auto action = search.next_action(events_.now())) {
      call_store(index, [this, index, action = *action] { answer_search(index, action); });
    }
    if (!search.contact()) return;
    const std::size_t contact = search.contact()->gateway.port - 1U;
    gateways_[index]->known.insert(contact);
    tell(index, contact);
  }
  void answer_search(std::size_t index, const ContactAction& action) {
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
      gateways_[index]->reading.search().on_answer(answer, events_.now());
    });
  }

  // ---- what gateways tell each other ----

  void tell_regularly(std::size_t index) {
    const Gateway& gateway = *gateways_[index];
    if (gateway.hangs) return;
    std::size_t told = 0;
    for (const std::size_t other : gateway.known) {
      if (!gateway.reads && ++told > kRing) break;
      tell(index, other);
    }
    events_.schedule_in(kTellInterval, [this, index] { tell_regularly(index); });
  }
  void tell(std::size_t from, std::size_t to) {
    const Gateway& teller = *gateways_[from];
    network_.send(from, to, kDigestBytes,
                  [this, from, to, reads = teller.reads && teller.store_answers,
                   has_list = teller.has_list, version = teller.version] {
                    on_digest(to, from, reads, version);
                    if (has_list) on_holder_heard(to, from);
                  });
  }
  void on_holder_heard(std::size_t index, std::size_t holder) {
    Gateway& gateway = *gateways_[index];
    if (gateway.has_list || !gateway.started) return;
    gateway.holders.on_revision_advertised(holder, kListRevision);
    if (events_.now() < gateway.next_ask) return;
    gateway.next_ask = events_.now() + kListAskInterval;
    ask_list(index, *gateway.holders.next(0), [this, index] { take_list(index); });
  }
  void on_digest(std::size_t index, std::size_t from, bool reads, std::uint64_t version) {
    Gateway& gateway = *gateways_[index];
    if (!gateway.started || gateway.hangs) return;
    gateway.known.insert(from);
    if (gateway.welcomed.insert(from).second) welcome(index, from);
    gateway.reading.on_reader_status(from, reads, events_.now());
    gateway.catch_up.on_version_advertised(from, version, true, events_.now());
  }
  void welcome(std::size_t index, std::size_t newcomer) {
    network_.send(index, newcomer, kDigestBytes, [this, newcomer, known = gateways_[index]->known] {
      for (const std::size_t other : known) {
        const bool is_new = other != newcomer && gateways_[newcomer]->known.insert(other).second;
        if (is_new) tell(newcomer, other);
      }
    });
    tell(index, newcomer);
  }
  void ask_list(std::size_t asker, std::size_t holder, const std::function<void()>& on_list) {
    network_.send(asker, holder, kSmallCallBytes, [this, asker, holder, on_list] {
      if (!gateways_[holder]->has_list) return;
      if (network_.queued_bytes(holder) > kListQueueLimitBytes) return;
      // Agents are told of engines alone, and each has one.
      const std::size_t entries = asker < gateway_count() ? setup_.backends : agent_count();
      network_.send(holder, asker, entries * kRelayEntryBytes, on_list);
    });
  }
  void take_list(std::size_t index) {
    Gateway& gateway = *gateways_[index];
    if (gateway.has_list) return;
    gateway.has_list = true;
    gateway.store_answers = true;  // Of a gateway of the zone, at least.
    gateway.reading.on_list_known();
    if (setup_.reading == StartReading::each_alone) meet_neighbours(index);
    for (const std::size_t other : gateway.known) tell(index, other);
    if (gateway.reads) wake_agents(gateway.zone);
    if (all([](const Gateway& each) { return each.has_list; })) {
      outcome_.list_at_last = std::min(outcome_.list_at_last, events_.now() - TimePoint{});
    }
  }
  /// The agents that the list names tell which gateways there are.
  void meet_neighbours(std::size_t index) {
    for (std::size_t other = 0; other < gateways_.size(); ++other) {
      const bool met =
          gateways_[other]->has_list && gateways_[other]->zone == gateways_[index]->zone;
      if (met && other != index) gateways_[index]->known.insert(other);
    }
  }
  /// Agents of the zone hear of a reader.
  void wake_agents(std::size_t zone) {
    if (!zones_with_list_.insert(zone).second) return;
    for (std::size_t agent = zone; agent < agent_count(); agent += setup_.zones) {
      events_.schedule_in(any_delay(kAgentAskInterval), [this, agent] { agent_asks(agent); });
    }
  }
  void agent_asks(std::size_t agent) {
    if (agents_with_list_.contains(agent)) return;
    const std::size_t zone = agent % setup_.zones;
    std::uniform_int_distribution<std::size_t> any(0, setup_.gateways_per_zone - 1);
    const std::size_t holder = zone + any(random_) * setup_.zones;
    ask_list(gateway_count() + agent, holder, [this, agent] { agents_with_list_.insert(agent); });
    events_.schedule_in(kAgentAskInterval, [this, agent] { agent_asks(agent); });
  }

  // ---- configurations ----

  void take_configuration(std::size_t index, std::uint64_t version) {
    Gateway& gateway = *gateways_[index];
    if (gateway.reads) gateway.store_answers = true;
    if (version <= gateway.version) return;
    gateway.version = version;
    gateway.catch_up.on_in_force(version);
    for (const std::size_t other : gateway.known) {
      if (gateway.reads) tell(index, other);
    }
    if (version == 2 && all([](const Gateway& each) { return each.version == 2; })) {
      outcome_.change_in_force = events_.now() - published_at_;
    }
  }
  void catch_up(std::size_t index) {
    Gateway& gateway = *gateways_[index];
    if (const auto holder = gateway.catch_up.next_request(events_.now())) {
      network_.send(index, *holder, kSmallCallBytes, [this, index, from = *holder] {
        network_.send(from, index, setup_.configuration_bytes,
                      [this, index, version = gateways_[from]->version] {
                        take_configuration(index, version);
                      });
      });
    }
    events_.schedule_in(kCatchUpInterval, [this, index] { catch_up(index); });
  }

  FleetStartSetup setup_;
  std::minstd_rand random_;
  std::vector<Contact> contacts_;  ///< By zone.
  simulation::EventQueue events_;
  SpreadNetwork network_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::set<std::size_t> zones_with_list_;
  std::set<std::size_t> agents_with_list_;
  std::uint64_t published_ = 1;
  TimePoint published_at_{};
  FleetStartOutcome outcome_;
};

}  // namespace

FleetStartOutcome start_fleet(const FleetStartSetup& setup) { return World(setup).run(); }

}  // namespace pumicemast::tests
