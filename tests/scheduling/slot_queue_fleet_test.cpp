#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <queue>
#include <random>
#include <sstream>

#include "scheduling/slot_queue.h"

namespace pumicemast {
namespace {

constexpr std::size_t kEngines = 6;
constexpr std::uint32_t kSlots = 12;
constexpr std::size_t kCopies = 3;
constexpr std::uint64_t kTenants = 24;
constexpr std::uint64_t kNoTenant = kTenants;
constexpr std::uint32_t kSeed = 1;
constexpr Duration kPoll = milliseconds(20);
constexpr Duration kServiceTime = milliseconds(1440);  ///< 12 slots, one end every 120 ms.
constexpr Duration kPlayTime = seconds(120);
constexpr Duration kWarmUp = seconds(10);
constexpr double kCapacity = kEngines * 1000.0 / 120;  ///< Requests per second.

struct Level {
  double part = 0;      ///< Of all requests.
  Duration useful_for;  ///< Less than the latency goal by the time to the first token.
};
/// The routes of the deployment: 207, 114 and 164 requests/s.
const std::array<Level, 3> kLevels = {
    {{0.427, milliseconds(250)}, {0.235, milliseconds(250)}, {0.338, milliseconds(700)}}};

struct Count {
  double asked = 0;
  double served = 0;
  double part() const { return asked == 0 ? 1 : served / asked; }
};

struct Play {
  double load = 1;
  std::uint64_t tripling = kNoTenant;  ///< Asks for three times as much.
  double least_urgent = 1;             ///< Factor for the requests of level 2.
  bool ordered = true;                 ///< By level and tenant, rather than by arrival alone.
  auto operator<=>(const Play&) const = default;
};

struct Result {
  Count all;
  std::array<Count, kLevels.size()> levels;
  std::array<Count, kTenants> tenants;
  std::map<std::pair<int, std::uint64_t>, Count> cells;  ///< By level and tenant.
  double idle = 0;  ///< Part of the slot time that is idle while a request waits at the engine.
};

/// Requests of all levels and tenants that each wait at three of the engines' queues, in steps of
/// the agents' load polls. The gateway side is reduced to using the first grant.
class Fleet {
 public:
  explicit Fleet(const Play& play) : play_(play), random_(kSeed) {
    for (std::size_t engine = 0; engine < kEngines; ++engine)
      queues_.emplace_back(SlotQueue::Options{});
  }

  Result run() {
    for (; now_ < TimePoint(kPlayTime); now_ += kPoll) {
      arrive();
      for (std::size_t engine = 0; engine < kEngines; ++engine) step(engine);
    }
    result_.idle = idle_ / (waited_ == 0 ? 1 : waited_);
    return result_;
  }

 private:
  struct Open {
    int level = 0;
    std::uint64_t tenant = 0;
    std::array<std::size_t, kCopies> engines{};
    std::size_t answers = 0;
    bool counted = false;
  };

  /// The largest tenant has a third of the callers.
  std::uint64_t draw_tenant() {
    std::vector<double> weights(kTenants, 2.0 / 3 / (kTenants - 1));
    weights[0] = 1.0 / 3;
    if (play_.tripling != kNoTenant) weights[play_.tripling] *= 3;
    return std::discrete_distribution<std::uint64_t>(weights.begin(), weights.end())(random_);
  }

  double demand() const {
    const double tenant = play_.tripling == 0           ? 1 + 2.0 / 3
                          : play_.tripling != kNoTenant ? 1 + 2 * 2.0 / 3 / (kTenants - 1)
                                                        : 1;
    return play_.load * kCapacity * tenant * (1 + kLevels[2].part * (play_.least_urgent - 1));
  }

  void arrive() {
    // Without random numbers of arrivals, plays of the same load can be compared.
    arrivals_due_ += demand() * to_seconds(kPoll);
    for (; arrivals_due_ >= 1; --arrivals_due_) {
      Open open;
      open.level = std::discrete_distribution<int>(
          {kLevels[0].part, kLevels[1].part, kLevels[2].part * play_.least_urgent})(random_);
      open.tenant = draw_tenant();
      open.counted = now_ >= TimePoint(kWarmUp);
      queue_at_engines(open);
    }
  }

