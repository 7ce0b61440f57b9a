#include "adapters/weight_store_client.h"

#include <cstdlib>

namespace pumicemast {
namespace {

constexpr unsigned kOk = 200;
/// Long, because the origin limits its rate: a request queued there has not failed.
constexpr Duration kTimeout = seconds(120);
constexpr Duration kDefaultRetryAfter = seconds(1);

}  // namespace

WeightStoreClient::WeightStoreClient(std::string base_url)
    : base_url_(std::move(base_url)), client_(kTimeout) {}

HttpCallPointer WeightStoreClient::read(const std::string& path,
                                        std::function<void(const WeightReadResult&)> on_done) {
  HttpRequest request;
  request.url = base_url_ + path;
  return client_.fetch(request, [on_done](const HttpResponse& response) {
    WeightReadResult result;
    result.found = response.status == kOk;
    result.retry_after = kDefaultRetryAfter;
    const auto hint = response.headers.find("retry-after");
    if (hint != response.headers.end()) {
      result.retry_after = seconds(std::strtol(hint->second.c_str(), nullptr, 10));
    }
    if (result.found) result.bytes = response.body;
    on_done(result);
  });
}

HttpCallPointer WeightStoreClient::write(const std::string& path, const std::string& body,
                                         std::function<void(bool)> on_done) {
  HttpRequest request;
  request.method = "PUT";
  request.url = base_url_ + path;
  request.content_type = "application/octet-stream";
  request.body = body;
  return client_.fetch(
      request, [on_done](const HttpResponse& response) { on_done(response.status == kOk); });
}

HttpCallPointer WeightStoreClient::read_manifest(
    const std::string& digest, std::function<void(const WeightReadResult&)> on_done) {
  return read("/weights/manifest?digest=" + digest, std::move(on_done));
}

HttpCallPointer WeightStoreClient::read_chunk(
    const std::string& hash, std::function<void(const WeightReadResult&)> on_done) {
  return read("/weights/chunk?hash=" + hash, std::move(on_done));
}

HttpCallPointer WeightStoreClient::write_manifest(const std::string& digest,
                                                  const std::string& json,
                                                  std::function<void(bool)> on_done) {
  return write("/weights/manifest?digest=" + digest, json, std::move(on_done));
}

HttpCallPointer WeightStoreClient::write_chunk(const std::string& hash, const std::string& bytes,
                                               std::function<void(bool)> on_done) {
  return write("/weights/chunk?hash=" + hash, bytes, std::move(on_done));
}

}  // namespace pumicemast
