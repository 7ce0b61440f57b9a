#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <sstream>

#include "common/settings.h"
#include "gateway/quarantine/crash_messages.h"
#include "gateway/quarantine/request_quarantine.h"
#include "http1/event_splitter.h"
#include "http1/request_reader.h"
#include "http1/response_reader.h"
#include "platform/configuration_translation.h"
#include "platform/gateway_translation.h"
#include "platform/store_list.h"
#include "scheduling/slot_queue.h"
#include "support/byte_mutator.h"
#include "support/platform_documents.h"
#include "support/temporary_folder.h"
#include "transport/frame_codec.h"
#include "transport/slot_messages.h"

namespace pumicemast {
namespace {

using nlohmann::json;

constexpr std::uint64_t kDefaultCases = 2000;
constexpr std::uint64_t kDefaultSeed = 1;
/// Each settings case writes a file, so there is one per this many cases of the other tests.
constexpr std::uint64_t kCasesPerFile = 20;

std::uint64_t from_environment(const char* name, std::uint64_t fallback) {
  const char* value = std::getenv(name);
  return value == nullptr ? fallback : std::strtoull(value, nullptr, 10);
}

constexpr char kRequest[] =
    "POST /a/b?c=d HTTP/1.1\r\nHost: h.example\r\nX-Pumicemast-Request-Id: 9c41\r\n"
    "X-Pumicemast-Deadline-Ms: 6000\r\nX-Api-Key: secret\r\n"
    "X-Pumicemast-Token-Usage: 1460,80\r\nX-Pumicemast-Prompt-Prefix: aa:1\r\n"
    "Last-Event-Id: 12\r\nContent-Length: 4\r\n\r\nbody"
    "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
    "GET /y HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr char kResponse[] =
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\nX-Pumicemast-Request-Id: 9c41\r\nKeep-Alive: timeout=5\r\n\r\n"
    "b\r\ndata: hello\r\n4\r\n\n\nid\r\n0\r\n\r\n";
constexpr char kUnframedResponse[] =
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    "X-Pumicemast-Request-Id: 9c41\r\n\r\nid: 1\ndata: hello\n\nid: 2\nda";
constexpr char kEvents[] =
    "id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\ndata: without id\n\n: comment\n\nid: 4\ndata: "
    "four";
constexpr char kRunner[] = R"({"service":"s","address":"127.0.0.1:80","zone":"z","version":2,
    "slots":8,"state":"ready","coldLeftMs":0,"seq":9,"models":[{"name":"m","version":3}],
    "layers":{"from":0,"targetVersion":16,"version":3}})";
constexpr char kSettings[] =
    "[a]\nnumber=7\nratio=0.5\nflag=true\ntime_ms=100\naddress=127.0.0.1:80\n"
    "addresses=127.0.0.1:80;127.0.0.1:81\nurl=http://127.0.0.1:80\n[b]\nname=x\n";

/// Result of feeding bytes to a parser.
struct ParseResult {
  bool complete = false;  ///< False for a malformed or truncated message.
  std::string text;       ///< Output of the parser.
};

/// Whether two results for the same bytes, split differently, agree. How early a parser rejects
/// malformed bytes may depend on the split, so one output may then be a prefix of the other.
bool agree(const ParseResult& one, const ParseResult& other) {
  if (one.complete != other.complete) return false;
  if (one.complete) return one.text == other.text;
  return one.text.starts_with(other.text) || other.text.starts_with(one.text);
}

template <class Pieces>
ParseResult read_requests(const Pieces& pieces) {
  RequestReader reader(RequestLimits{512, 256});
  std::ostringstream text;
  RequestStatus status = RequestStatus::need_more;
  const platform::GatewayTranslation translation;
  for (const std::string_view piece : pieces) {
    status = reader.consume(piece);
    while (status == RequestStatus::complete) {
      const ReceivedRequest request = reader.take_request();
      const RequestMetadata facts = translation.read_request(request);
      SendToBackend send;
      send.backend = "i-1";
      send.tenant = "acme";
      text << translation.encode_request(request, send) << '|' << facts.id << '|'
           << facts.shared_prompt_parts.size() << '|' << request.keep_alive << '\n';
      status = reader.resume();
    }
    if (status != RequestStatus::need_more) break;
  }
  const bool fully_consumed = status == RequestStatus::need_more && !reader.has_partial();
  return {fully_consumed, text.str()};
}

