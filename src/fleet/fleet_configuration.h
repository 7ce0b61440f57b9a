/// Routes, services, tenants and limits as operators declare them, as one version.
///
/// Immutable once built. This is the product's own format; adapters of the surrounding platform
/// translate into it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/request_limits.h"
#include "common/settings.h"
#include "common/time.h"

namespace pumicemast {

/// Whether a request may be repeated when its answer was lost.
enum class RequestKind {
  repeatable,      ///< May run more than once.
  not_repeatable,  ///< At most once.
  stream,          ///< A series of events; may be repeated only if it can be resumed.
};

struct WeightedService {
  std::string service;
  double weight = 1;
};

/// One route: requests for `host` whose path begins with `path_prefix`.
struct RouteRule {
  std::string name;
  std::string host;
  std::string path_prefix;
  RequestKind kind = RequestKind::not_repeatable;
  Duration timeout = seconds(30);
  Duration latency_goal = seconds(1);  ///< Limit for an answer, or a first event, to be in time.
  Duration gap_goal = seconds(1);      ///< Longest pause between a stream's events to be in time.
  int priority = 0;                    ///< 0 is the most urgent.
  std::vector<WeightedService> services;
  std::uint32_t attempts = 1;  ///< Maximum number of back ends that one request is sent to.
  bool is_public = false;      ///< Needs no API key.
  bool resumable = false;
  std::vector<std::string> allowed_regions;  ///< Where requests may run; empty: anywhere.
};

/// A model that an engine service serves.
struct ModelProfile {
  std::string name;
  Duration warm_time = seconds(1);  ///< From the start order until all layers are served.
};

/// Performance of a service's engines; times in milliseconds, as stated by their vendor.
struct EngineProfile {
  std::uint32_t slots = 1;
  double step_ms = 10;          ///< Duration of a decode step: one token for every running request.
  double step_ms_per_slot = 0;  ///< Added per running request.
  double context_ms_per_k = 0;  ///< Added per 1,000 tokens of context.
  double prompt_tokens_per_s = 10000;
  /// Attention cost: added per million pairs of a prompt token and an earlier one.
  double attention_ms_per_million_pairs = 0;
  std::uint32_t prefill_chunk_tokens = 2048;  ///< Prompt tokens prefilled per step, at most.
  std::uint32_t steps_per_pass = 1;
  double usual_prompt_tokens = 1000;
  double usual_answer_tokens = 100;
  double kv_capacity_tokens = 0;
  std::uint32_t layers = 1;
  std::uint32_t chunk_count = 0;
  std::uint32_t chunk_bytes = 0;
  std::vector<ModelProfile> models;
};

/// The server from which weights are originally fetched.
struct OriginProfile {
  Address address;
  std::uint32_t maximum_connections = 1;
};

/// What a back end of a service bears after its start.
struct ColdStartProfile {
  Duration duration = Duration::zero();
  double requests_per_second = 0;  ///< From all gateways together.
};

struct ServiceProfile {
  std::string name;
  std::optional<ColdStartProfile> cold_start;  ///< Empty when new back ends bear the full load.
  std::uint32_t maximum_connections = 64;  ///< Accepted by one back end from all callers together.
  std::optional<EngineProfile> engine;
  std::optional<OriginProfile> origin;
};

struct TenantRule {
  std::string name;
  std::vector<std::string> keys;
  std::optional<int> priority;  ///< Overrides the route's priority.
  /// Where the tenant's requests may run, in addition to the route's restriction; empty: anywhere.
  std::vector<std::string> allowed_regions{};
};

struct CallerLimits {
  RequestLimits request;
  Duration head_timeout = seconds(3);
  Duration idle_timeout = seconds(15);
};

struct FleetConfiguration {
  std::uint64_t version = 0;
  std::vector<RouteRule> routes;
  std::vector<ServiceProfile> services;
  std::vector<TenantRule> tenants;
  CallerLimits limits;
};

}  // namespace pumicemast