  void queue_at_engines(Open& open) {
    const std::uint64_t number = ++numbers_;
    const std::size_t first = random_() % kEngines;
    SlotRequest request;
    request.number = number;
    if (play_.ordered) request.priority = open.level;
    if (play_.ordered) request.tenant = open.tenant + 1;
    request.prompt_tokens = 100;
    request.copies = kCopies;
    request.useful_for = kLevels[static_cast<std::size_t>(open.level)].useful_for;
    for (std::size_t copy = 0; copy < kCopies; ++copy) {
      open.engines[copy] = (first + copy * (1 + number % 2)) % kEngines;
      queues_[open.engines[copy]].add(1, request, now_);
    }
    if (open.counted) {
      ++result_.all.asked;
      ++result_.levels[static_cast<std::size_t>(open.level)].asked;
      ++result_.tenants[open.tenant].asked;
      ++result_.cells[{open.level, open.tenant}].asked;
    }
    open_[number] = open;
  }

  void step(std::size_t engine) {
    auto& ends = ends_[engine];
    const std::size_t idle = kSlots > ends.size() ? kSlots - ends.size() : 0;
    if (queues_[engine].waiting() > 0 && now_ >= TimePoint(kWarmUp)) {
      waited_ += kSlots;
      idle_ += static_cast<double>(idle);
    }
    while (!ends.empty() && ends.top() <= now_) ends.pop();
    SlotCapacity capacity;
    capacity.available = true;
    capacity.slots = kSlots;
    capacity.occupied = static_cast<std::uint32_t>(ends.size());
    capacity.read_at = now_;
    const auto replies = queues_[engine].decide(capacity, now_);
    if (replies.empty()) return;
    for (const std::uint64_t number : replies.at(1).granted) use(number, engine);
    for (const SlotDenial& denial : replies.at(1).denied) on_denied(denial.number);
  }

  void use(std::uint64_t number, std::size_t engine) {
    const Open open = open_.at(number);
    for (const std::size_t other : open.engines) {
      if (other != engine) queues_[other].withdraw(1, number);
    }
    open_.erase(number);
    // With a slot of the engine's own queue, it begins when the first request ends.
    auto& ends = ends_[engine];
    const TimePoint start = ends.size() < kSlots ? now_ : ends.top();
    std::uniform_int_distribution<Duration::rep> spread(kServiceTime.count() / 2,
                                                        kServiceTime.count() * 3 / 2);
    ends.push(start + Duration(spread(random_)));
    if (!open.counted) return;
    ++result_.all.served;
    ++result_.levels[static_cast<std::size_t>(open.level)].served;
    ++result_.tenants[open.tenant].served;
    ++result_.cells[{open.level, open.tenant}].served;
  }

  void on_denied(std::uint64_t number) {
    const auto found = open_.find(number);
    if (found != open_.end() && ++found->second.answers == kCopies) open_.erase(found);
  }

