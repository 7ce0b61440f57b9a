/// Stand-in for a plain service next to the engines, some of whose calls must not be
/// repeated. It records every execution, so that a test can count them.
#include "common/event_loop.h"
#include "standins/standin.h"

namespace pumicemast::standins {
namespace {

using nlohmann::json;

class PlainService : public StandIn {
 public:
  explicit PlainService(Settings& settings)
      : name_(settings.string_or("service", "name", "service")),
        work_time_(settings.milliseconds_or("service", "work_ms", 20, {0, 600000})) {}

  void handle(const HttpExchangePointer& exchange) override {
    if (exchange->path() == "/executions") {
      return respond_json(exchange, 200, {{"executions", executions_}});
    }
    if (exchange->path() == "/control") {
      // POST /control?drop_answers=N: the next N calls run, but their connections are aborted.
      drop_answers_ = query_integer(exchange, "drop_answers", 0);
      return respond_json(exchange, 200, json::object());
    }
    const std::string request_id = exchange->header("X-Request-Id");
    executions_.push_back(
        {{"request_id", request_id}, {"path", exchange->path()}, {"body", exchange->body()}});
    auto* pending = new Pending{this, exchange};
    g_timeout_add(
        static_cast<guint>(to_milliseconds(work_time_)),
        [](gpointer data) -> gboolean {
          std::unique_ptr<Pending> call(static_cast<Pending*>(data));
          call->service->answer(call->exchange);
          return G_SOURCE_REMOVE;
        },
        pending);
  }

 private:
  struct Pending {
    PlainService* service;
    HttpExchangePointer exchange;
  };

  void answer(const HttpExchangePointer& exchange) {
    if (drop_answers_ > 0) {
      --drop_answers_;
      return exchange->abort();
    }
    respond_json(exchange, 200,
                 {{"service", name_},
                  {"path", exchange->path()},
                  {"request_id", exchange->header("X-Request-Id")},
                  {"body", exchange->body()}});
  }

  std::string name_;
  Duration work_time_;
  std::int64_t drop_answers_ = 0;
  json executions_ = json::array();
};

}  // namespace

std::unique_ptr<StandIn> make_plain_service(Settings& settings) {
  return std::make_unique<PlainService>(settings);
}

}  // namespace pumicemast::standins
