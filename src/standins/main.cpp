/// pumicemast-standin: simulates one external system, chosen by `[standin] role`.
#include <iostream>

#include "common/command_line.h"
#include "common/event_loop.h"
#include "standins/standin.h"

namespace {

using namespace pumicemast;

std::unique_ptr<standins::StandIn> make(const std::string& role, Settings& settings) {
  if (role == "object_api") return standins::make_object_api(settings);
  if (role == "origin") return standins::make_origin(settings);
  if (role == "engine") return standins::make_engine(settings);
  return standins::make_plain_service(settings);
}

}  // namespace

int main(int argc, char** argv) {
  Findings findings;
  const DaemonStart start =
      start_daemon(argc, argv,
                   {"pumicemast-standin", "simulates an external system in tests and demos",
                    "pumicemast-standin --settings engine.ini --set standin.listen=127.0.0.1:9000"},
                   findings);
  if (start.should_exit()) return start.exit_code;
  Settings& settings = *start.settings;
  const Address address = settings.required_address("standin", "listen");
  const std::string role =
      settings.choice("standin", "role", {"object_api", "origin", "engine", "service"});
  const auto standin = make(role, settings);
  settings.report_unknown();
  if (refuse_if_any(findings) != kExitOk) return kExitUsage;

  EventLoop loop;
  return handle_error(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(server, HttpServer::listen(address, [&](HttpExchangePointer exchange) {
                          standin->handle(exchange);
                        }));
        loop.on_terminate([&] { loop.quit(); });
        loop.run();
        return kExitOk;
      },
      [](const Error& error) {
        std::cerr << "pumicemast-standin: " << error.place << ": " << error.reason << "\n";
        return kExitFailure;
      });
}
