#include "standins/standin.h"

#include <cstdlib>

namespace pumicemast::standins {

void respond_json(const HttpExchangePointer& exchange, unsigned status,
                  const nlohmann::json& document, const HttpHeaders& headers) {
  exchange->respond(status, "application/json", document.dump(), headers);
}

std::int64_t query_integer(const HttpExchangePointer& exchange, const std::string& name,
                           std::int64_t fallback) {
  const std::string text = exchange->query(name);
  return text.empty() ? fallback : std::strtoll(text.c_str(), nullptr, 10);
}

}  // namespace pumicemast::standins
