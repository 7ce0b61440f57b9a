#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "platform/configuration_translation.h"
#include "platform/json_scanner.h"
#include "platform/json_values.h"
#include "platform/malformed_entries.h"
#include "platform/store_list.h"
#include "support/byte_mutator.h"

namespace pumicemast::platform {
namespace {

using nlohmann::json;

constexpr std::size_t kDeep = 60'000;
constexpr std::uint64_t kCases = 5000;

std::string nested(std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

std::string entry(const std::string& name, const std::string& spec) {
  return R"({"metadata":{"name":")" + name + R"(","revision":7},"spec":)" + spec + "}";
}

/// Specs that a parser refuses, or whose tree would be too deep to copy.
std::vector<std::string> unreadable_specs() {
  return {R"({"zone":"\ud83d"})",
          R"({"zone":"\x00"})",
          R"({"slots":1e400})",
          R"({"slots":-1e400})",
          R"({"zone":)" + nested(kDeep) + "}",
          R"({"other":)" + nested(kMaximumJsonDepth) + "}",
          nested(kDeep),
          "{slots:1}",
          R"({"a":1,})",
          R"({"a" 1})",
          "not JSON at all",
          "1 2",
          "[1 2]"};
}

FetchResult response(const std::string& body) {
  FetchResult result;
  result.status = 200;
  result.body = body;
  return result;
}

std::string list_of(const std::string& item) {
  return R"({"items":[)" + entry("a", R"({"slots":1})") + "," + item + "," +
         entry("c", R"({"slots":3})") + R"(],"more":true,"at":9})";
}

std::string watch_answer_of(const std::string& item) {
  return R"({"events":[{"object":)" + entry("a", R"({"slots":1})") +
         R"(,"gone":false},{"object":)" + item + R"(,"gone":true},{"object":)" +
         entry("c", R"({"slots":3})") + R"(,"gone":false}],"at":9})";
}

constexpr char kSpec[] =
    R"({"service":"s","zone":"z\u00e5\"[{","version":"4.1","slots":8,"layers":{"from":0},"n":[1.5,null]})";

}  // namespace

