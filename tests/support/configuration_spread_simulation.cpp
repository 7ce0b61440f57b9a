#include "support/configuration_spread_simulation.h"

#include <random>
#include <set>
#include <string>
#include <vector>

#include "gateway/configuration/configuration_catch_up.h"
#include "gateway/configuration/configuration_download.h"
#include "gateway/configuration/recent_configurations.h"
#include "support/simulated_network.h"

namespace pumicemast {
namespace {

constexpr std::size_t kDigestBytes = 400;
constexpr std::size_t kRequestBytes = 60;
constexpr Duration kTickInterval = milliseconds(500);
constexpr Duration kCatchUpInterval = milliseconds(50);
constexpr Duration kStoreReadPause = milliseconds(150);
constexpr Duration kMaximumRunTime = seconds(30);
constexpr std::size_t kRingSuccessors = 3;
constexpr std::size_t kRandomPeers = 5;
constexpr double kBytesPerMegabit = 125'000;

struct Gateway {
  explicit Gateway(PeerId id) : catch_up(id), download(id) {}
  ConfigurationCatchUp catch_up;
  ConfigurationDownload download;
  RecentConfigurations recent_configurations;
  std::uint64_t version = 1;
  bool reads_store = false;
  bool store_read_pending = false;  ///< The store is sending a document.
  bool catch_up_scheduled = false;  ///< The timer of catch_up_tick() runs.
  bool hung = false;
};

class Simulation {
 public:
  explicit Simulation(const SpreadSetup& setup)
      : setup_(setup),
        random_(setup.seed),
        network_(events_,
                 {setup.machine_mbit_per_s * kBytesPerMegabit,
                  setup.region_mbit_per_s * kBytesPerMegabit},
                 regions()) {
    for (std::size_t index = 0; index < setup.gateways; ++index) add_gateway(index);
  }

  SpreadOutcome run() {
    for (std::size_t index = 0; index < gateways_.size(); ++index) {
      std::uniform_int_distribution<std::int64_t> phase(0, to_milliseconds(kTickInterval));
      events_.schedule_in(milliseconds(phase(random_)), [this, index] { gossip(index); });
    }
    const TimePoint first_at = events_.now() + seconds(2);
    const TimePoint second_at = first_at + setup_.second_version_after;
    events_.schedule_at(first_at, [this] { publish(2); });
    events_.schedule_at(second_at, [this] { publish(3); });
    if (setup_.reader_hangs_after > Duration::zero()) {
      events_.schedule_at(first_at + setup_.reader_hangs_after, [this] { hang_readers(); });
    }
    while (!all_have(3) && events_.now() < second_at + kMaximumRunTime) events_.run_next();
    outcome_.all_have_newest = all_have(3);
    outcome_.propagation_time = events_.now() - second_at;
    const auto document = static_cast<double>(setup_.document_bytes);
    outcome_.copies = bytes_sent_ / document;
    outcome_.copies_between_regions = bytes_between_regions_ / document;
    for (std::size_t index = 0; index < gateways_.size(); ++index) {
      outcome_.peak_queued_bytes =
          std::max(outcome_.peak_queued_bytes, network_.peak_queued_bytes(index));
    }
    return outcome_;
  }

 private:
  std::size_t zone(std::size_t index) const { return index % setup_.zones; }
  std::size_t store() const { return setup_.gateways; }
  std::vector<std::size_t> regions() const {
    std::vector<std::size_t> result;
    for (std::size_t index = 0; index < setup_.gateways; ++index) {
      result.push_back(zone(index) < setup_.zones / 2 ? 0 : 1);
    }
    result.push_back(0);
    return result;
  }
  static PeerId id(std::size_t index) { return index + 1; }
  void add_gateway(std::size_t index) {
    gateways_.emplace_back(id(index));
    Gateway& gateway = gateways_.back();
    gateway.reads_store = index / setup_.zones < setup_.readers_per_zone;
    gateway.catch_up.set_reads_store(gateway.reads_store);
    set_configuration(gateway, 1);
  }
  void set_configuration(Gateway& gateway, std::uint64_t version) {
    gateway.version = version;
    gateway.catch_up.on_in_force(version);
    gateway.download.on_in_force(version);
    gateway.recent_configurations.add(version, std::string(setup_.document_bytes, 'd'));
  }
  bool all_have(std::uint64_t version) const {
    return std::all_of(gateways_.begin(), gateways_.end(), [&](const Gateway& gateway) {
      return gateway.hung || gateway.version >= version;
    });
  }
  void hang_readers() {
    for (std::size_t index = 0; index < setup_.zones; ++index) {
      gateways_[index].hung = true;
      network_.stop_sending(index);
    }
  }

  // ---- the store ----

