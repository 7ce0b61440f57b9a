/// What the stand-ins share. A stand-in plays an outside system in tests and demos through
/// that system's published protocol; none of its code runs in the product.
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

/// Each makes one stand-in from the INI section of its name.
std::unique_ptr<StandIn> make_object_api(Settings& settings);
std::unique_ptr<StandIn> make_origin(Settings& settings);
std::unique_ptr<StandIn> make_engine(Settings& settings);
std::unique_ptr<StandIn> make_plain_service(Settings& settings);

}  // namespace pumicemast::standins
