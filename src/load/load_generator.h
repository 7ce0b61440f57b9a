/// Sends a mix of requests to the entries and records the outcome of each request.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "common/event_loop.h"
#include "common/settings.h"
#include "http/http_client.h"
#include "load/response_checker.h"

namespace pumicemast {

struct LoadSettings {
  std::vector<Address> entries;
  std::string model;
  std::string service_path;  ///< "" sends no requests to a plain service.
  std::uint32_t tenants = 3;
  double requests_per_second = 50;
  Duration duration = seconds(10);
  std::uint32_t minimum_tokens = 4;
  std::uint32_t maximum_tokens = 64;
  double stream_fraction = 0.4;
  double service_fraction = 0.2;
  double repeated_key_fraction = 0.1;  ///< Fraction of service requests sent twice with one key.
  std::uint64_t seed = 1;
  std::string history_path;  ///< "" writes no history.

  static LoadSettings read(Settings& settings);
};

/// Outcome of one request, as written to the history.
struct LoadRecord {
  std::string request_id;
  std::string kind;  ///< plain, stream or service.
  std::string key;   ///< Idempotency key of a service request; "" for others.
  Verdict verdict = Verdict::lost;
  unsigned status = 0;
  std::string tag;
  TimePoint sent{};
  TimePoint first_byte{};
  TimePoint done{};
};

class LoadGenerator {
 public:
  LoadGenerator(LoadSettings settings, std::function<void()> on_finished);
  void start();
  /// Stops sending; on_finished is called once no request is in flight.
  void stop();
  const std::vector<LoadRecord>& records() const { return records_; }

 private:
  void send_due();
  void send_one();
  void send_model_call(bool stream);
  void send_service_call(const std::string& key);
  void send(HttpRequest request, ExpectedResponse expected, LoadRecord record, bool service);
  std::string entry_url();
  std::string next_id();

  LoadSettings settings_;
  std::function<void()> on_finished_;
  HttpClient client_;
  std::mt19937_64 random_;
  Timer timer_;
  TimePoint started_{};
  std::uint64_t sent_ = 0;
  std::uint64_t next_entry_ = 0;
  bool stopping_ = false;
  std::uint64_t next_call_ = 0;
  std::map<std::uint64_t, HttpCallPointer> calls_;
  std::vector<LoadRecord> records_;
};

}  // namespace pumicemast
