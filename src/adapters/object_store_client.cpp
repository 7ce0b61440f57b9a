#include "adapters/object_store_client.h"

#include <glib.h>

#include "adapters/url.h"

namespace pumicemast {
namespace {

using nlohmann::json;

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kGone = 410;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kServiceUnavailable = 503;

std::string joined(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) text += (text.empty() ? "" : ",") + name;
  return text;
}

StoredObject parse_object(const json& value) {
  StoredObject object;
  object.kind = value.at("kind").get<std::string>();
  object.name = value.at("name").get<std::string>();
  object.version = value.at("version").get<ObjectVersion>();
  object.deleted = value.value("deleted", false);
  if (!object.deleted) object.value = value.at("value");
  return object;
}

std::vector<StoredObject> parse_objects(const json& values) {
  std::vector<StoredObject> objects;
  for (const json& value : values) objects.push_back(parse_object(value));
  return objects;
}

/// Runs `parse` on the response's JSON; a malformed response counts as none.
template <class Result, class Parse>
Result parsed(const HttpResponse& response, Parse parse) {
  Result result;
  const json document = json::parse(response.body, nullptr, false);
  try {
    parse(document, result);
  } catch (const json::exception&) {
    return Result{};
  }
  return result;
}

ObjectWriteResult write_result(const HttpResponse& response) {
  ObjectWriteResult result;
  result.reason = response.failure;
  switch (response.status) {
    case kOk: {
      const json document = json::parse(response.body, nullptr, false);
      if (!document.is_object() || !document.contains("version")) return result;
      result.outcome = WriteOutcome::applied;
      result.version = document["version"].get<ObjectVersion>();
      return result;
    }
    case kConflict:
    case kNotFound:
      result.outcome = WriteOutcome::conflict;
      return result;
    case kTooManyRequests:
    case kServiceUnavailable:
      result.outcome = WriteOutcome::not_applied;
      result.reason = "the object API answered " + std::to_string(response.status);
      return result;
    default:
      if (response.never_sent) result.outcome = WriteOutcome::not_applied;
      return result;
  }
}

}  // namespace

ObjectStoreClient::ObjectStoreClient(std::string base_url, Duration timeout)
    : base_url_(std::move(base_url)), client_(timeout) {}

void ObjectStoreClient::call(const std::string& method, const std::string& path,
                             const std::string& body,
                             std::function<void(const HttpResponse&)> on_done) {
  HttpRequest request;
  request.method = method;
  request.url = base_url_ + path;
  if (!body.empty()) request.content_type = "application/json";
  request.body = body;
  client_.fetch_owned(request, std::move(on_done));
}

void ObjectStoreClient::read(const std::string& kind, const std::string& name,
                             std::function<void(const ObjectReadResult&)> on_done) {
  const std::string path = "/v1/object?kind=" + url_escape(kind) + "&name=" + url_escape(name);
  call("GET", path, "", [on_done](const HttpResponse& response) {
    if (response.status == kNotFound) {
      on_done({true, false, {}});
      return;
    }
    if (response.status != kOk) {
      on_done({});
      return;
    }
    on_done(parsed<ObjectReadResult>(response, [](const json& document, ObjectReadResult& result) {
      result.object = parse_object(document);
      result.exists = true;
      result.answered = true;
    }));
  });
}

void ObjectStoreClient::list(const std::vector<std::string>& kinds,
                             std::function<void(const ObjectListResult&)> on_done) {
  call("GET", "/v1/objects?kinds=" + joined(kinds), "", [on_done](const HttpResponse& response) {
    if (response.status != kOk) {
      on_done({});
      return;
    }
    on_done(parsed<ObjectListResult>(response, [](const json& document, ObjectListResult& result) {
      result.objects = parse_objects(document.at("objects"));
      result.revision = document.at("revision").get<std::uint64_t>();
      result.answered = true;
    }));
  });
}

void ObjectStoreClient::watch(const std::vector<std::string>& kinds, std::uint64_t after,
                              Duration wait,
                              std::function<void(const ObjectWatchResult&)> on_done) {
  const std::string path = "/v1/watch?kinds=" + joined(kinds) + "&after=" + std::to_string(after) +
                           "&wait_ms=" + std::to_string(to_milliseconds(wait));
  call("GET", path, "", [on_done](const HttpResponse& response) {
    if (response.status == kGone) {
      on_done({true, true, 0, {}});
      return;
    }
    if (response.status != kOk) {
      on_done({});
      return;
    }
    on_done(
        parsed<ObjectWatchResult>(response, [](const json& document, ObjectWatchResult& result) {
          result.events = parse_objects(document.at("events"));
          result.revision = document.at("revision").get<std::uint64_t>();
          result.answered = true;
        }));
  });
}

void ObjectStoreClient::write(const std::string& kind, const std::string& name, const json& value,
                              ObjectVersion expected,
                              std::function<void(const ObjectWriteResult&)> on_done) {
  const std::string path = "/v1/object?kind=" + url_escape(kind) + "&name=" + url_escape(name) +
                           "&expected=" + std::to_string(expected);
  call("PUT", path, value.dump(),
       [on_done](const HttpResponse& response) { on_done(write_result(response)); });
}

void ObjectStoreClient::remove(const std::string& kind, const std::string& name,
                               ObjectVersion expected,
                               std::function<void(const ObjectWriteResult&)> on_done) {
  const std::string path = "/v1/object?kind=" + url_escape(kind) + "&name=" + url_escape(name) +
                           "&expected=" + std::to_string(expected);
  call("DELETE", path, "",
       [on_done](const HttpResponse& response) { on_done(write_result(response)); });
}

void ObjectStoreClient::list_machines(std::function<void(const MachineListResult&)> on_done) {
  call("GET", "/v1/machines", "", [on_done](const HttpResponse& response) {
    if (response.status != kOk) {
      on_done({});
      return;
    }
    on_done(
        parsed<MachineListResult>(response, [](const json& document, MachineListResult& result) {
          for (const json& machine : document.at("machines")) {
            auto& names = machine.at("state") == "leaving" ? result.leaving : result.live;
            names.insert(machine.at("name").get<std::string>());
          }
          result.answered = true;
        }));
  });
}

}  // namespace pumicemast