  void publish(std::uint64_t version) {
    published_ = version;
    for (std::size_t index = 0; index < gateways_.size(); ++index) read_store(index);
  }
  void read_store(std::size_t index) {
    Gateway& gateway = gateways_[index];
    if (!gateway.reads_store || gateway.store_read_pending || gateway.version >= published_) return;
    gateway.store_read_pending = true;
    network_.send(store(), index, setup_.document_bytes, [this, index, version = published_] {
      gateways_[index].store_read_pending = false;
      adopt_configuration(index, version);
      events_.schedule_in(kStoreReadPause, [this, index] { read_store(index); });
    });
  }

  // ---- gossip ----

  std::set<std::size_t> gossip_recipients(std::size_t index) const {
    std::set<std::size_t> recipients;
    for (std::size_t step = 1; step <= kRingSuccessors; ++step)
      recipients.insert((index + step) % setup_.gateways);
    if (!gateways_[index].reads_store) return recipients;
    for (std::size_t other = 0; other < gateways_.size(); ++other) {
      if (other != index && zone(other) == zone(index)) recipients.insert(other);
    }
    return recipients;
  }
  void gossip(std::size_t index) {
    for (const std::size_t other : gossip_recipients(index)) send_digest(index, other);
    events_.schedule_in(kTickInterval, [this, index] { gossip(index); });
  }
  void gossip_now(std::size_t index) {
    std::set<std::size_t> recipients = gossip_recipients(index);
    std::uniform_int_distribution<std::size_t> any(0, gateways_.size() - 1);
    for (std::size_t count = 0; count < kRandomPeers; ++count) recipients.insert(any(random_));
    recipients.erase(index);
    for (const std::size_t other : recipients) send_digest(index, other);
  }
  void send_digest(std::size_t from, std::size_t to) {
    network_.send(from, to, kDigestBytes, [this, from, to, version = gateways_[from].version] {
      gateways_[to].catch_up.on_version_advertised(id(from), version, zone(from) == zone(to),
                                                   events_.now());
      if (zone(from) == zone(to)) {
        request_pieces(to, gateways_[to].download.on_version_advertised(id(from), version));
      }
      if (!gateways_[to].catch_up_scheduled) catch_up_tick(to);
    });
  }
  void adopt_configuration(std::size_t index, std::uint64_t version) {
    Gateway& gateway = gateways_[index];
    if (version <= gateway.version) return;
    set_configuration(gateway, version);
    gossip_now(index);
  }

  // ---- fetching a document from another gateway, as FleetLinks does ----

  void catch_up_tick(std::size_t index) {
    Gateway& gateway = gateways_[index];
    gateway.catch_up_scheduled = gateway.catch_up.behind();
    if (!gateway.catch_up_scheduled) return;
    if (const auto chosen = gateway.catch_up.next_request(events_.now())) {
      request_pieces(index,
                     gateway.download.begin(*chosen, gateway.catch_up.advertised_version(*chosen)));
    }
    events_.schedule_in(kCatchUpInterval, [this, index] { catch_up_tick(index); });
  }
  void request_pieces(std::size_t from, const ConfigurationPieceRequests& requests) {
    for (const ConfigurationPieceRequest& request : requests) {
      network_.send(from, request.gateway - 1, kRequestBytes,
                    [this, from, request] { on_request(from, request); });
    }
  }
  void on_request(std::size_t from, const ConfigurationPieceRequest& request) {
    const std::size_t holder = request.gateway - 1;
    const auto piece =
        gateways_[holder].recent_configurations.piece(request.version, request.offset);
    if (!piece) return;
    send_document(holder, from, piece->bytes.size(),
                  [this, from, piece = *piece, bytes = std::string(piece->bytes)]() mutable {
                    piece.bytes = bytes;
                    on_piece(from, piece);
                  });
  }
  void on_piece(std::size_t index, const ConfigurationPiece& piece) {
    Gateway& gateway = gateways_[index];
    request_pieces(index, gateway.download.on_piece(piece));
    if (gateway.download.progressed()) gateway.catch_up.on_progress(events_.now());
    const std::uint64_t version = gateway.download.version();
    if (gateway.download.take_document()) adopt_configuration(index, version);
  }
  void send_document(std::size_t from, std::size_t to, std::size_t bytes,
                     std::function<void()> on_arrival) {
    bytes_sent_ += static_cast<double>(bytes);
    if (!network_.same_region(from, to)) bytes_between_regions_ += static_cast<double>(bytes);
    network_.send(from, to, bytes, std::move(on_arrival));
  }

  SpreadSetup setup_;
  std::minstd_rand random_;
  simulation::EventQueue events_;
  SimulatedNetwork network_;
  std::vector<Gateway> gateways_;
  std::uint64_t published_ = 1;
  double bytes_sent_ = 0;
  double bytes_between_regions_ = 0;
  SpreadOutcome outcome_;
};

}  // namespace

SpreadOutcome spread_configurations(const SpreadSetup& setup) { return Simulation(setup).run(); }

}  // namespace pumicemast
