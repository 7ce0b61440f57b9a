/// Stand-in for the platform's object API: versions, conditional updates, watches, rate
/// limits, outages, and writes that take effect although their response is lost.
#include <algorithm>
#include <deque>
#include <list>
#include <random>

#include "common/event_loop.h"
#include "limits/token_bucket.h"
#include "standins/standin.h"

namespace pumicemast::standins {
namespace {

using nlohmann::json;

/// Number of events kept for watches that lag behind; watches from before them get status 410.
constexpr std::size_t kHistoryLimit = 20000;
constexpr std::size_t kMaximumValueBytes = 1U << 20U;

struct StoredValue {
  std::uint64_t version = 0;
  json value;
};

struct Event {
  std::uint64_t revision = 0;
  std::string kind;
  json document;
};

struct WaitingWatch {
  HttpExchangePointer exchange;
  std::string kinds;
  std::uint64_t after = 0;
  TimePoint deadline;
};

/// Whether the comma-separated `kinds` contain `kind`; none means all.
bool kinds_contain(const std::string& kinds, const std::string& kind) {
  return kinds.empty() || ("," + kinds + ",").find("," + kind + ",") != std::string::npos;
}

class ObjectApi : public StandIn {
 public:
  explicit ObjectApi(Settings& settings)
      : reads_(settings.number_or("object_api", "reads_per_second", 2000, 1, 1e6), 0),
        writes_(settings.number_or("object_api", "writes_per_second", 300, 1, 1e6), 0),
        latency_(settings.milliseconds_or("object_api", "latency_ms", 2, {0, 10000})),
        machine_list_lag_(
            settings.milliseconds_or("object_api", "machine_list_lag_ms", 2000, {0, 600000})) {
    const double reads = settings.number_or("object_api", "reads_per_second", 2000, 1, 1e6);
    const double writes = settings.number_or("object_api", "writes_per_second", 300, 1, 1e6);
    reads_ = TokenBucket(reads, reads);
    writes_ = TokenBucket(writes, writes);
    expiry_.start_repeating(milliseconds(100), [this] { expire_watches(); });
  }

  void handle(const HttpExchangePointer& exchange) override {
    if (exchange->path() == "/control") {
      control(exchange);
      return;
    }
    if (exchange->path() == "/stats") {
      respond_json(exchange, 200,
                   {{"reads", read_count_}, {"writes", write_count_}, {"refused", refused_}});
      return;
    }
    if (latency_ == Duration::zero()) {
      serve(exchange);
      return;
    }
    auto* delayed = new Delayed{this, exchange};
    g_timeout_add(
        static_cast<guint>(to_milliseconds(latency_)),
        [](gpointer data) -> gboolean {
          std::unique_ptr<Delayed> call(static_cast<Delayed*>(data));
          call->api->serve(call->exchange);
          return G_SOURCE_REMOVE;
        },
        delayed);
  }

 private:
  struct Delayed {
    ObjectApi* api;
    HttpExchangePointer exchange;
  };

  void serve(const HttpExchangePointer& exchange) {
    const TimePoint now = loop_now();
    if (now < outage_until_) {
      if (outage_silent_) return exchange->abort();
      return respond_json(exchange, 503, {{"error", "outage"}});
    }
    const bool is_write = exchange->method() != "GET";
    (is_write ? write_count_ : read_count_) += 1;
    TokenBucket& bucket = is_write ? writes_ : reads_;
    if (!bucket.try_take(1, now)) {
      ++refused_;
      return respond_json(exchange, 429, {{"error", "rate"}}, {{"Retry-After", "1"}});
    }
    const std::string path = exchange->path();
    if (path == "/v1/object" && !is_write) return read(exchange);
    if (path == "/v1/object") return write(exchange);
    if (path == "/v1/objects") return list(exchange);
    if (path == "/v1/watch") return watch(exchange);
    if (path == "/v1/machines") return list_machines(exchange);
    respond_json(exchange, 404, {{"error", "no such path"}});
  }

  static json describe(const std::pair<std::string, std::string>& key, const StoredValue& stored) {
    return {{"kind", key.first},
            {"name", key.second},
            {"version", stored.version},
            {"value", stored.value}};
  }

  void read(const HttpExchangePointer& exchange) {
    const auto found = objects_.find({exchange->query("kind"), exchange->query("name")});
    if (found == objects_.end()) return respond_json(exchange, 404, {{"error", "not found"}});
    respond_json(exchange, 200, describe(found->first, found->second));
  }

  void list(const HttpExchangePointer& exchange) {
    const std::string kinds = exchange->query("kinds");
    json objects = json::array();
    for (const auto& [key, stored] : objects_) {
      if (kinds_contain(kinds, key.first)) objects.push_back(describe(key, stored));
    }
    respond_json(exchange, 200, {{"revision", revision_}, {"objects", objects}});
  }

