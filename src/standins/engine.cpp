/// Stand-in for a language-model engine: continuous batching, a bounded prefix cache,
/// priorities, cancellation, resumption, delayed load reports, delayed cache events with gaps, and
/// fenced orders. Its tokens identify the weights that generated them, so that a caller can detect
/// partial or mixed weights: `TAG:INDEX:PROMPT_HASH`.
#include <glib.h>

#include <deque>
#include <random>

#include "standins/engine_batcher.h"
#include "standins/engine_memory.h"
#include "standins/standin.h"

namespace pumicemast::standins {
namespace {

using nlohmann::json;

constexpr std::uint32_t kDefaultTokens = 16;
constexpr std::uint32_t kMaximumTokens = 100000;
constexpr std::size_t kPromptHashLength = 8;
constexpr std::size_t kCacheEventLimit = 1000;

/// One accepted completion request; writes its response.
class Completion : public std::enable_shared_from_this<Completion> {
 public:
  Completion(HttpExchangePointer exchange, const json& request, bool chat)
      : exchange_(std::move(exchange)),
        chat_(chat),
        stream_(request.value("stream", false)),
        model_(request.value("model", "")),
        id_((chat ? "chatcmpl-" : "cmpl-") + exchange_->header("X-Request-Id")) {
    resume_from_ = static_cast<std::uint32_t>(
        std::strtoul(exchange_->header("X-Resume-From-Event").c_str(), nullptr, 10));
    tokens_ = request.value("max_tokens", kDefaultTokens);
    tokens_ = std::clamp<std::uint32_t>(tokens_, 1, kMaximumTokens);
    prompt_ = chat ? request.value("messages", json::array()).dump()
                   : request.value("prompt", json("")).dump();
  }

  GenerationJob job(const std::string& tag, int priority) {
    GenerationJob job;
    job.tag = tag;
    job.prompt_hash = to_hex(sha256(prompt_)).substr(0, kPromptHashLength);
    job.tokens = tokens_;
    job.first_token = std::min(resume_from_, tokens_);
    job.priority = priority;
    auto self = shared_from_this();
    job.on_token = [self](std::uint32_t, const std::string& token) { self->on_token(token); };
    job.on_finished = [self] { self->on_finished(); };
    return job;
  }

  void begin() {
    if (stream_) exchange_->start_stream(200, "text/event-stream", {});
  }
  const HttpExchangePointer& exchange() const { return exchange_; }
  const std::string& model() const { return model_; }

 private:
  json envelope(const char* object) const {
    return {{"id", id_}, {"object", object}, {"created", 0}, {"model", model_}};
  }

  std::string event(const std::string& token, bool last) const {
    json document = envelope(chat_ ? "chat.completion.chunk" : "text_completion");
    json choice = {{"index", 0}, {"finish_reason", last ? json("length") : json(nullptr)}};
    if (chat_) {
      choice["delta"] = last ? json::object() : json{{"role", "assistant"}, {"content", token}};
    } else {
      choice["text"] = token;
    }
    document["choices"] = json::array({choice});
    return "data: " + document.dump() + "\n\n";
  }

  void on_token(const std::string& token) {
    if (stream_) {
      exchange_->write(event(token, false));
    } else {
      text_ += token;
    }
  }

  void on_finished() {
    if (stream_) {
      if (resume_from_ <= tokens_) exchange_->write(event("", true));
      exchange_->write("data: [DONE]\n\n");
      exchange_->finish();
      return;
    }
    json document = envelope(chat_ ? "chat.completion" : "text_completion");
    json choice = {{"index", 0}, {"finish_reason", "length"}};
    if (chat_) {
      choice["message"] = {{"role", "assistant"}, {"content", text_}};
    } else {
      choice["text"] = text_;
    }
    document["choices"] = json::array({choice});
    const auto prompt_tokens = prompt_.size() / 4 + 1;
    document["usage"] = {{"prompt_tokens", prompt_tokens},
                         {"completion_tokens", tokens_},
                         {"total_tokens", prompt_tokens + tokens_}};
    respond_json(exchange_, 200, document);
  }

  HttpExchangePointer exchange_;
  bool chat_;
  bool stream_;
  std::string model_;
  std::string id_;
  std::string prompt_;
  std::string text_;
  std::uint32_t tokens_ = kDefaultTokens;
  std::uint32_t resume_from_ = 0;
};

class Engine : public StandIn {
 public:
  explicit Engine(Settings& settings)
      : memory_(static_cast<std::uint64_t>(
                    settings.integer_or("engine", "memory_bytes", 1LL << 32U, {1, 1LL << 50U})),
                settings.boolean_or("engine", "checks_fence", true),
                settings.boolean_or("engine", "verifies", true)),
        batcher_(read_batcher_options(settings)),
        load_lag_(settings.milliseconds_or("engine", "load_report_lag_ms", 500, {1, 600000})),
        cache_event_gap_(settings.number_or("engine", "cache_event_gap", 0.1, 0, 1)) {
    gchar* uuid = g_uuid_string_random();
    incarnation_ = uuid;
    g_free(uuid);
    load_timer_.start_repeating(load_lag_, [this] { reported_load_ = batcher_.in_flight(); });
  }

