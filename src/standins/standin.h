/// Common parts of the stand-ins. A stand-in simulates an external system in tests and demos
/// through that system's published protocol; none of its code runs in production.
#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "common/settings.h"
#include "http/http_server.h"

namespace pumicemast::standins {

/// A running stand-in; destroying it closes its listener.
class StandIn {
 public:
  virtual ~StandIn() = default;
  virtual void handle(const HttpExchangePointer& exchange) = 0;
};

void respond_json(const HttpExchangePointer& exchange, unsigned status,
                  const nlohmann::json& document, const HttpHeaders& headers = {});

/// Whole-number query parameter, or `fallback`.
std::int64_t query_integer(const HttpExchangePointer& exchange, const std::string& name,
                           std::int64_t fallback);

/// Each creates one stand-in from its section of the settings.
std::unique_ptr<StandIn> make_object_api(Settings& settings);
std::unique_ptr<StandIn> make_origin(Settings& settings);
std::unique_ptr<StandIn> make_engine(Settings& settings);
std::unique_ptr<StandIn> make_plain_service(Settings& settings);

}  // namespace pumicemast::standins
