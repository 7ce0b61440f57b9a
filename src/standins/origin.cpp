/// Stand-in for the origin of weights: a store whose link has a limited rate. Responses
/// are delayed, in order of arrival, so that all of them together never exceed it.
#include <algorithm>

#include "common/event_loop.h"
#include "standins/standin.h"
#include "weights/manifest.h"

namespace pumicemast::standins {
namespace {

class Origin : public StandIn {
 public:
  explicit Origin(Settings& settings)
      : bytes_per_second_(settings.number_or("origin", "bytes_per_second", 1e9, 1, 1e12)) {}

  void handle(const HttpExchangePointer& exchange) override {
    const std::string path = exchange->path();
    if (path == "/control") return control(exchange);
    if (path == "/stats") {
      return respond_json(exchange, 200,
                          {{"chunk_bytes_out", chunk_bytes_out_}, {"chunks_out", chunks_out_}});
    }
    if (loop_now() < outage_until_) {
      return respond_json(exchange, 503, {{"error", "outage"}}, {{"Retry-After", "1"}});
    }
    const bool is_manifest = path == "/weights/manifest";
    if (!is_manifest && path != "/weights/chunk") {
      return respond_json(exchange, 404, {{"error", "no such path"}});
    }
    const std::string key = exchange->query(is_manifest ? "digest" : "hash");
    auto& store = is_manifest ? manifests_ : chunks_;
    if (exchange->method() == "PUT") return put(exchange, is_manifest, key, store);
    const auto found = store.find(key);
    if (found == store.end()) return respond_json(exchange, 404, {{"error", "not found"}});
    if (is_manifest) return exchange->respond(200, "application/json", found->second);
    send_at_link_rate(exchange, found->second);
  }

 private:
  using Store = std::map<std::string, std::string>;

  static void put(const HttpExchangePointer& exchange, bool is_manifest, const std::string& key,
                  Store& store) {
    const std::string body = exchange->body();
    if (!is_manifest && to_hex(sha256(body)) != key) {
      return respond_json(exchange, 400, {{"error", "the bytes do not have this hash"}});
    }
    store[key] = body;
    respond_json(exchange, 200, nlohmann::json::object());
  }

  void send_at_link_rate(const HttpExchangePointer& exchange, const std::string& bytes) {
    const TimePoint now = loop_now();
    const double duration_s = static_cast<double>(bytes.size()) / bytes_per_second_;
    link_free_at_ = std::max(link_free_at_, now) +
                    Duration(static_cast<Duration::rep>(duration_s * Duration::period::den));
    auto* pending = new Pending{this, exchange, &bytes};
    g_timeout_add(
        static_cast<guint>(to_milliseconds(link_free_at_ - now)),
        [](gpointer data) -> gboolean {
          std::unique_ptr<Pending> answer(static_cast<Pending*>(data));
          if (answer->exchange->connected()) {
            answer->origin->chunk_bytes_out_ += answer->bytes->size();
            ++answer->origin->chunks_out_;
          }
          answer->exchange->respond(200, "application/octet-stream", *answer->bytes);
          return G_SOURCE_REMOVE;
        },
        pending);
  }

  /// POST /control?outage_ms=N&bytes_per_second=N
  void control(const HttpExchangePointer& exchange) {
    const std::int64_t outage_ms = query_integer(exchange, "outage_ms", -1);
    if (outage_ms >= 0) outage_until_ = loop_now() + milliseconds(outage_ms);
    const std::int64_t rate = query_integer(exchange, "bytes_per_second", 0);
    if (rate > 0) bytes_per_second_ = static_cast<double>(rate);
    respond_json(exchange, 200, nlohmann::json::object());
  }

  struct Pending {
    Origin* origin;
    HttpExchangePointer exchange;
    const std::string* bytes;  ///< Stays valid: map nodes do not move.
  };

  double bytes_per_second_;
  Store manifests_;
  Store chunks_;
  TimePoint link_free_at_{};
  TimePoint outage_until_{};
  std::uint64_t chunk_bytes_out_ = 0;
  std::uint64_t chunks_out_ = 0;
};

}  // namespace

std::unique_ptr<StandIn> make_origin(Settings& settings) {
  return std::make_unique<Origin>(settings);
}

}  // namespace pumicemast::standins
