/// Simulates machines that exchange messages over links with little bandwidth, on virtual time.
///
/// A connection has an unbounded send queue and a window of unacknowledged bytes, like TCP. The
/// connections of a machine share its uplink in turn. Two regions are connected by one link in each
/// direction.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "simulation/event_queue.h"

namespace pumicemast {

class SimulatedNetwork {
 public:
  using Machine = std::size_t;

  struct Options {
    double machine_bytes_per_s = 5e6;
    double region_bytes_per_s = 2.25e6;
    std::size_t window_bytes = 256U * 1024U;
    Duration latency = milliseconds(1);
  };

  SimulatedNetwork(simulation::EventQueue& events, Options options,
                   std::vector<std::size_t> regions)
      : events_(events), options_(options), regions_(std::move(regions)) {
    senders_.resize(regions_.size());
    downlink_free_.resize(regions_.size());
  }

  /// Appends a message of `bytes` to the send queue of the connection.
  void send(Machine from, Machine to, std::size_t bytes, std::function<void()> on_arrival) {
    Sender& sender = senders_[from];
    sender.connections[to].messages.push_back({bytes, bytes, std::move(on_arrival)});
    sender.queued_bytes += bytes;
    sender.peak_bytes = std::max(sender.peak_bytes, sender.queued_bytes);
    pump(from);
  }
  /// The machine sends nothing any more; its connections stay open.
  void stop_sending(Machine machine) { senders_[machine].sending_stopped = true; }
  std::size_t peak_queued_bytes(Machine machine) const { return senders_[machine].peak_bytes; }
  std::size_t queued_bytes(Machine machine) const { return senders_[machine].queued_bytes; }
  /// Sets the bandwidth of this machine, in place of `machine_bytes_per_s`.
  void set_rate(Machine machine, double bytes_per_s) { rates_[machine] = bytes_per_s; }
  bool same_region(Machine one, Machine other) const { return regions_[one] == regions_[other]; }

 private:
  static constexpr std::size_t kPacketBytes = 16U * 1024U;
  struct Message {
    std::size_t unsent;
    std::size_t unarrived;
    std::function<void()> on_arrival;
  };
  struct Connection {
    std::deque<Message> messages;  ///< Messages that have not arrived completely.
    std::size_t unacknowledged = 0;
  };
  struct Sender {
    std::map<Machine, Connection> connections;
    Machine last_served = 0;
    bool busy = false;
    bool sending_stopped = false;
    std::size_t queued_bytes = 0;
    std::size_t peak_bytes = 0;
  };

  double rate_of(Machine machine) const {
    const auto found = rates_.find(machine);
    return found == rates_.end() ? options_.machine_bytes_per_s : found->second;
  }
  static Duration time_of(std::size_t bytes, double bytes_per_s) {
    return from_seconds(static_cast<double>(bytes) / bytes_per_s);
  }
  Message* next_message(Connection& connection) const {
    if (connection.unacknowledged >= options_.window_bytes) return nullptr;
    const auto found = std::find_if(connection.messages.begin(), connection.messages.end(),
                                    [](const Message& message) { return message.unsent > 0; });
    return found == connection.messages.end() ? nullptr : &*found;
  }
  /// Receiver of the next connection in turn that may send, or null.
  Machine* next_receiver(Sender& sender) {
    auto position = sender.connections.upper_bound(sender.last_served);
    for (std::size_t step = 0; step < sender.connections.size(); ++step) {
      if (position == sender.connections.end()) position = sender.connections.begin();
      if (next_message(position->second) != nullptr) {
        sender.last_served = position->first;
        return &sender.last_served;
      }
      ++position;
    }
    return nullptr;
  }
  void pump(Machine from) {
    Sender& sender = senders_[from];
    if (sender.busy || sender.sending_stopped) return;
    const Machine* receiver = next_receiver(sender);
    if (receiver == nullptr) return;
    const Machine to = *receiver;
    Connection& connection = sender.connections[to];
    Message* message = next_message(connection);
    const std::size_t bytes = std::min(kPacketBytes, message->unsent);
    message->unsent -= bytes;
    connection.unacknowledged += bytes;
    sender.queued_bytes -= bytes;
    sender.busy = true;
    events_.schedule_in(time_of(bytes, rate_of(from)), [this, from, to, bytes] {
      senders_[from].busy = false;
      cross_region(from, to, bytes);
      pump(from);
    });
  }
  void cross_region(Machine from, Machine to, std::size_t bytes) {
    if (same_region(from, to)) {
      enter_downlink(from, to, bytes);
      return;
    }
    TimePoint& free_at = region_free_[{regions_[from], regions_[to]}];
    free_at = std::max(free_at, events_.now()) + time_of(bytes, options_.region_bytes_per_s);
    events_.schedule_at(free_at, [this, from, to, bytes] { enter_downlink(from, to, bytes); });
  }
  void enter_downlink(Machine from, Machine to, std::size_t bytes) {
    TimePoint& free_at = downlink_free_[to];
    free_at = std::max(free_at, events_.now()) + time_of(bytes, rate_of(to));
    events_.schedule_at(free_at + options_.latency,
                        [this, from, to, bytes] { arrive(from, to, bytes); });
  }
  void arrive(Machine from, Machine to, std::size_t bytes) {
    Connection& connection = senders_[from].connections[to];
    connection.unacknowledged -= bytes;
    std::vector<std::function<void()>> arrived;
    while (bytes > 0) {
      Message& head = connection.messages.front();
      const std::size_t taken = std::min(bytes, head.unarrived);
      head.unarrived -= taken;
      bytes -= taken;
      if (head.unarrived > 0) continue;
      arrived.push_back(std::move(head.on_arrival));
      connection.messages.pop_front();
    }
    for (const auto& on_arrival : arrived) on_arrival();
    pump(from);
  }

  simulation::EventQueue& events_;
  Options options_;
  std::vector<std::size_t> regions_;
  std::map<Machine, double> rates_;
  std::vector<Sender> senders_;
  std::vector<TimePoint> downlink_free_;
  std::map<std::pair<std::size_t, std::size_t>, TimePoint> region_free_;
};

}  // namespace pumicemast
