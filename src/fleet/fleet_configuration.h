/// What operators declare about routes, services, tenants and limits, as one version.
///
/// Immutable once built. The product's own form: whoever supplies it translates into it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/request_limits.h"
#include "common/settings.h"
#include "common/time.h"

namespace pumicemast {

/// What may be done with a request whose answer was lost.
enum class RequestKind {
  repeatable,      ///< May run more than once.
  not_repeatable,  ///< At most once.
  stream,          ///< A series of events; repeatable only where it may be resumed.
};

struct WeightedService {
  std::string service;
  double weight = 1;
};

/// One route: requests of `host` whose path begins with `path_prefix`.
struct RouteRule {
  std::string name;
  std::string host;
  std::string path_prefix;
  RequestKind kind = RequestKind::not_repeatable;
  Duration timeout = seconds(30);
  Duration goal = seconds(1);      ///< An answer (a stream's first event) within it is in time.
  Duration gap_goal = seconds(1);  ///< Longest pause between a stream's events in time.
  int priority = 0;                ///< 0 is the most urgent.
  std::vector<WeightedService> services;
  std::uint32_t attempts = 1;  ///< Back ends that one request may be sent to.
  bool is_public = false;      ///< Needs no key.
  bool resumable = false;
};

/// A model that an engine service serves.
struct ModelProfile {
  std::string name;
  Duration warm_time = seconds(1);  ///< From the order to start to serving, all layers.
};

/// How the engines of a service work; times in milliseconds, as their makers state them.
struct EngineProfile {
  std::uint32_t slots = 1;
  double step_ms = 10;          ///< One token for every running request.
  double step_ms_per_slot = 0;  ///< Added per running request.
  double context_ms_per_k = 0;  ///< Added per 1,000 tokens of context.
  double prompt_tokens_per_s = 10000;
  /// Added for a million pairs of a prompt's token and one before it.
  double attention_ms_per_million_pairs = 0;
  std::uint32_t prompt_chunk = 2048;  ///< Prompt tokens read in one step at most.
  std::uint32_t steps_per_pass = 1;
  double usual_prompt_tokens = 1000;
  double usual_answer_tokens = 100;
  double memory_tokens = 0;
  std::uint32_t layers = 1;
  std::uint32_t chunk_count = 0;
  std::uint32_t chunk_bytes = 0;
  std::vector<ModelProfile> models;
};

/// The origin of weights.
struct OriginProfile {
  Address address;
  std::uint32_t maximum_connections = 1;
};

struct ServiceProfile {
  std::string name;
  std::uint32_t maximum_connections = 64;  ///< That one back end accepts from all callers.
  std::optional<EngineProfile> engine;
  std::optional<OriginProfile> origin;
};

struct TenantRule {
  std::string name;
  std::vector<std::string> keys;
  std::optional<int> priority;  ///< Goes before the route's.
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