  using Ends = std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>>;
  Play play_;
  std::mt19937 random_;
  TimePoint now_{};
  double arrivals_due_ = 0;
  std::vector<SlotQueue> queues_;
  std::array<Ends, kEngines> ends_;
  std::map<std::uint64_t, Open> open_;
  std::uint64_t numbers_ = 0;
  Result result_;
  double idle_ = 0;
  double waited_ = 0;
};

}  // namespace

/// Checks the page's requirements on levels and tenants on a few engines in one process.
class SlotQueueFleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlotQueueFleetTest);
  CPPUNIT_TEST(the_most_urgent_level_is_served_most);
  CPPUNIT_TEST(tripling_the_least_urgent_level_takes_nothing_from_the_most_urgent);
  CPPUNIT_TEST(no_level_or_tenant_is_served_less_than_a_quarter_as_often);
  CPPUNIT_TEST(nobody_is_worse_off_below_the_capacity);
  CPPUNIT_TEST(a_tenant_that_triples_takes_nothing_from_the_others);
  CPPUNIT_TEST(slots_are_not_idle_while_requests_wait);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint64_t kLargest = 0;
  static constexpr std::uint64_t kSmall = 5;
  /// Three standard deviations of the difference of two parts.
  static double noise(const Count& one, const Count& other) {
    const auto variance = [](const Count& count) {
      return std::max(0.01, count.part() * (1 - count.part())) / std::max(1.0, count.asked);
    };
    return 3 * std::sqrt(variance(one) + variance(other));
  }

  static std::string describe(const char* what, const Play& play, double got, double least) {
    std::ostringstream text;
    text << what << " at load " << play.load << ", tripling tenant " << play.tripling
         << ", level 2 times " << play.least_urgent << ": " << got << " < " << least;
    return text.str();
  }

  static void assert_not_less(const char* what, const Play& play, const Count& now,
                              const Count& before) {
    const double least = before.part() - noise(now, before);
    CPPUNIT_ASSERT_MESSAGE(describe(what, play, now.part(), least), now.part() >= least);
  }

  /// The result of the play, which is played once.
  static const Result& played(const Play& play) {
    static std::map<Play, Result> results;
    const auto [entry, added] = results.try_emplace(play);
    if (added) entry->second = Fleet(play).run();
    return entry->second;
  }

  static std::vector<Play> plays_above_the_capacity() {
    std::vector<Play> plays;
    for (const double load : {1.3, 2.0}) {
      for (const std::uint64_t tripling : {kNoTenant, kLargest, kSmall}) {
        plays.push_back({load, tripling, 1});
        plays.push_back({load, tripling, 3});
      }
    }
    return plays;
  }

  /// Of the tenants that use no more than an equal share, but `excluded`, at the level. What the
  /// largest one uses beyond its share is lent to it, and may be taken back.
  static Count others(const Result& result, std::uint64_t excluded, int level) {
    Count sum;
    for (const auto& [key, count] : result.cells) {
      if (key.second == excluded || key.second == kLargest || key.first != level) continue;
      sum.asked += count.asked;
      sum.served += count.served;
    }
    return sum;
  }

 public:
  void the_most_urgent_level_is_served_most() {
    for (const Play& play : plays_above_the_capacity()) {
      const Result& result = played(play);
      for (const Count& level : result.levels) {
        assert_not_less("level 0", play, result.levels[0], level);
      }
    }
  }

  void tripling_the_least_urgent_level_takes_nothing_from_the_most_urgent() {
    for (const double load : {0.8, 1.3, 2.0}) {
      const Play tripled{load, kNoTenant, 3};
      assert_not_less("level 0", tripled, played(tripled).levels[0], played({load}).levels[0]);
    }
  }

  void no_level_or_tenant_is_served_less_than_a_quarter_as_often() {
    for (const Play& play : plays_above_the_capacity()) {
      const Result& result = played(play);
      const double least = result.all.part() / 4;
      for (const Count& level : result.levels) {
        CPPUNIT_ASSERT_MESSAGE(describe("a level", play, level.part(), least),
                               level.part() >= least);
      }
      for (const Count& tenant : result.tenants) {
        CPPUNIT_ASSERT_MESSAGE(describe("a tenant", play, tenant.part(), least),
                               tenant.part() >= least);
      }
    }
  }

  void nobody_is_worse_off_below_the_capacity() {
    Play by_arrival{0.8};
    by_arrival.ordered = false;
    const Result& before = played(by_arrival);
    const Result& after = played({0.8});
    for (std::size_t level = 0; level < kLevels.size(); ++level) {
      assert_not_less("a level", by_arrival, after.levels[level], before.levels[level]);
    }
    for (std::uint64_t tenant = 0; tenant < kTenants; ++tenant) {
      assert_not_less("a tenant", by_arrival, after.tenants[tenant], before.tenants[tenant]);
    }
  }

  // At the most urgent level: which requests of other levels remain follows from the priorities.
  void a_tenant_that_triples_takes_nothing_from_the_others() {
    for (const double load : {0.8, 1.3, 2.0}) {
      const Play tripled{load, kSmall};
      assert_not_less("other tenants", tripled, others(played(tripled), kSmall, 0),
                      others(played({load}), kSmall, 0));
    }
  }

  void slots_are_not_idle_while_requests_wait() {
    for (const Play& play : plays_above_the_capacity()) {
      const double idle = played(play).idle;
      CPPUNIT_ASSERT_MESSAGE(describe("idle", play, 0.01, idle), idle < 0.01);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotQueueFleetTest);

}  // namespace pumicemast
