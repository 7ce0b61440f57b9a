#include "host/slot_service.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>
#include <ctime>

#include "common/event_loop.h"
#include "transport/frame_codec.h"
#include "transport/slot_messages.h"

namespace pumicemast {

class SlotServiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlotServiceTest);
  CPPUNIT_TEST(a_message_takes_little_processor_time);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against work for each message that grows with the square of the queue or worse: an
  // agent has a small part of a core.
  void a_message_takes_little_processor_time() {
    const double usual_us = microseconds_a_message(12, 24);
    const double full_us = microseconds_a_message(500, 333);
    std::printf(
        "\nfigure slot_message_us waiting_12_tenants_24=%.0f waiting_500_tenants_333=%.0f\n",
        usual_us, full_us);
    CPPUNIT_ASSERT(usual_us < 1'000);
    CPPUNIT_ASSERT(full_us < 100'000);
  }

 private:
  /// Processor time for reading a request and a withdrawal, deciding and answering, while
  /// `waiting` requests of as many tenants as given wait at a full engine.
  static double microseconds_a_message(std::uint64_t waiting, std::uint64_t tenants) {
    constexpr std::uint64_t kMessages = 200;
    Metrics metrics;
    PeerLinks links("agent", metrics, {});
    SlotService service({"127.0.0.1", 1}, links, metrics,
                        [](const std::string&, const std::string&) {});
    SlotCapacity full;
    full.available = true;
    full.slots = 12;
    full.occupied = 13;
    std::clock_t begin = std::clock();
    for (std::uint64_t number = 1; number <= waiting + kMessages; ++number) {
      if (number == waiting + 1) begin = std::clock();
      SlotRequests requests;
      SlotRequest& request = requests.requests.emplace_back();
      request.number = number;
      request.priority = static_cast<int>(number % 3);
      request.tenant = number % tenants;
      request.copies = 3;
      request.useful_for = seconds(60);
      if (number > waiting) requests.withdrawn.push_back(number - waiting);
      const auto frame = encode_frame(encode(requests));
      FrameReader reader;
      reader.consume({frame.data(), frame.size()}, [&](const wire::Frame& body) {
        service.on_requests(1, decode(*body.body_as_SlotRequests()), full, loop_now());
      });
    }
    return static_cast<double>(std::clock() - begin) * 1e6 / CLOCKS_PER_SEC / kMessages;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotServiceTest);

}  // namespace pumicemast