template <class Pieces>
ParseResult read_response(const Pieces& pieces) {
  ResponseReader reader;
  reader.begin(false);
  std::string body;
  ReadStatus status = ReadStatus::need_more;
  for (const std::string_view piece : pieces) {
    status = reader.consume(piece);
    body += reader.take_body();
    if (status != ReadStatus::need_more) break;
  }
  if (status == ReadStatus::need_more) status = reader.consume_end();
  body += reader.take_body();
  if (status == ReadStatus::complete) {
    body += reader.end() == ResponseEnd::stated ? "|stated" : "|inferred";
  }
  if (reader.head_complete()) {
    const platform::GatewayTranslation translation;
    translation.read_response(reader.head());
    translation.matches_request(reader.head(), "9c41");
    body += "|" + std::to_string(reader.head().status);
  }
  return {status == ReadStatus::complete, body};
}

template <class Pieces>
ParseResult read_frames(const Pieces& pieces) {
  FrameReader reader;
  std::string text;
  FrameFault fault = FrameFault::none;
  for (const std::string_view piece : pieces) {
    const std::span<const std::uint8_t> bytes(reinterpret_cast<const std::uint8_t*>(piece.data()),
                                              piece.size());
    fault = reader.consume(bytes, [&](const wire::Frame& frame) {
      text += std::string(wire::EnumNameBody(frame.body_type())) + ' ';
    });
    if (fault != FrameFault::none) break;
  }
  return {fault == FrameFault::none, text};
}

void read_crash_update(const std::string& bytes, RequestQuarantine& quarantine, TimePoint now) {
  FrameReader reader;
  const std::span<const std::uint8_t> view(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                                           bytes.size());
  reader.consume(view, [&](const wire::Frame& frame) {
    const auto* message = frame.body_as_RequestCrashes();
    if (message != nullptr) quarantine.on_update(decode(*message), now);
  });
  quarantine.take_update(now);
  quarantine.sweep(now);
}

constexpr std::size_t kMaximumSlotEntries = 512;  ///< Of one kind in one message.

/// Checks that the values are bounded, and takes the request into the queue.
void add_slot_request(const SlotRequest& request, SlotQueue& queue, TimePoint now) {
  CPPUNIT_ASSERT(request.priority >= kMostUrgentPriority &&
                 request.priority <= kLeastUrgentPriority);
  CPPUNIT_ASSERT(request.copies >= 1 && request.copies <= 16);
  CPPUNIT_ASSERT(request.prompt_tokens <= 10'000'000);
  CPPUNIT_ASSERT(request.useful_for >= Duration::zero() && request.useful_for <= seconds(60));
  queue.add(1, request, now);
}

void read_slot_requests(const std::string& bytes, SlotQueue& queue, TimePoint now) {
  FrameReader reader;
  const std::span<const std::uint8_t> view(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                                           bytes.size());
  reader.consume(view, [&](const wire::Frame& frame) {
    const auto* message = frame.body_as_SlotRequests();
    if (message == nullptr) return;
    const SlotRequests read = decode(*message);
    CPPUNIT_ASSERT(read.requests.size() <= kMaximumSlotEntries);
    CPPUNIT_ASSERT(read.withdrawn.size() <= kMaximumSlotEntries);
    for (const std::uint64_t number : read.withdrawn) queue.withdraw(1, number);
    for (const SlotRequest& request : read.requests) add_slot_request(request, queue, now);
  });
}

void read_slot_decisions(const std::string& bytes) {
  FrameReader reader;
  const std::span<const std::uint8_t> view(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                                           bytes.size());
  reader.consume(view, [&](const wire::Frame& frame) {
    const auto* message = frame.body_as_SlotDecisions();
    if (message == nullptr) return;
    const SlotDecisions read = decode(*message);
    CPPUNIT_ASSERT(read.granted.size() <= kMaximumSlotEntries);
    CPPUNIT_ASSERT(read.denied.size() <= kMaximumSlotEntries);
    for (const SlotDenial& denial : read.denied) {
      CPPUNIT_ASSERT(denial.expected_wait >= Duration::zero() &&
                     denial.expected_wait <= seconds(60));
      CPPUNIT_ASSERT(std::string(to_string(denial.reason)) != "unknown");
    }
  });
}

