#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <vector>

#include "host/download/manifest_confirmation.h"
#include "host/download/origin_request_schedule.h"

namespace pumicemast {
namespace {

constexpr std::uint64_t kNamed = 12;
constexpr Duration kTick = milliseconds(20);
constexpr Duration kPeerDelay = milliseconds(5);
constexpr Duration kOriginDelay = milliseconds(15);
/// A manifest of 96 chunks on the origin's link of 7.3 Mbit/s.
constexpr Duration kManifestTime = std::chrono::microseconds(7400);
constexpr Duration kPeerRequestInterval = milliseconds(150);
constexpr std::size_t kPeersPerRound = 2;
constexpr std::size_t kFanOut = 6;

WeightManifest right_manifest(std::uint64_t version) {
  WeightManifest manifest{"m", version, 1, 1, {}};
  for (int chunk = 0; chunk < 4; ++chunk) {
    manifest.hashes.push_back(sha256(std::to_string(version) + "/" + std::to_string(chunk)));
  }
  return manifest;
}

/// Agents that spread one manifest among one another, on virtual time. The decisions when to call
/// the origin and what to believe are the production ones.
class ManifestFleet {
 public:
  ManifestFleet(std::size_t agents, std::uint64_t version, double corrupt_share, std::uint32_t seed)
      : agents_(agents), corrupt_share_(corrupt_share), random_(seed) {
    for (Agent& agent : agents_) {
      const Duration heard = milliseconds(random_() % 30);
      agent.schedule.begin(now_ + heard);
      agent.next_peer_request = now_ + heard;
      agent.confirmation.begin("m", version);
    }
  }

  void run(Duration duration) {
    for (const TimePoint end = now_ + duration; now_ < end; now_ += kTick) {
      while (!events_.empty() && events_.begin()->first <= now_) {
        const auto event = events_.extract(events_.begin());
        event.mapped()();
      }
      for (std::size_t index = 0; index < agents_.size(); ++index) tick(index);
    }
  }

  std::size_t origin_requests() const { return origin_requests_; }
  std::size_t right() const {
    return static_cast<std::size_t>(
        std::count_if(agents_.begin(), agents_.end(), [](const Agent& agent) {
          return agent.manifest && *agent.manifest == right_manifest(kNamed);
        }));
  }

 private:
  struct Agent {
    OriginRequestSchedule schedule;
    ManifestConfirmation confirmation;
    TimePoint next_peer_request{};
    std::optional<WeightManifest> manifest;
  };

  void at(TimePoint time, std::function<void()> event) { events_.emplace(time, std::move(event)); }
  std::size_t other() { return random_() % agents_.size(); }

  void tick(std::size_t index) {
    Agent& agent = agents_[index];
    if (agent.manifest) return;
    if (agent.schedule.due(static_cast<std::uint32_t>(index), now_)) {
      agent.schedule.on_request_sent();
      request_from_origin(index);
    }
    if (now_ < agent.next_peer_request) return;
    agent.next_peer_request = now_ + kPeerRequestInterval;
    for (std::size_t peer = 0; peer < kPeersPerRound; ++peer) request_from_peer(index, other());
  }

  void request_from_peer(std::size_t index, std::size_t peer) {
    at(now_ + kPeerDelay, [this, index, peer] {
      if (agents_[peer].manifest) send(index, *agents_[peer].manifest);
    });
  }

  void send(std::size_t index, const WeightManifest& manifest) {
    at(now_ + kPeerDelay, [this, index, manifest] { accept(index, manifest); });
  }

  void accept(std::size_t index, const WeightManifest& manifest) {
    Agent& agent = agents_[index];
    if (agent.manifest) return;
    agent.manifest = manifest;
    for (std::size_t copy = 0; copy < kFanOut; ++copy) send(other(), manifest);
  }

  void request_from_origin(std::size_t index) {
    ++origin_requests_;
    const std::uint64_t stated = agents_[index].confirmation.next_version();
    origin_free_at_ = std::max(origin_free_at_, now_ + kOriginDelay) + kManifestTime;
    at(origin_free_at_ + kOriginDelay, [this, index, stated] { on_answer(index, answer(stated)); });
  }

  std::optional<WeightManifest> answer(std::uint64_t stated) {
    if (stated > kNamed) return std::nullopt;
    WeightManifest manifest = right_manifest(stated == 0 ? kNamed : stated);
    if (std::uniform_real_distribution<>(0, 1)(random_) >= corrupt_share_) return manifest;
    if (random_() % 2 == 0) manifest.version ^= 1U << (random_() % 8);
    manifest.hashes[random_() % 4][random_() % sizeof(Sha256)] ^= 1U;
    return manifest;
  }

  void on_answer(std::size_t index, const std::optional<WeightManifest>& manifest) {
    Agent& agent = agents_[index];
    if (agent.manifest) return;
    if (!manifest) {
      agent.confirmation.on_failed();
      agent.schedule.on_failed(now_);
      return;
    }
    switch (agent.confirmation.on_answer(*manifest)) {
      case ManifestConfirmation::Verdict::confirmed:
        accept(index, *manifest);
        return;
      case ManifestConfirmation::Verdict::unconfirmed:
        request_from_origin(index);
        return;
      case ManifestConfirmation::Verdict::contradicted:
        agent.schedule.on_failed(now_);
        return;
    }
  }

  std::vector<Agent> agents_;
  double corrupt_share_;
  std::minstd_rand random_;
  TimePoint now_{seconds(1000)};
  TimePoint origin_free_at_{};
  std::multimap<TimePoint, std::function<void()>> events_;
  std::size_t origin_requests_ = 0;
};

}  // namespace

/// Guards against a corrupt manifest that one agent takes and forwards to all others, and against
/// confirmations that occupy the origin's narrow link.
class ManifestFleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ManifestFleetTest);
  CPPUNIT_TEST(whole_answers_cost_two_requests_of_each_of_the_first_agents);
  CPPUNIT_TEST(corrupt_answers_reach_no_agent);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint32_t kSeeds = 20;

  static std::size_t requests(std::size_t agents, std::uint64_t version, double corrupt_share,
                              std::uint32_t seed) {
    ManifestFleet fleet(agents, version, corrupt_share, seed);
    fleet.run(seconds(5));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("agents with the right manifest, seed " + std::to_string(seed),
                                 agents, fleet.right());
    return fleet.origin_requests();
  }

  static std::size_t most_requests(std::size_t agents, double corrupt_share) {
    std::size_t most = 0;
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
      for (const std::uint64_t version : {std::uint64_t{0}, kNamed}) {
        most = std::max(most, requests(agents, version, corrupt_share, seed));
      }
    }
    return most;
  }

 public:
  void whole_answers_cost_two_requests_of_each_of_the_first_agents() {
    for (const std::size_t agents : {2U, 12U, 300U}) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{4}, most_requests(agents, 0));
    }
  }

  void corrupt_answers_reach_no_agent() {
    constexpr double kCorruptShare = 0.2;
    constexpr std::size_t kMaximumRequests = 24;
    for (const std::size_t agents : {2U, 12U, 300U}) {
      const std::size_t most = most_requests(agents, kCorruptShare);
      CPPUNIT_ASSERT_MESSAGE("origin requests: " + std::to_string(most), most <= kMaximumRequests);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ManifestFleetTest);

}  // namespace pumicemast
