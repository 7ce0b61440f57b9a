#include "adapters/engine_client.h"

#include <nlohmann/json.hpp>

#include "adapters/url.h"

namespace pumicemast {
namespace {

using nlohmann::json;

constexpr unsigned kOk = 200;
constexpr unsigned kConflict = 409;
constexpr Duration kControlTimeout = seconds(30);
/// Longest time between two tokens before a request counts as failed.
constexpr Duration kRequestTimeout = seconds(120);

EngineState parse_state(const std::string& body) {
  EngineState state;
  const json document = json::parse(body, nullptr, false);
  try {
    state.incarnation = document.at("incarnation").get<std::string>();
    state.memory_bytes = document.at("memory_bytes").get<std::uint64_t>();
    state.in_flight = document.at("in_flight").get<std::uint32_t>();
    for (const auto& [model, serving] : document.at("serving").items()) {
      state.serving[model] = {serving.at("version").get<std::string>(),
                              serving.at("digest").get<std::string>()};
    }
    for (const auto& [digest, held] : document.at("held").items()) {
      const auto bitmap = held.at("bitmap").get<std::vector<std::uint8_t>>();
      state.held[digest] = ChunkSet::from_bytes(held.at("chunk_count").get<ChunkIndex>(),
                                                bitmap.data(), bitmap.size());
    }
    state.answered = true;
  } catch (const json::exception&) {
    return {};
  }
  return state;
}

std::string chunk_path(const std::string& digest, ChunkIndex chunk) {
  return "/admin/chunk?digest=" + digest + "&chunk=" + std::to_string(chunk);
}

}  // namespace

EngineClient::EngineClient(std::string base_url)
    : base_url_(std::move(base_url)), control_(kControlTimeout), requests_(kRequestTimeout) {}

void EngineClient::call(const HttpRequest& request,
                        std::function<void(const HttpResponse&)> on_done) {
  control_.fetch_owned(request, std::move(on_done));
}

void EngineClient::order(const std::string& method, const std::string& path,
                         const std::string& body,
                         std::function<void(const EngineResult&)> on_done) {
  HttpRequest request;
  request.method = method;
  request.url = base_url_ + path;
  if (!body.empty()) request.content_type = "application/octet-stream";
  request.body = body;
  call(request, [on_done](const HttpResponse& response) {
    EngineResult result;
    result.done = response.status == kOk;
    result.fenced = response.status == kConflict;
    if (!result.done) result.reason = response.status == 0 ? response.failure : response.body;
    on_done(result);
  });
}

void EngineClient::read_state(std::function<void(const EngineState&)> on_done) {
  HttpRequest request;
  request.url = base_url_ + "/admin/state";
  call(request, [on_done](const HttpResponse& response) {
    on_done(response.status == kOk ? parse_state(response.body) : EngineState{});
  });
}

void EngineClient::write_manifest(const std::string& digest, const std::string& manifest,
                                  std::function<void(const EngineResult&)> on_done) {
  order("PUT", "/admin/manifest?digest=" + digest, manifest, std::move(on_done));
}

void EngineClient::write_chunk(const std::string& digest, ChunkIndex chunk,
                               const std::string& bytes,
                               std::function<void(const EngineResult&)> on_done) {
  order("PUT", chunk_path(digest, chunk), bytes, std::move(on_done));
}

void EngineClient::read_chunk(const std::string& digest, ChunkIndex chunk,
                              std::function<void(bool, const std::string&)> on_done) {
  HttpRequest request;
  request.url = base_url_ + chunk_path(digest, chunk);
  call(request,
       [on_done](const HttpResponse& response) { on_done(response.status == kOk, response.body); });
}

void EngineClient::activate(const std::string& model, const std::string& version,
                            const std::string& digest, std::uint64_t fence,
                            std::function<void(const EngineResult&)> on_done) {
  order("POST",
        "/admin/activate?model=" + url_escape(model) + "&version=" + url_escape(version) +
            "&digest=" + digest + "&fence=" + std::to_string(fence),
        "", std::move(on_done));
}

void EngineClient::drop(const std::string& digest, std::uint64_t fence,
                        std::function<void(const EngineResult&)> on_done) {
  order("POST", "/admin/drop?digest=" + digest + "&fence=" + std::to_string(fence), "",
        std::move(on_done));
}

HttpCallPointer EngineClient::run(const HttpRequest& request, HttpStreamCallbacks callbacks) {
  return requests_.stream(request, std::move(callbacks));
}

}  // namespace pumicemast