void read_settings(Settings& settings) {
  settings.integer_or("a", "number", 1, {0, 100});
  settings.number_or("a", "ratio", 0.1, 0, 1);
  settings.boolean_or("a", "flag", false);
  settings.milliseconds_or("a", "time_ms", 1, {0, 1000});
  settings.required_address("a", "address");
  settings.required_addresses("a", "addresses");
  settings.required_url("a", "url");
  settings.required_string("b", "name");
  settings.report_unknown();
}

}  // namespace

/// Feeds randomly corrupted input to all parsers of external data. No parser may crash or throw,
/// and no result may depend on how the input is split. PUMICEMAST_FUZZ_CASES sets the number of
/// cases, PUMICEMAST_FUZZ_SEED selects other ones (docs/DEVELOPERS.md).
class BadBytesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BadBytesTest);
  CPPUNIT_TEST(readings_that_differ_are_told_apart);
  CPPUNIT_TEST(requests);
  CPPUNIT_TEST(responses);
  CPPUNIT_TEST(responses_without_framing);
  CPPUNIT_TEST(memory_of_requests_of_many_lines);
  CPPUNIT_TEST(memory_of_responses_of_many_lines);
  CPPUNIT_TEST(event_streams);
  CPPUNIT_TEST(frames);
  CPPUNIT_TEST(crash_updates);
  CPPUNIT_TEST(slot_requests);
  CPPUNIT_TEST(slot_decisions);
  CPPUNIT_TEST(configurations);
  CPPUNIT_TEST(runners);
  CPPUNIT_TEST(settings);
  CPPUNIT_TEST_SUITE_END();

  const std::uint64_t cases_ = from_environment("PUMICEMAST_FUZZ_CASES", kDefaultCases);
  const std::uint64_t seed_ = from_environment("PUMICEMAST_FUZZ_SEED", kDefaultSeed);

  using Pieces = std::vector<std::string_view>;

  template <class Read>
  void check_pieces(const std::string& good, std::vector<std::string> dictionary, Read read) {
    for (std::uint64_t number = 0; number < cases_; ++number) {
      tests::ByteMutator mutator(seed_ * cases_ + number, dictionary);
      const std::string bad = mutator.mutate(good);
      const ParseResult whole = read(Pieces{bad});
      const ParseResult in_pieces = read(mutator.cut(bad));
      const std::string description = "case " + std::to_string(number) + " of seed " +
                                      std::to_string(seed_) + ": " +
                                      json(bad).dump(-1, ' ', true, json::error_handler_t::replace);
      CPPUNIT_ASSERT_MESSAGE(description, agree(whole, in_pieces));
    }
  }

  /// Checks what readers allocate for heads of short and odd lines, after each piece of them.
  template <class MakeReader>
  void check_memory(const std::string& start, MakeReader make_reader) {
    // Text grows by doubling, as received and as parsed.
    constexpr std::size_t kBytesPerByte = 4;
    constexpr std::size_t kAlwaysAllowed = 4096;
    constexpr std::size_t kLines = 4000;
    const std::vector<std::string> lines = {
        "a:\r\n", "a: \r\n", "a:\r\n b\r\n", "Connection:a,b\r\n", "Accept:1\r\n", "b:\t\r\n"};
    for (std::uint64_t number = 0; number < cases_ / 10; ++number) {
      tests::ByteMutator mutator(seed_ * cases_ + number, lines);
      std::string head = start;
      for (std::size_t line = 0; line < kLines; ++line) head += lines[number % lines.size()];
      const std::string bad = number % 2 == 0 ? head : mutator.mutate(head);
      auto reader = make_reader();
      std::size_t received = 0;
      for (const std::string_view piece : mutator.cut(bad)) {
        const auto status = reader.consume(piece);
        received += piece.size();
        CPPUNIT_ASSERT_MESSAGE(
            "case " + std::to_string(number) + " of seed " + std::to_string(seed_),
            reader.allocated_bytes() <= kBytesPerByte * received + kAlwaysAllowed);
        if (status != decltype(status)::need_more) break;
      }
    }
  }

 public:
  void readings_that_differ_are_told_apart() {
    CPPUNIT_ASSERT(agree({true, "ab"}, {true, "ab"}));
    CPPUNIT_ASSERT(!agree({true, "ab"}, {true, "a"}));
    CPPUNIT_ASSERT(!agree({true, "ab"}, {false, "ab"}));
    CPPUNIT_ASSERT(agree({false, "ab"}, {false, "a"}));
    CPPUNIT_ASSERT(!agree({false, "ab"}, {false, "ac"}));
  }

  void requests() {
    check_pieces(kRequest,
                 {"\r\n", "\r\n\r\n", "Content-Length: 9\r\n", "Transfer-Encoding: chunked\r\n",
                  "Expect: 100-continue\r\n", "Connection: close\r\n", "HTTP/1.0", "0\r\n\r\n",
                  "X-Pumicemast-Deadline-Ms: 99999999999999999999\r\n", std::string(600, 'a')},
                 [](const Pieces& pieces) { return read_requests(pieces); });
  }

  void responses() {
    check_pieces(kResponse,
                 {"\r\n", "\r\n\r\n", "Content-Length: 3\r\n", "HTTP/1.1 204 No Content\r\n",
                  "ffffffffffffffff\r\n", "0\r\n\r\n", "Connection: close\r\n"},
                 [](const Pieces& pieces) { return read_response(pieces); });
  }

  void responses_without_framing() {
    check_pieces(kUnframedResponse,
                 {"\r\n", "\r\n\r\n", "Content-Length: 3\r\n", "HTTP/1.0", "HTTP/1.1 304 x\r\n",
                  "Transfer-Encoding: chunked\r\n", "Connection: keep-alive\r\n"},
                 [](const Pieces& pieces) { return read_response(pieces); });
  }

  void memory_of_requests_of_many_lines() {
    check_memory("GET /a HTTP/1.1\r\n", [] { return RequestReader(RequestLimits{64 << 10, 256}); });
  }

  void memory_of_responses_of_many_lines() {
    check_memory("HTTP/1.1 200 OK\r\n", [] {
      ResponseReader reader;
      reader.begin(false);
      return reader;
    });
  }

  void event_streams() {
    check_pieces(kEvents,
                 {"\n\n", "\r\n\r\n", "\r\r", "id: ", "id:\n", "data: ", "\r", ":", "retry:"},
                 [](const Pieces& pieces) {
                   EventSplitter splitter;
                   std::string complete_events;
                   std::string all;
                   for (const std::string_view piece : pieces) {
                     complete_events += splitter.take_complete_events(piece);
                     all += piece;
                   }
                   splitter.end_stream();
                   const std::string last_id = splitter.last_id().value_or("none");
                   const char* place = splitter.inside_event() ? "|inside|" : "|after|";
                   CPPUNIT_ASSERT(complete_events + splitter.take_partial_event() == all);
                   return ParseResult{true, complete_events + place + last_id + "|" +
                                                std::to_string(splitter.event_count())};
                 });
  }

  void frames() {
    wire::ChunkRequestT request;
    request.digest = "model@3";
    request.chunk = 7;
    wire::ManifestRequestT manifest;
    manifest.model = "m";
    const EncodedFrame first = encode_frame(request);
    const EncodedFrame second = encode_frame(manifest);
    const auto as_text = [](const EncodedFrame& frame) {
      return std::string(reinterpret_cast<const char*>(frame.data()), frame.size());
    };
    check_pieces(as_text(first) + as_text(second),
                 {std::string(4, '\0'), "\xff\xff\xff\x7f", as_text(first)},
                 [](const Pieces& pieces) { return read_frames(pieces); });
  }

  void crash_updates() {
    const CrashUpdate update{
        {{5, milliseconds(120), {{1, 2}, {3, 4}}, true}, {6, seconds(5), {{3, 4}}}},
        {{RequestFingerprint{1, 2}, milliseconds(7)}}};
    const EncodedFrame frame = encode_frame(encode(update));
    const std::string good(reinterpret_cast<const char*>(frame.data()), frame.size());
    RequestQuarantine quarantine;
    TimePoint now{seconds(1)};
    for (std::uint64_t number = 0; number < cases_; ++number) {
      tests::ByteMutator mutator(seed_ * cases_ + number,
                                 {std::string(4, '\0'), "\xff\xff\xff\x7f"});
      const std::string bad = mutator.mutate(good);
      now += milliseconds(10);
      read_crash_update(bad, quarantine, now);
      CPPUNIT_ASSERT(quarantine.list(now).size() <= QuarantineOptions{}.capacity);
    }
  }

  void slot_requests() {
    const SlotRequests requests{
        {{1, 0, false, 5, 787, 3, milliseconds(200)}, {2, 2, true, 6, 1290, 1, milliseconds(900)}},
        {3, 4}};
    const EncodedFrame frame = encode_frame(encode(requests));
    const std::string good(reinterpret_cast<const char*>(frame.data()), frame.size());
    SlotQueue queue{{}};
    TimePoint now{seconds(1)};
    for (std::uint64_t number = 0; number < cases_; ++number) {
      tests::ByteMutator mutator(seed_ * cases_ + number,
                                 {std::string(4, '\0'), "\xff\xff\xff\x7f"});
      now += milliseconds(10);
      read_slot_requests(mutator.mutate(good), queue, now);
      SlotCapacity capacity;
      capacity.available = true;
      capacity.slots = 12;
      capacity.occupied = static_cast<std::uint32_t>(mutator.below(15));
      capacity.read_at = now;
      queue.decide(capacity, now);
      CPPUNIT_ASSERT(queue.waiting() <= SlotQueue::Options{}.maximum_waiting);
    }
  }

  void slot_decisions() {
    const SlotDecisions decisions{{1, 2},
                                  {{3, SlotDenialReason::more_urgent_first, milliseconds(300)},
                                   {4, SlotDenialReason::engine_unavailable, Duration::zero()}}};
    const EncodedFrame frame = encode_frame(encode(decisions, Address{"127.0.0.1", 80}));
    const std::string good(reinterpret_cast<const char*>(frame.data()), frame.size());
    for (std::uint64_t number = 0; number < cases_; ++number) {
      tests::ByteMutator mutator(seed_ * cases_ + number,
                                 {std::string(4, '\0'), "\xff\xff\xff\x7f"});
      read_slot_decisions(mutator.mutate(good));
    }
  }

  void configurations() {
    const json good = json::parse(tests::kConfiguration);
    for (std::uint64_t number = 0; number < cases_; ++number) {
      tests::ByteMutator mutator(seed_ * cases_ + number, {"x"});
      json bad = mutator.mutate_document(good);
      if (mutator.below(2) == 0) bad = mutator.mutate_document(bad);
      CPPUNIT_ASSERT_NO_THROW_MESSAGE(bad.dump(), platform::read_configuration(bad));
    }
  }

  void runners() {
    const json good = json::parse(kRunner);
    for (std::uint64_t number = 0; number < cases_; ++number) {
      tests::ByteMutator mutator(seed_ * cases_ + number, {"x"});
      const json bad = mutator.mutate_document(good);
      CPPUNIT_ASSERT_NO_THROW_MESSAGE(bad.dump(), platform::read_runner("i-1", bad, 16));
      const json object = {{"name", "i-1"}, {"revision", 4}, {"spec", bad}};
      CPPUNIT_ASSERT_NO_THROW_MESSAGE(bad.dump(),
                                      platform::read_object(mutator.mutate_document(object)));
    }
  }

  void settings() {
    const tests::TemporaryFolder folder;
    for (std::uint64_t number = 0; number < cases_ / kCasesPerFile; ++number) {
      tests::ByteMutator mutator(seed_ * cases_ + number,
                                 {"\n", "[", "]", "=", ";", "[a]\n", "99999999999999999999", "-"});
      const std::string path = folder.write("bad.ini", mutator.mutate(kSettings));
      Findings findings;
      Settings settings(path, findings);
      read_settings(settings);
      for (const Finding& finding : findings.all()) CPPUNIT_ASSERT(!finding.reason.empty());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BadBytesTest);

}  // namespace pumicemast
