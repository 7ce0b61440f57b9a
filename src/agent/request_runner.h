/// Runs requests from callers on the local engine or service.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "adapters/engine_client.h"
#include "common/metrics.h"
#include "drain/admission_gate.h"
#include "transport/wire_connection.h"

namespace pumicemast {

/// Identifies the connection to an entry on which a request arrived.
using EntryNumber = std::uint64_t;

class RequestRunner {
 public:
  struct Callbacks {
    /// Finds the connection to an entry; null once it is closed, and messages are then dropped.
    std::function<WireConnection*(EntryNumber)> connection;
    /// Called when a request has ended; `model` may be idle now.
    std::function<void(const std::string& model)> on_finished;
  };

  RequestRunner(EngineClient& engine, AdmissionGate& gate, Metrics& metrics, bool is_engine,
                Callbacks callbacks);

  void on_submit(EntryNumber entry, const wire::SubmitRequest& submit);
  void on_cancel(EntryNumber entry, std::uint64_t id);
  /// Handles the loss of an entry's connection, after which responses cannot be delivered.
  /// Non-repeatable requests run to completion; the others are cancelled.
  void on_entry_lost(EntryNumber entry);

 private:
  using Key = std::pair<EntryNumber, std::uint64_t>;
  struct RunningRequest {
    std::string model;
    bool non_repeatable = false;
    HttpCallPointer call;
    TimePoint started{};
  };

  template <class Message>
  void send(EntryNumber entry, const Message& message);
  void refuse(const Key& key, wire::RefusalReason reason);
  void on_head(const Key& key, const std::string& digest, const HttpResponse& head);
  void end(const Key& key, bool complete);
  void remove(const Key& key);

  EngineClient& engine_;
  AdmissionGate& gate_;
  Metrics& metrics_;
  bool is_engine_;
  Callbacks callbacks_;
  std::map<Key, RunningRequest> running_;
};

}  // namespace pumicemast
