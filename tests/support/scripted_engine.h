/// An in-memory engine and weight origin for tests of the agent's staging.
///
/// deliver() responds to calls, as the event loop would. Orders may be left unanswered and carried
/// out later by the test, as by a slow engine or over a slow link.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "host/engine_control.h"

namespace pumicemast::tests {

/// Content of a chunk; no two versions share a chunk.
inline std::string chunk_of(std::uint64_t version, ChunkIndex chunk) {
  return "chunk " + std::to_string(chunk) + " of version " + std::to_string(version);
}

/// Calls whose responses were not delivered yet.
class PendingAnswers {
 public:
  void add(std::function<void()> answer) { answers_.push_back(std::move(answer)); }
  void deliver() {
    auto answers = std::move(answers_);
    answers_.clear();
    for (const auto& answer : answers) answer();
  }

  /// The agent that made the calls is gone.
  void drop() { answers_.clear(); }

 private:
  std::deque<std::function<void()>> answers_;
};

class ScriptedEngine : public EngineControl {
 public:
  /// Content of the staging memory when an order was carried out.
  struct Activation {
    std::uint64_t version = 0;
    std::map<ChunkIndex, std::string> chunks;
    bool complete(ChunkIndex chunk_count) const {
      if (chunks.size() != chunk_count) return false;
      return std::all_of(chunks.begin(), chunks.end(), [this](const auto& entry) {
        return entry.second == chunk_of(version, entry.first);
      });
    }
  };

  /// Leaves the next `orders` orders unanswered; execute_late_order() carries them out.
  void leave_unanswered(std::size_t orders) { unanswered_left_ = orders; }
  void execute_late_order() {
    if (late_.empty()) return;
    const StartOrder order = late_.front();
    late_.pop_front();
    activate(order);
  }
  /// Orders for `version` are refused from now on.
  void decline(std::uint64_t version) { declined_ = version; }
  /// Corrupts a staged chunk.
  void corrupt(ChunkIndex chunk) { staged_.at(chunk) += " corrupt"; }
  /// All of `version` is staged, and the engine is activating it by an order of an earlier agent.
  void begin_earlier_changeover(std::uint64_t version, ChunkIndex chunk_count) {
    for (ChunkIndex chunk = 0; chunk < chunk_count; ++chunk) {
      staged_[chunk] = chunk_of(version, chunk);
    }
    activate({"", version, sequence_});
    changing_over_ = true;
  }
  void end_changeover() { changing_over_ = false; }
  /// Without reports the engine looks unreachable; other calls are still answered.
  void set_reporting(bool reporting) { reporting_ = reporting; }
  void deliver() { answers_.deliver(); }
  /// The agent is gone; orders that it sent may still be carried out.
  void drop_answers() { answers_.drop(); }
  LoadReport report() const {
    LoadReport report;
    if (!reporting_) return report;
    report.alive = true;
    report.busy = changing_over_;
    report.weight_version = changing_over_ ? 0 : serving_;
    report.order_sequence = sequence_;
    return report;
  }
  const std::vector<Activation>& activations() const { return activations_; }
  std::size_t late_orders() const { return late_.size(); }
  /// Orders received, answered or not.
  std::size_t orders() const { return orders_; }
  std::uint64_t serving() const { return serving_; }
  /// Whether the staging memory holds exactly the chunks of `version`.
  bool holds(std::uint64_t version, ChunkIndex chunk_count) const {
    return Activation{version, staged_}.complete(chunk_count);
  }

  bool holds_chunk(std::uint64_t version, ChunkIndex chunk) const {
    const auto found = staged_.find(chunk);
    return found != staged_.end() && found->second == chunk_of(version, chunk);
  }

