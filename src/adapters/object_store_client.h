/// The platform's object API, as HTTP with JSON.
///
/// GET  /v1/objects?kinds=A,B             all objects of these kinds at one revision
/// GET  /v1/object?kind=K&name=N          one object
/// PUT  /v1/object?kind=K&name=N&expected=V   conditional update (0: must not exist)
/// DELETE /v1/object?kind=K&name=N&expected=V   conditional deletion
/// GET  /v1/watch?kinds=A,B&after=R&wait_ms=W  events after revision R; waits up to W ms
/// GET  /v1/machines                      live and leaving machines; may be outdated
#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "common/time.h"
#include "configuration/object_store.h"
#include "http/http_client.h"

namespace pumicemast {

class ObjectStoreClient : public ObjectStore {
 public:
  ObjectStoreClient(std::string base_url, Duration timeout);

  void read(const std::string& kind, const std::string& name,
            std::function<void(const ObjectReadResult&)> on_done) override;
  void list(const std::vector<std::string>& kinds,
            std::function<void(const ObjectListResult&)> on_done) override;
  void watch(const std::vector<std::string>& kinds, std::uint64_t after, Duration wait,
             std::function<void(const ObjectWatchResult&)> on_done) override;
  void write(const std::string& kind, const std::string& name, const nlohmann::json& value,
             ObjectVersion expected,
             std::function<void(const ObjectWriteResult&)> on_done) override;
  void remove(const std::string& kind, const std::string& name, ObjectVersion expected,
              std::function<void(const ObjectWriteResult&)> on_done) override;
  void list_machines(std::function<void(const MachineListResult&)> on_done) override;

 private:
  void call(const std::string& method, const std::string& path, const std::string& body,
            std::function<void(const HttpResponse&)> on_done);

  std::string base_url_;
  HttpClient client_;
};

}  // namespace pumicemast