  void handle(const HttpExchangePointer& exchange) override {
    const std::string path = exchange->path();
    if (path == "/v1/completions") return complete(exchange, false);
    if (path == "/v1/chat/completions") return complete(exchange, true);
    if (path == "/executions") return respond_json(exchange, 200, {{"executions", executions_}});
    if (path == "/admin/state") return describe(exchange);
    if (path == "/admin/load") return respond_json(exchange, 200, {{"in_flight", reported_load_}});
    if (path == "/admin/cache_events") return cache_events(exchange);
    if (path == "/admin/manifest") {
      return answer(exchange, memory_.open_version(exchange->query("digest"), exchange->body()));
    }
    if (path == "/admin/chunk") return chunk(exchange);
    if (path == "/admin/file") return file(exchange);
    const auto fence = static_cast<std::uint64_t>(query_integer(exchange, "fence", 0));
    if (path == "/admin/activate") {
      return answer(exchange, memory_.activate(exchange->query("model"), exchange->query("version"),
                                               exchange->query("digest"), fence));
    }
    if (path == "/admin/drop") {
      return answer(exchange, memory_.drop(exchange->query("digest"), fence));
    }
    respond_json(exchange, 404, {{"error", "no such path"}});
  }

 private:
  static BatcherOptions read_batcher_options(Settings& settings) {
    BatcherOptions options;
    options.step = settings.milliseconds_or("engine", "step_ms", 5, {1, 10000});
    options.batch_size =
        static_cast<std::uint32_t>(settings.integer_or("engine", "batch_size", 16, {1, 4096}));
    options.queue_limit =
        static_cast<std::uint32_t>(settings.integer_or("engine", "queue_limit", 64, {1, 100000}));
    options.prefix_cache_entries = static_cast<std::size_t>(
        settings.integer_or("engine", "prefix_cache_entries", 64, {1, 100000}));
    return options;
  }

  static void answer(const HttpExchangePointer& exchange, const ControlResponse& result) {
    exchange->respond(result.status, "text/plain", result.reason);
  }

  void describe(const HttpExchangePointer& exchange) {
    json document = memory_.describe();
    document["incarnation"] = incarnation_;
    document["in_flight"] = batcher_.in_flight();
    document["stale_orders"] = memory_.stale_orders();
    respond_json(exchange, 200, document);
  }

  void chunk(const HttpExchangePointer& exchange) {
    const std::string digest = exchange->query("digest");
    const auto index = static_cast<ChunkIndex>(query_integer(exchange, "chunk", 0));
    if (exchange->method() == "PUT") {
      return answer(exchange, memory_.write_chunk(digest, index, exchange->body()));
    }
    const std::string* bytes = memory_.read_chunk(digest, index);
    if (bytes == nullptr) return answer(exchange, {404, "not held"});
    exchange->respond(200, "application/octet-stream", *bytes);
  }

  void file(const HttpExchangePointer& exchange) {
    const auto content = memory_.read_file(exchange->query("digest"), exchange->query("path"));
    if (!content) return answer(exchange, {404, "not held"});
    exchange->respond(200, "application/octet-stream", *content);
  }

  /// Events are delayed by the load lag and have gaps, which a consumer detects by their numbers.
  void cache_events(const HttpExchangePointer& exchange) {
    const std::int64_t after = query_integer(exchange, "after", 0);
    json events = json::array();
    for (const CacheEvent& event : cache_events_) {
      const bool late = loop_now() < event.at + load_lag_;
      if (event.number > after && !late) {
        events.push_back({{"number", event.number}, {"prompt_hash", event.prompt_hash}});
      }
    }
    respond_json(exchange, 200, {{"events", events}});
  }

  void note_cache_event(const std::string& prompt_hash) {
    const std::int64_t number = next_cache_event_++;
    if (uniform_(random_) < cache_event_gap_) return;
    cache_events_.push_back({number, prompt_hash, loop_now()});
    if (cache_events_.size() > kCacheEventLimit) cache_events_.pop_front();
  }

  void complete(const HttpExchangePointer& exchange, bool chat) {
    const json request = json::parse(exchange->body(), nullptr, false);
    if (!request.is_object()) return respond_json(exchange, 400, {{"error", "not JSON"}});
    std::shared_ptr<Completion> completion;
    try {
      completion = std::make_shared<Completion>(exchange, request, chat);
    } catch (const json::exception& failure) {
      return respond_json(exchange, 400, {{"error", {{"message", failure.what()}}}});
    }
    const std::string tag = memory_.content_tag(completion->model());
    if (tag.empty()) return respond_json(exchange, 503, {{"error", "the model is not loaded"}});
    const auto priority =
        static_cast<int>(std::strtol(exchange->header("X-Priority").c_str(), nullptr, 10));
    GenerationJob job = completion->job(tag, priority);
    const std::string prompt_hash = job.prompt_hash;
    const std::uint64_t number = batcher_.submit(std::move(job));
    if (number == 0) return respond_json(exchange, 429, {{"error", "the queue is full"}});
    executions_.push_back({{"request_id", exchange->header("X-Request-Id")}, {"tag", tag}});
    note_cache_event(prompt_hash);
    exchange->on_disconnect([this, number] { batcher_.cancel(number); });
    completion->begin();
  }

  struct CacheEvent {
    std::int64_t number;
    std::string prompt_hash;
    TimePoint at;
  };

  std::string incarnation_;
  EngineMemory memory_;
  EngineBatcher batcher_;
  Duration load_lag_;
  double cache_event_gap_;
  std::uint32_t reported_load_ = 0;
  std::deque<CacheEvent> cache_events_;
  std::int64_t next_cache_event_ = 1;
  std::mt19937_64 random_{1};
  std::uniform_real_distribution<double> uniform_{0, 1};
  json executions_ = json::array();
  Timer load_timer_;
};

}  // namespace

std::unique_ptr<StandIn> make_engine(Settings& settings) {
  return std::make_unique<Engine>(settings);
}

}  // namespace pumicemast::standins