  // EngineControl
  void set_layer_count(std::uint32_t) override {}
  void read_load(std::function<void(const LoadReport&)> callback) override {
    answers_.add([this, callback] { callback(report()); });
  }
  void list_staged(const std::string&,
                   std::function<void(std::optional<std::vector<ChunkIndex>>)> callback) override {
    std::vector<ChunkIndex> held;
    for (const auto& [chunk, bytes] : staged_) held.push_back(chunk);
    answers_.add([callback, held] { callback(held); });
  }
  void read_staged(const std::string&, ChunkIndex chunk,
                   std::function<void(std::optional<std::string>)> callback) override {
    const auto found = staged_.find(chunk);
    std::optional<std::string> bytes;
    if (found != staged_.end()) bytes = found->second;
    answers_.add([callback, bytes] { callback(bytes); });
  }
  void write_staged(const std::string&, ChunkIndex chunk, const std::string& bytes,
                    std::function<void(bool)> callback) override {
    staged_[chunk] = bytes;
    answers_.add([callback] { callback(true); });
  }
  void start_serving(const StartOrder& order, std::function<void(StartOutcome)> callback) override {
    ++orders_;
    if (unanswered_left_ > 0) {
      --unanswered_left_;
      late_.push_back(order);
      answers_.add([callback] { callback(StartOutcome::unknown); });
      return;
    }
    const bool begun = activate(order);
    answers_.add(
        [callback, begun] { callback(begun ? StartOutcome::begun : StartOutcome::refused); });
  }

 private:
  /// @return whether the activation began; it does not if the expected sequence is out of date.
  bool activate(const StartOrder& order) {
    if (order.expected_sequence != sequence_ || changing_over_) return false;
    if (order.version == declined_) return false;
    ++sequence_;
    activations_.push_back({order.version, staged_});
    serving_ = order.version;
    return true;
  }

  PendingAnswers answers_;
  std::map<ChunkIndex, std::string> staged_;
  std::size_t unanswered_left_ = 0;
  std::uint64_t declined_ = 0;
  std::deque<StartOrder> late_;
  std::size_t orders_ = 0;
  std::uint64_t sequence_ = 0;
  bool changing_over_ = false;
  bool reporting_ = true;
  std::vector<Activation> activations_;
  std::uint64_t serving_ = 0;
};

class ScriptedOrigin : public WeightOrigin {
 public:
  explicit ScriptedOrigin(ChunkIndex chunk_count)
      : chunk_count_(chunk_count), available_chunks_(chunk_count) {}
  void set_newest(std::uint64_t version) { newest_ = version; }
  /// Refuses manifests of older versions from now on.
  void forget_manifests_before(std::uint64_t version) { oldest_manifest_ = version; }
  /// Refuses this chunk and all later ones from now on.
  void withhold_chunks_from(ChunkIndex chunk) { available_chunks_ = chunk; }
  /// Changes manifests before they are sent. `number` counts the manifests from 0.
  using Corruption = std::function<void(std::size_t number, WeightManifest&)>;
  void corrupt_manifests(Corruption corrupt) { corrupt_ = std::move(corrupt); }
  std::size_t manifest_requests() const { return manifest_requests_; }
  void deliver() { answers_.deliver(); }
  /// The agent that made the calls is gone.
  void drop_answers() { answers_.drop(); }

  // WeightOrigin
  void set_layer_count(std::uint32_t) override {}
  void fetch_manifest(const std::string& model, std::uint64_t version,
                      std::function<void(std::optional<WeightManifest>)> callback) override {
    const std::size_t number = manifest_requests_++;
    WeightManifest manifest{model, version == 0 ? newest_ : version, 0, 1, {}};
    if (manifest.version < oldest_manifest_ || manifest.version > newest_) {
      answers_.add([callback] { callback(std::nullopt); });
      return;
    }
    for (ChunkIndex chunk = 0; chunk < chunk_count_; ++chunk) {
      manifest.hashes.push_back(sha256(chunk_of(manifest.version, chunk)));
    }
    if (corrupt_) corrupt_(number, manifest);
    answers_.add([callback, manifest] { callback(manifest); });
  }
  void fetch_chunk(const std::string&, std::uint64_t version, ChunkIndex chunk,
                   std::function<void(std::optional<std::string>)> callback) override {
    std::optional<std::string> bytes;
    if (chunk < available_chunks_) bytes = chunk_of(version, chunk);
    answers_.add([callback, bytes] { callback(bytes); });
  }
  void cancel_chunk(const std::string&, std::uint64_t, ChunkIndex) override {}
  void cancel_chunks(const std::string&, std::uint64_t) override {}
  std::uint32_t connection_limit() const override { return 9; }

 private:
  ChunkIndex chunk_count_;
  ChunkIndex available_chunks_;
  std::uint64_t newest_ = 1;
  std::uint64_t oldest_manifest_ = 0;
  std::size_t manifest_requests_ = 0;
  Corruption corrupt_;
  PendingAnswers answers_;
};

}  // namespace pumicemast::tests