  void write(const HttpExchangePointer& exchange) {
    const std::pair key{exchange->query("kind"), exchange->query("name")};
    const auto expected = static_cast<std::uint64_t>(query_integer(exchange, "expected", 0));
    const auto found = objects_.find(key);
    const std::uint64_t current = found == objects_.end() ? 0 : found->second.version;
    if (current != expected) {
      return respond_json(exchange, 409, {{"error", "conflict"}, {"version", current}});
    }
    const std::string body = exchange->body();
    if (body.size() > kMaximumValueBytes) {
      return respond_json(exchange, 413, {{"error", "value over a megabyte"}});
    }
    json document = {{"kind", key.first}, {"name", key.second}, {"version", revision_ + 1}};
    if (exchange->method() == "DELETE") {
      if (found == objects_.end()) return respond_json(exchange, 404, {{"error", "not found"}});
      objects_.erase(found);
      document["deleted"] = true;
    } else {
      json value = json::parse(body, nullptr, false);
      if (value.is_discarded()) return respond_json(exchange, 400, {{"error", "not JSON"}});
      document["value"] = value;
      objects_[key] = {revision_ + 1, std::move(value)};
    }
    ++revision_;
    history_.push_back({revision_, key.first, std::move(document)});
    if (history_.size() > kHistoryLimit) history_.pop_front();
    notify_watches();
    if (lost_answer_fraction_ > 0 && uniform_(random_) < lost_answer_fraction_) {
      return exchange->abort();
    }
    respond_json(exchange, 200, {{"version", revision_}});
  }

  void watch(const HttpExchangePointer& exchange) {
    const auto after = static_cast<std::uint64_t>(query_integer(exchange, "after", 0));
    const std::int64_t wait_ms = query_integer(exchange, "wait_ms", 0);
    const bool compacted = !history_.empty() && after + 1 < history_.front().revision;
    if (compacted || after > revision_) {
      return respond_json(exchange, 410, {{"error", "revision is too old"}});
    }
    WaitingWatch waiting{exchange, exchange->query("kinds"), after,
                         loop_now() + milliseconds(wait_ms)};
    if (!respond_to_watch(waiting, wait_ms == 0)) watches_.push_back(waiting);
  }

  /// Responds when there are events, or in any case when `respond_if_empty`.
  bool respond_to_watch(const WaitingWatch& waiting, bool respond_if_empty) {
    json events = json::array();
    const auto first = std::upper_bound(
        history_.begin(), history_.end(), waiting.after,
        [](std::uint64_t after, const Event& event) { return after < event.revision; });
    for (auto event = first; event != history_.end(); ++event) {
      if (kinds_contain(waiting.kinds, event->kind)) events.push_back(event->document);
    }
    if (events.empty() && !respond_if_empty) return false;
    respond_json(waiting.exchange, 200, {{"revision", revision_}, {"events", events}});
    return true;
  }

  void notify_watches() {
    watches_.remove_if(
        [this](const WaitingWatch& waiting) { return respond_to_watch(waiting, false); });
  }

  void expire_watches() {
    const TimePoint now = loop_now();
    const bool outage = now < outage_until_;
    watches_.remove_if([&](const WaitingWatch& waiting) {
      if (!waiting.exchange->connected()) return true;
      if (outage) {
        waiting.exchange->abort();
        return true;
      }
      return now >= waiting.deadline && respond_to_watch(waiting, true);
    });
  }

  void list_machines(const HttpExchangePointer& exchange) {
    const TimePoint now = loop_now();
    json machines = json::array();
    for (const auto& [name, change] : machine_changes_) {
      // A change becomes visible only after the list's lag.
      if (now < change.at + machine_list_lag_) continue;
      machines.push_back({{"name", name}, {"state", change.state}});
    }
    respond_json(exchange, 200, {{"machines", machines}});
  }

  /// POST /control?outage_ms=N&silent=1&lost_answers=F&latency_ms=N&machine=NAME&state=leaving
  void control(const HttpExchangePointer& exchange) {
    const std::int64_t outage_ms = query_integer(exchange, "outage_ms", -1);
    if (outage_ms >= 0) {
      outage_until_ = loop_now() + milliseconds(outage_ms);
      outage_silent_ = query_integer(exchange, "silent", 0) != 0;
      expire_watches();
    }
    const std::string lost = exchange->query("lost_answers");
    if (!lost.empty()) lost_answer_fraction_ = std::strtod(lost.c_str(), nullptr);
    const std::int64_t latency_ms = query_integer(exchange, "latency_ms", -1);
    if (latency_ms >= 0) latency_ = milliseconds(latency_ms);
    const std::string machine = exchange->query("machine");
    if (!machine.empty()) machine_changes_[machine] = {exchange->query("state"), loop_now()};
    respond_json(exchange, 200, json::object());
  }

  struct MachineChange {
    std::string state;
    TimePoint at;
  };

  std::map<std::pair<std::string, std::string>, StoredValue> objects_;
  std::uint64_t revision_ = 0;
  std::deque<Event> history_;
  std::list<WaitingWatch> watches_;
  std::map<std::string, MachineChange> machine_changes_;
  TokenBucket reads_;
  TokenBucket writes_;
  Duration latency_;
  Duration machine_list_lag_;
  TimePoint outage_until_{};
  bool outage_silent_ = false;
  double lost_answer_fraction_ = 0;
  std::mt19937_64 random_{1};
  std::uniform_real_distribution<double> uniform_{0, 1};
  std::uint64_t read_count_ = 0;
  std::uint64_t write_count_ = 0;
  std::uint64_t refused_ = 0;
  Timer expiry_;
};

}  // namespace

std::unique_ptr<StandIn> make_object_api(Settings& settings) {
  return std::make_unique<ObjectApi>(settings);
}

}  // namespace pumicemast::standins
