#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include "http1/request_reader.h"
#include "http1/response_reader.h"
#include "platform/configuration_translation.h"
#include "platform/gateway_translation.h"
#include "platform/json_values.h"
#include "platform/store_list.h"
#include "support/platform_documents.h"

namespace pumicemast::platform {
namespace {

using nlohmann::json;

ReceivedRequest read(const std::string& text) {
  RequestReader reader{RequestLimits{}};
  CPPUNIT_ASSERT(reader.consume(text) == RequestStatus::complete);
  return reader.take_request();
}

constexpr char kRequest[] =
    "POST /a/b?c=d HTTP/1.1\r\nHost: h.example\r\nX-Pumicemast-Request-Id: 9c41\r\n"
    "X-Pumicemast-Deadline-Ms: 6000\r\nX-Api-Key: secret\r\nX-Pumicemast-Tenant: forged\r\n"
    "X-Pumicemast-Expect-Instance: forged\r\nX-Pumicemast-Model: m\r\n"
    "X-Pumicemast-Token-Usage: 1460,80\r\nX-Pumicemast-Prompt-Prefix: aa:1\r\n"
    "Connection: keep-alive\r\nLast-Event-Id: 12\r\nContent-Length: 4\r\n\r\nbody";

}  // namespace

class TranslationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TranslationTest);
  CPPUNIT_TEST(reads_the_request_fields_used_by_the_gateway);
  CPPUNIT_TEST(reads_the_shared_parts_of_a_prompt);
  CPPUNIT_TEST(forwards_the_request_without_key_or_forged_headers);
  CPPUNIT_TEST(only_the_gateway_states_a_priority);
  CPPUNIT_TEST(out_of_range_numbers_are_clamped);
  CPPUNIT_TEST(a_resumed_request_carries_one_last_event_id);
  CPPUNIT_TEST(only_explicit_refusals_count_as_not_run);
  CPPUNIT_TEST(a_response_to_another_request_is_detected);
  CPPUNIT_TEST(reads_the_rate_limit_of_a_runner);
  CPPUNIT_TEST(an_invalid_rate_limit_is_ignored);
  CPPUNIT_TEST(the_rate_limit_of_another_runner_is_ignored);
  CPPUNIT_TEST(reads_that_a_runner_is_leaving_from_any_response);
  CPPUNIT_TEST(reads_the_pause_that_a_refusing_runner_asks_for);
  CPPUNIT_TEST(invalid_notices_are_ignored_and_counted);
  CPPUNIT_TEST(the_notices_of_another_runner_are_ignored);
  CPPUNIT_TEST(reads_a_configuration);
  CPPUNIT_TEST(the_prefill_rate_has_two_spellings);
  CPPUNIT_TEST(a_non_positive_prefill_rate_is_ignored);
  CPPUNIT_TEST(rejects_invalid_configurations);
  CPPUNIT_TEST(a_runner_serves_only_complete_versions);
  CPPUNIT_TEST(malformed_documents_are_tolerated);
  CPPUNIT_TEST(a_malformed_entry_yields_no_runner);
  CPPUNIT_TEST(invalid_bytes_affect_only_their_entry);
  CPPUNIT_TEST(values_of_wrong_types_are_tolerated);
  CPPUNIT_TEST(reads_the_allowed_regions_of_routes_and_tenants);
  CPPUNIT_TEST(reads_cold_phases_and_clamps_invalid_ones);
  CPPUNIT_TEST_SUITE_END();

  GatewayTranslation translation;

 public:
  void reads_the_allowed_regions_of_routes_and_tenants() {
    const auto configuration = read_configuration(json::parse(R"({"version": 1,
        "routes": [{"allowedRegions": ["a", 7, null, "b"]}, {"allowedRegions": []}, {},
                   {"allowedRegions": "a"}],
        "tenants": [{"name": "t", "allowedRegions": ["b"]}, {"name": "u"}]})"));
    CPPUNIT_ASSERT(configuration.has_value());
    const std::vector<std::string> both{"a", "b"};
    CPPUNIT_ASSERT(both == configuration->routes[0].allowed_regions);
    for (const std::size_t route : {1U, 2U, 3U})
      CPPUNIT_ASSERT(configuration->routes[route].allowed_regions.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), configuration->tenants[0].allowed_regions.at(0));
    CPPUNIT_ASSERT(configuration->tenants[1].allowed_regions.empty());
  }

  void reads_cold_phases_and_clamps_invalid_ones() {
    CPPUNIT_ASSERT(read_cold_time(json::parse(R"({"coldLeftMs": 1500})")) == milliseconds(1500));
    for (const char* entry : {"{}", R"({"coldLeftMs": 0})", R"({"coldLeftMs": -5})",
                              R"({"coldLeftMs": "9"})", R"({"coldLeftMs": null})", "[]"})
      CPPUNIT_ASSERT(read_cold_time(json::parse(entry)) == Duration::zero());
    CPPUNIT_ASSERT(read_cold_time(json::parse(R"({"coldLeftMs": 1e300})")) == seconds(60));
    const auto configuration = read_configuration(json::parse(R"({"version": 1, "services": [
        {"name": "a", "coldPerS": 14.0, "coldStartS": 3.0}, {"name": "b", "coldPerS": 0.0},
        {"name": "c", "coldPerS": -2}, {"name": "d", "coldPerS": "x"},
        {"name": "e", "coldPerS": 1e300, "coldStartS": -4}, {"name": "f"}]})"));
    CPPUNIT_ASSERT(configuration.has_value());
    const auto& services = configuration->services;
    CPPUNIT_ASSERT(services[0].cold_start->duration == seconds(3));
    CPPUNIT_ASSERT_EQUAL(14.0, services[0].cold_start->requests_per_second);
    for (const std::size_t service : {1U, 2U, 3U, 5U})
      CPPUNIT_ASSERT(!services[service].cold_start.has_value());
    CPPUNIT_ASSERT(services[4].cold_start->duration == Duration::zero());
  }

  void reads_the_request_fields_used_by_the_gateway() {
    const RequestMetadata request = translation.read_request(read(kRequest));
    CPPUNIT_ASSERT_EQUAL(std::string("9c41"), request.id);
    CPPUNIT_ASSERT_EQUAL(std::string("/a/b?c=d"), request.target);
    CPPUNIT_ASSERT_EQUAL(std::string("secret"), request.api_key);
    CPPUNIT_ASSERT(request.time_left == seconds(6));
    CPPUNIT_ASSERT_EQUAL(1460.0, request.prompt_tokens);
  }

  void reads_the_shared_parts_of_a_prompt() {
    const auto with = [&](const std::string& parts) {
      return translation.read_request(
          read("POST /a HTTP/1.1\r\nHost: h\r\nX-Pumicemast-Prompt-Prefix: " + parts + "\r\n\r\n"));
    };
    using Ids = std::vector<std::string>;
    CPPUNIT_ASSERT((with("5C1E07a2:800, 91bd3f06:410,e4402b7d:250").shared_prompt_parts ==
                    Ids{"5c1e07a2", "91bd3f06"}));
    CPPUNIT_ASSERT((with("a:1,a:1,b:2").shared_prompt_parts == Ids{"a"}));
    CPPUNIT_ASSERT(with("e4402b7d:250").shared_prompt_parts.empty());
    CPPUNIT_ASSERT(with("").prompt_parts_readable);
    for (const char* invalid :
         {"a:1,", ",a:1", "a,b:1", "x:1,b:1", "a:-1,b:2", "a:1,b", ":1,b:2"}) {
      CPPUNIT_ASSERT_MESSAGE(invalid, !with(invalid).prompt_parts_readable);
      CPPUNIT_ASSERT_MESSAGE(invalid, with(invalid).shared_prompt_parts.empty());
    }
    std::string many;
    for (int number = 0; number < 1000; ++number) many += std::to_string(number) + ":1,";
    CPPUNIT_ASSERT_EQUAL(std::size_t{32}, with(many + "f:1").shared_prompt_parts.size());
  }

  void forwards_the_request_without_key_or_forged_headers() {
    SendToBackend send;
    send.backend = "i-1";
    send.time_left = milliseconds(1234);
    send.tenant = "acme";
    const std::string text = translation.encode_request(read(kRequest), send);
    CPPUNIT_ASSERT(text.starts_with("POST /a/b?c=d HTTP/1.1\r\n"));
    CPPUNIT_ASSERT(text.ends_with("\r\n\r\nbody"));
    CPPUNIT_ASSERT(text.find("secret") == std::string::npos);
    CPPUNIT_ASSERT(text.find("forged") == std::string::npos);
    CPPUNIT_ASSERT(text.find("X-Pumicemast-Deadline-Ms: 1234\r\n") != std::string::npos);
    CPPUNIT_ASSERT(text.find("X-Pumicemast-Expect-Instance: i-1\r\n") != std::string::npos);
    CPPUNIT_ASSERT(text.find("X-Pumicemast-Tenant: acme\r\n") != std::string::npos);
    CPPUNIT_ASSERT(text.find("X-Pumicemast-Request-Id: 9c41\r\n") != std::string::npos);
    CPPUNIT_ASSERT(text.find("Last-Event-Id: 12\r\n") != std::string::npos);
    CPPUNIT_ASSERT(text.find("Expect-Version") == std::string::npos);
  }

  void out_of_range_numbers_are_clamped() {
    const auto with = [&](const std::string& fields) {
      return translation.read_request(read("GET /a HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n"));
    };
    const Duration year = seconds(365 * 24 * 3600);
    CPPUNIT_ASSERT(with("X-Pumicemast-Deadline-Ms: 9999999999999999\r\n").time_left == year);
    CPPUNIT_ASSERT(with("X-Pumicemast-Deadline-Ms: -9999999999999999\r\n").time_left == -year);
    CPPUNIT_ASSERT(with("X-Pumicemast-Deadline-Ms: 99999999999999999999\r\n").time_left ==
                   Duration::zero());
    for (const char* count : {"inf", "1e300", "nan", "-inf", "-5"}) {
      const auto request = with(std::string("X-Pumicemast-Token-Usage: ") + count +
                                ",80\r\nX-Pumicemast-Length-Hint: " + count + "\r\n");
      for (const double tokens : {request.prompt_tokens, request.answer_tokens}) {
        CPPUNIT_ASSERT_MESSAGE(count, tokens >= 0 && tokens <= 1e9);
      }
    }
  }

  void only_the_gateway_states_a_priority() {
    const std::string name = "X-Pumicemast-Request-Priority";
    const std::string forged = "GET / HTTP/1.1\r\nHost: h\r\n" + name + ": 0\r\n\r\n";
    SendToBackend send;
    CPPUNIT_ASSERT(translation.encode_request(read(forged), send).find(name) == std::string::npos);
    send.priority = 7;
    const std::string text = translation.encode_request(read(forged), send);
    CPPUNIT_ASSERT(text.find(name + ": 7\r\n") != std::string::npos);
    CPPUNIT_ASSERT(text.find(name + ": 0") == std::string::npos);
  }

  void a_resumed_request_carries_one_last_event_id() {
    SendToBackend send;
    send.backend = "i-1";
    send.resume_after = "17";
    const std::string text = translation.encode_request(read(kRequest), send);
    CPPUNIT_ASSERT(text.find("Last-Event-Id: 17\r\n") != std::string::npos);
    CPPUNIT_ASSERT(text.find("Last-Event-Id: 12\r\n") == std::string::npos);
  }

  void only_explicit_refusals_count_as_not_run() {
    CPPUNIT_ASSERT(facts("503 Service Unavailable", "X-Pumicemast-Not-Executed: 1\r\n").not_run);
    CPPUNIT_ASSERT(facts("421 Misdirected Request", "").not_run);
    CPPUNIT_ASSERT(!facts("503 Service Unavailable", "").not_run);
    CPPUNIT_ASSERT(!facts("500 Internal Server Error", "").not_run);
    CPPUNIT_ASSERT(!facts("429 Too Many Requests", "").not_run);
  }

  void a_response_to_another_request_is_detected() {
    CPPUNIT_ASSERT(belongs("200 OK", "X-Pumicemast-Request-Id: 9c41\r\n"));
    CPPUNIT_ASSERT(!belongs("200 OK", "X-Pumicemast-Request-Id: 9c42\r\n"));
    CPPUNIT_ASSERT(!belongs("200 OK", ""));
    CPPUNIT_ASSERT(belongs("503 Service Unavailable", ""));
  }

  ResponseRateLimit stated(const std::string& fields, const std::string& status = "200 OK") {
    return facts(status, fields).rate_limit;
  }

  void reads_the_rate_limit_of_a_runner() {
    CPPUNIT_ASSERT(!stated("").per_second && stated("").readable);
    CPPUNIT_ASSERT_EQUAL(1.4, *stated("Server-Limit: 1.4\r\n").per_second);
    CPPUNIT_ASSERT_EQUAL(0.0, *stated("server-limit:0\r\n").per_second);
    CPPUNIT_ASSERT_EQUAL(2.5,
                         *stated("Server-Limit: 2.5 \r\n", "503 Service Unavailable").per_second);
    // Of several values the lowest applies, whatever the order, and invalid ones are ignored.
    CPPUNIT_ASSERT_EQUAL(2.0, *stated("Server-Limit: 3\r\nServer-Limit: 2\r\n").per_second);
    CPPUNIT_ASSERT_EQUAL(2.0, *stated("Server-Limit: 2\r\nServer-Limit: x\r\n").per_second);
  }

  void an_invalid_rate_limit_is_ignored() {
    for (const char* text : {"nan", "inf", "-1", "1e300", "2 a second", "0x2", "", "+2", "1,4"}) {
      const ResponseRateLimit limit = stated("Server-Limit: " + std::string(text) + "\r\n");
      CPPUNIT_ASSERT_MESSAGE(text, !limit.readable && !limit.per_second);
    }
    const std::string many_digits(400, '9');
    CPPUNIT_ASSERT(!stated("Server-Limit: " + many_digits + "\r\n").per_second);
    CPPUNIT_ASSERT_EQUAL(1e6, *stated("Server-Limit: 99999999999\r\n").per_second);
  }

  void the_rate_limit_of_another_runner_is_ignored() {
    const ResponseRateLimit limit = stated("Server-Limit: 1\r\n", "421 Misdirected Request");
    CPPUNIT_ASSERT(limit.readable && !limit.per_second);
  }

  BackendNotice notice(const std::string& status, const std::string& fields) {
    return facts(status + " X", fields).notice;
  }

  void reads_that_a_runner_is_leaving_from_any_response() {
    for (const char* status : {"200", "404", "429", "500", "503"})
      CPPUNIT_ASSERT(notice(status, "Server-Leaving: 1\r\n").leaving);
    CPPUNIT_ASSERT(!notice("200", "").leaving);
    CPPUNIT_ASSERT(notice("200", "server-leaving: 1\r\nServer-Leaving: 0\r\n").leaving);
  }

  void reads_the_pause_that_a_refusing_runner_asks_for() {
    const auto pause = [this](const std::string& status, const std::string& fields) {
      return notice(status, fields).pushback;
    };
    CPPUNIT_ASSERT(pause("503", "Retry-After: 3\r\n") == seconds(3));
    CPPUNIT_ASSERT(pause("503", "Retry-After: 0.25\r\n") == milliseconds(250));
    CPPUNIT_ASSERT(pause("503", "Retry-After: 2\r\nRetry-After: 5\r\n") == seconds(5));
    CPPUNIT_ASSERT(pause("503", "Retry-After: 86400\r\n") == seconds(300));
    CPPUNIT_ASSERT(!pause("503", "Retry-After: 0\r\n"));
    CPPUNIT_ASSERT(!pause("503", ""));
    for (const char* status : {"200", "429", "500"})
      CPPUNIT_ASSERT(!pause(status, "Retry-After: 3\r\n"));
  }

  void invalid_notices_are_ignored_and_counted() {
    for (const char* value :
         {"-1", "nan", "inf", "1e300", "3 s", "0x3", "", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
      const auto read = notice("503", std::string("Retry-After: ") + value + "\r\n");
      CPPUNIT_ASSERT_MESSAGE(value, !read.pushback);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(value, 1U, read.invalid_fields);
    }
    for (const char* value : {"0", "2", "", "yes"}) {
      const auto read = notice("200", std::string("Server-Leaving: ") + value + "\r\n");
      CPPUNIT_ASSERT_MESSAGE(value, !read.leaving);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(value, 1U, read.invalid_fields);
    }
  }

  void the_notices_of_another_runner_are_ignored() {
    const auto read = notice("421", "Server-Leaving: 1\r\nRetry-After: 3\r\n");
    CPPUNIT_ASSERT(!read.leaving && !read.pushback);
  }

  void reads_a_configuration() {
    const json document = json::parse(tests::kConfiguration);
    const auto configuration = read_configuration(document);
    CPPUNIT_ASSERT(configuration.has_value());
    const RouteRule& route = configuration->routes.at(0);
    CPPUNIT_ASSERT(route.kind == RequestKind::stream && route.resumable && route.is_public);
    CPPUNIT_ASSERT(route.gap_goal == milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, route.services.size());
    CPPUNIT_ASSERT_EQUAL(90.0, route.services[0].weight);
    const EngineProfile& engine = *configuration->services.at(0).engine;
    CPPUNIT_ASSERT_EQUAL(5U, engine.steps_per_pass);
    CPPUNIT_ASSERT(engine.models.at(0).warm_time == milliseconds(300));
    CPPUNIT_ASSERT(configuration->services.at(1).origin.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{100}, configuration->limits.request.maximum_head_bytes);
    CPPUNIT_ASSERT_EQUAL(2, *configuration->tenants.at(0).priority);
  }

  void the_prefill_rate_has_two_spellings() {
    for (const std::string name : {"read_per_s", "readPerS"}) {
      const json document = {{"version", 1},
                             {"routes", json::array()},
                             {"services", {{{"name", "s"}, {"engine", {{name, 30600.0}}}}}}};
      const auto configuration = read_configuration(document);
      CPPUNIT_ASSERT(configuration);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 30600.0,
                                   configuration->services[0].engine->prompt_tokens_per_s);
    }
  }

  void a_non_positive_prefill_rate_is_ignored() {
    for (const double rate : {0.0, -5.0}) {
      const json engine = {{"readPerS", rate}};
      const json document = {{"version", 1},
                             {"routes", json::array()},
                             {"services", {{{"name", "s"}, {"engine", engine}}}}};
      const auto configuration = read_configuration(document);
      CPPUNIT_ASSERT(configuration);
      CPPUNIT_ASSERT(configuration->services[0].engine->prompt_tokens_per_s > 0);
    }
  }

  void rejects_invalid_configurations() {
    CPPUNIT_ASSERT(!read_configuration(json()).has_value());
    CPPUNIT_ASSERT(!read_configuration(json::array()).has_value());
    CPPUNIT_ASSERT(!read_configuration(json{{"routes", json::array()}}).has_value());
  }

  void a_runner_serves_only_complete_versions() {
    const auto version = [](const char* text) {
      return complete_weight_version(json::parse(text), 16);
    };
    const std::string models = R"({"models":[{"name":"m","version":3}])";
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{3},
        version((models + R"(,"layers":{"from":0,"targetVersion":16,"version":3}})").c_str()));
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{0},
        version((models + R"(,"layers":{"from":0,"targetVersion":8,"version":3}})").c_str()));
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{0},
        version((models + R"(,"layers":{"from":8,"targetVersion":16,"version":3}})").c_str()));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, version((models + R"(,"layers":null})").c_str()));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, version(R"({"models":[],"layers":null})"));
  }

  void malformed_documents_are_tolerated() {
    // Replaces each value of a valid document in turn by values of other types.
    const json good = json::parse(R"({"version":7,"routes":[{"name":"r","host":"h","timeoutMs":6}],
      "services":[{"name":"s","engine":{"slots":16,"models":[{"name":"m"}]}}],
      "limits":{"maxBodyBytes":1},"tenants":[{"name":"t","apiKeys":["k"]}]})");
    const json flat = good.flatten();
    for (const auto& [path, value] : flat.items()) {
      for (const json& bad :
           {json(), json("x"), json(-1), json::array(), json{{"a", 1}}, json(1e300)}) {
        json changed = flat;
        if (bad.is_structured()) {
          json whole = good;
          whole[json::json_pointer(path)] = bad;
          read_configuration(whole);
          continue;
        }
        changed[path] = bad;
        read_configuration(changed.unflatten());
      }
    }
    CPPUNIT_ASSERT(!read_runner("i", json("x"), 0).has_value());
    CPPUNIT_ASSERT(!read_runner("i", json{{"address", "nowhere"}}, 0).has_value());
  }

  /// Other writers may add entries to the runner list.
  void a_malformed_entry_yields_no_runner() {
    const json good = {{"service", "s"},       {"address", "10.0.0.1:80"}, {"zone", "z"},
                       {"slots", 8},           {"state", "ready"},         {"seq", 3},
                       {"born", 1796000000000}};
    const auto record = read_runner("i", good, 16);
    CPPUNIT_ASSERT(record.has_value());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1796000000000}, record->started_at_ms);
    CPPUNIT_ASSERT(!read_runner("", good, 16).has_value());
    for (const char* key : {"service", "address", "zone", "slots", "state"}) {
      json lacking = good;
      lacking.erase(key);
      CPPUNIT_ASSERT_MESSAGE(key, !read_runner("i", lacking, 16).has_value());
      for (const json& bad : {json(), json(""), json(-1), json(0.5), json(true), json::array()}) {
        json changed = good;
        changed[key] = bad;
        CPPUNIT_ASSERT_MESSAGE(key + bad.dump(), !read_runner("i", changed, 16).has_value());
      }
    }
    for (const json& bad : {json("1796000000000"), json(0.5), json()}) {
      json changed = good;
      changed["born"] = bad;
      CPPUNIT_ASSERT_MESSAGE(bad.dump(), !read_runner("i", changed, 16).has_value());
    }
    json unknown_state = good;
    unknown_state["state"] = "resting";
    CPPUNIT_ASSERT(!read_runner("i", unknown_state, 16).has_value());
    json without_born = good;
    without_born.erase("born");
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, read_runner("i", without_born, 16)->started_at_ms);
  }

  /// Guards against discarding a whole page with all its runners when one entry contains a byte
  /// that is not UTF-8.
  void invalid_bytes_affect_only_their_entry() {
    FetchResult result;
    result.status = 200;
    result.body =
        "{\"items\":[{\"metadata\":{\"name\":\"a\"},\"spec\":\"\xff\xfe\x01\"},"
        "{\"metadata\":{\"name\":\"b\"},\"spec\":{\"slots\":8}}]}";
    const json body = parse_body(result);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, array_at(body, "items").size());
    CPPUNIT_ASSERT_EQUAL(8, body["items"][1]["spec"]["slots"].get<int>());
    result.body = "{\"items\":[";
    CPPUNIT_ASSERT(!parse_body(result).is_object());
  }

 private:
  static std::string response(const std::string& status, const std::string& fields) {
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: 0\r\n\r\n";
  }
  ResponseMetadata facts(const std::string& status, const std::string& fields) {
    ResponseReader reader;
    reader.begin(false);
    reader.consume(response(status, fields));
    return translation.read_response(reader.head());
  }
  bool belongs(const std::string& status, const std::string& fields) {
    ResponseReader reader;
    reader.begin(false);
    reader.consume(response(status, fields));
    return translation.matches_request(reader.head(), "9c41");
  }

  void values_of_wrong_types_are_tolerated() {
    const StoreObject object = read_object(
        json::parse(R"({"metadata":{"name":7,"revision":"x"},"spec":{"model":[],"version":"y"}})"));
    CPPUNIT_ASSERT(object.name.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, object.revision.number);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, value_or<std::uint64_t>(object.spec, "version", 0));
    CPPUNIT_ASSERT(read_object(json::parse("[1]")).spec.is_null());
    CPPUNIT_ASSERT(read_object(json::parse(R"({"metadata":3,"spec":null})")).name.empty());
    CPPUNIT_ASSERT(array_at(json::parse("7"), "items").empty());
    FetchResult broken;
    broken.status = 200;
    broken.body = "{\"items\":[";
    CPPUNIT_ASSERT(!parse_body(broken).is_object());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TranslationTest);

}  // namespace pumicemast::platform