/// Guards against one entry of another writer that hides all entries of a store answer from their
/// reader, or ends the process: an escape, a number or a nesting that the parser does not take.
class OddEntriesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OddEntriesTest);
  CPPUNIT_TEST(an_unreadable_entry_hides_no_other_of_a_list);
  CPPUNIT_TEST(an_unreadable_entry_hides_no_other_of_a_watch_answer);
  CPPUNIT_TEST(an_unreadable_single_object_keeps_its_name);
  CPPUNIT_TEST(unreadable_metadata_hides_neither_name_nor_others);
  CPPUNIT_TEST(an_item_in_place_of_an_entry_hides_no_other);
  CPPUNIT_TEST(invalid_bytes_are_replaced_in_their_value);
  CPPUNIT_TEST(other_documents_are_read_as_a_whole);
  CPPUNIT_TEST(deep_documents_are_refused_everywhere);
  CPPUNIT_TEST(brackets_in_strings_are_no_structure);
  CPPUNIT_TEST(parts_and_whole_agree_on_valid_documents);
  CPPUNIT_TEST(a_balanced_entry_never_changes_its_neighbours);
  CPPUNIT_TEST(numbers_out_of_range_are_not_converted);
  CPPUNIT_TEST(names_for_headers_and_logs_are_bounded);
  CPPUNIT_TEST_SUITE_END();

  static std::string name_of(json object) { return read_object(std::move(object)).name; }

 public:
  void an_unreadable_entry_hides_no_other_of_a_list() {
    for (const std::string& spec : unreadable_specs()) {
      const json body = parse_store_answer(response(list_of(entry("b", spec))));
      const std::string shown = spec.substr(0, 40);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, std::size_t{3}, array_at(body, "items").size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, 1, body["items"][0]["spec"]["slots"].get<int>());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, std::string("b"), name_of(body["items"][1]));
      CPPUNIT_ASSERT_MESSAGE(shown, body["items"][1]["spec"].is_null());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, 3, body["items"][2]["spec"]["slots"].get<int>());
      CPPUNIT_ASSERT(value_or<bool>(body, "more", false));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, value_or<std::uint64_t>(body, "at", 0));
    }
  }

  void an_unreadable_entry_hides_no_other_of_a_watch_answer() {
    for (const std::string& spec : unreadable_specs()) {
      const json body = parse_store_answer(response(watch_answer_of(entry("b", spec))));
      const std::string shown = spec.substr(0, 40);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, std::size_t{3}, array_at(body, "events").size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, std::string("b"), name_of(body["events"][1]["object"]));
      CPPUNIT_ASSERT_MESSAGE(shown, body["events"][1]["object"]["spec"].is_null());
      CPPUNIT_ASSERT_MESSAGE(shown, value_or<bool>(body["events"][1], "gone", false));
      CPPUNIT_ASSERT_EQUAL(3, body["events"][2]["object"]["spec"]["slots"].get<int>());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, value_or<std::uint64_t>(body, "at", 0));
    }
  }

  void an_unreadable_single_object_keeps_its_name() {
    for (const std::string& spec : unreadable_specs()) {
      const StoreObject object = read_object(parse_store_answer(response(entry("main", spec))));
      CPPUNIT_ASSERT_EQUAL(std::string("main"), object.name);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, object.revision.number);
      CPPUNIT_ASSERT(!read_configuration(object.spec).has_value());
    }
  }

  void unreadable_metadata_hides_neither_name_nor_others() {
    const std::string odd = R"({"metadata":{"name":"b","label":"\ud83d"},"spec":{"slots":2}})";
    json body = parse_store_answer(response(list_of(odd)));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), name_of(body["items"][1]));
    const std::string nameless = R"({"metadata":{"name":"\ud83d"},"spec":{"slots":2}})";
    body = parse_store_answer(response(list_of(nameless)));
    CPPUNIT_ASSERT(name_of(body["items"][1]).empty());
    CPPUNIT_ASSERT_EQUAL(std::string("c"), name_of(body["items"][2]));
  }

  void an_item_in_place_of_an_entry_hides_no_other() {
    for (const std::string& item : unreadable_specs()) {
      const json body = parse_store_answer(response(list_of(item)));
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, array_at(body, "items").size());
      CPPUNIT_ASSERT_EQUAL(std::string("c"), name_of(array_at(body, "items").back()));
    }
  }

  void invalid_bytes_are_replaced_in_their_value() {
    const std::string odd = entry("b", "{\"zone\":\"\xff\x01\",\"slots\":2}");
    const json body = parse_store_answer(response(list_of(odd)));
    CPPUNIT_ASSERT_EQUAL(std::string("? "), body["items"][1]["spec"]["zone"].get<std::string>());
  }

  /// A report or a manifest with a value that cannot be read must not pass for one without it.
  void other_documents_are_read_as_a_whole() {
    for (const char* text : {R"({"seq":1e400,"items":[]})", R"({"digests":["\ud83d"]})"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !parse_body(response(text)).is_object());
    }
    for (const char* text : {"", "<html>", "{\"items\":[", "{\"items\":[\"]}", "[]x"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !parse_store_answer(response(text)).is_object());
    }
  }

  void deep_documents_are_refused_everywhere() {
    CPPUNIT_ASSERT(parse_json(nested(kMaximumJsonDepth)).is_array());
    CPPUNIT_ASSERT(parse_json(nested(kMaximumJsonDepth + 1)).is_discarded());
    CPPUNIT_ASSERT(parse_json(std::string(kDeep, '[')).is_discarded());
    CPPUNIT_ASSERT(!parse_body(response(R"({"seq":)" + nested(kDeep) + "}")).is_object());
    CPPUNIT_ASSERT_EQUAL(kMaximumJsonDepth + 1, json_depth(nested(kDeep), kMaximumJsonDepth));
  }

  void brackets_in_strings_are_no_structure() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, json_depth(R"(["[[{\"[["])", kMaximumJsonDepth));
    const auto members = split_object(R"( {"a]" : "}\"," , "b":[{"c":"]"}] } )");
    CPPUNIT_ASSERT(members.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, members->size());
    CPPUNIT_ASSERT_EQUAL(std::string(R"("}\"," )"), std::string(members->front().value));
    CPPUNIT_ASSERT_EQUAL(std::string(R"([{"c":"]"}] )"), std::string(members->back().value));
    for (const char* text : {"{", "{\"a\"}", "{\"a\":}", "{\"a\":1", "{\"a\":[}]", "{\"a\":\"\\"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !split_object(text).has_value());
    }
    for (const char* text : {"[", "[,]", "[1,]", "[1]]", "]", ""}) {
      CPPUNIT_ASSERT_MESSAGE(text, !split_array(text).has_value());
    }
  }

  void parts_and_whole_agree_on_valid_documents() {
    const std::string escaped =
        R"({"it\u0065ms":[{"metadata":{"nam\u0065":"x","name":"y"},"sp\u0065c":[7]}]})";
    CPPUNIT_ASSERT_EQUAL(parse_json(escaped).dump(), parse_entries(escaped).dump());
    std::size_t valid = 0;
    for (std::uint64_t seed = 0; seed < kCases; ++seed) {
      tests::ByteMutator mutator(seed, {"\"", "{", "}", "[", "]", ",", ":", "\\", "1e400", " ",
                                        R"("items":[])", R"("na\u006de":"x",)", R"("name":"y",)"});
      const std::string good =
          seed % 2 == 0 ? list_of(entry("b", kSpec)) : watch_answer_of(entry("b", kSpec));
      const std::string text = seed % 100 < 2 ? good : mutator.mutate(good);
      const json whole = parse_json(text);
      const json parts = parse_entries(text);
      if (whole.is_discarded()) continue;
      ++valid;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, whole.dump(), parts.dump());
    }
    CPPUNIT_ASSERT(valid > kCases / 50);
  }

  void a_balanced_entry_never_changes_its_neighbours() {
    std::size_t unreadable = 0;
    for (std::uint64_t seed = 0; seed < kCases; ++seed) {
      tests::ByteMutator mutator(seed, {"\"", "{}", "[]", ",", ":", "\\x", "1e400", "\\ud83d"});
      const std::string spec = mutator.mutate(kSpec);
      if (!split_object(spec)) continue;
      if (parse_json(spec).is_discarded()) ++unreadable;
      const json body = parse_store_answer(response(list_of(entry("b", spec))));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(spec, std::size_t{3}, array_at(body, "items").size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(spec, std::string("b"), name_of(body["items"][1]));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(spec, 3, body["items"][2]["spec"]["slots"].get<int>());
    }
    CPPUNIT_ASSERT(unreadable > 100);
  }

  /// Such conversions are undefined, and their results differ between processors.
  void numbers_out_of_range_are_not_converted() {
    const json object = {{"huge", 1e300},
                         {"negative", -1.0},
                         {"large", UINT64_MAX},
                         {"limit", 4294967296.0},
                         {"fits", 4294967295.0},
                         {"fraction", -0.5},
                         {"lowest", -9223372036854775808.0}};
    for (const char* key : {"huge", "negative", "large", "limit"}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(key, 5U, value_or<std::uint32_t>(object, key, 5));
    }
    CPPUNIT_ASSERT_EQUAL(UINT32_MAX, value_or<std::uint32_t>(object, "fits", 5));
    CPPUNIT_ASSERT_EQUAL(0U, value_or<std::uint32_t>(object, "fraction", 5));
    CPPUNIT_ASSERT_EQUAL(INT64_MIN, value_or<std::int64_t>(object, "lowest", 5));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, value_or<std::int64_t>(object, "huge", 5));
    CPPUNIT_ASSERT(!read_integer(object, "large").has_value());
  }

  /// A name with a line break would add lines to logs and headers to requests.
  void names_for_headers_and_logs_are_bounded() {
    CPPUNIT_ASSERT_EQUAL(std::string("a??b?"), loggable_name("a\r\nb\xff"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{64}, loggable_name(std::string(100'000, 'x')).size());
    const json good = {{"service", "s"}, {"address", "10.0.0.1:80"}, {"zone", "z"},
                       {"slots", 8},     {"state", "ready"},         {"version", "4.1"},
                       {"seq", 3},       {"coldLeftMs", 0}};
    CPPUNIT_ASSERT(read_runner("i-1", good, 16).has_value());
    for (const char* id : {"i 1", "i\r\nX: y", "i\x7f", "\xc3\xa5"}) {
      CPPUNIT_ASSERT_MESSAGE(id, !read_runner(id, good, 16).has_value());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddEntriesTest);

}  // namespace pumicemast::platform
