// Guards against a gateway exceeding its memory limit of 160 MB, as users saw while configurations
// with 1,400 more routes arrived. Bounds the memory per route of the structures that are kept for
// routes, and so the number of routes at which the limit could be reached.
#include <cppunit/extensions/HelperMacros.h>
#include <malloc.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "gateway/requests/route_table.h"
#include "platform/configuration_translation.h"
#include "platform/store_list.h"

namespace pumicemast::platform {

class ConfigurationMemoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationMemoryTest);
  CPPUNIT_TEST(a_route_in_force_uses_little_memory);
  CPPUNIT_TEST(parsing_a_document_uses_a_small_multiple_of_its_size);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t kRoutes = 3000;

  static std::string document() {
    nlohmann::json routes = nlohmann::json::array();
    for (std::size_t number = 0; number < kRoutes; ++number) {
      routes.push_back({{"name", "route-" + std::to_string(number)},
                        {"host", "api.example"},
                        {"pathPrefix", "/many/" + std::to_string(10000 + number) + "/"},
                        {"kind", "safe"},
                        {"timeoutMs", 5000},
                        {"goalMs", 1000},
                        {"gapGoalMs", 1000},
                        {"priority", 1},
                        {"service", "plain"},
                        {"attempts", 2},
                        {"public", false},
                        {"resumable", false}});
    }
    return nlohmann::json{{"version", 2}, {"routes", std::move(routes)}}.dump();
  }
  static std::size_t heap_bytes() {
    const auto figures = mallinfo2();
    return figures.uordblks + figures.hblkhd;
  }
  static void check(double figure, double limit, const std::string& name) {
    CPPUNIT_ASSERT_MESSAGE(name + " " + std::to_string(figure), figure < limit);
  }

 public:
  void a_route_in_force_uses_little_memory() {
    auto configuration = read_configuration(nlohmann::json::parse(document()));
    CPPUNIT_ASSERT(configuration && configuration->routes.size() == kRoutes);
    const FleetConfiguration kept = *configuration;
    const std::size_t before = heap_bytes();
    const auto table = std::make_shared<const RouteTable>(kept);
    const double bytes = static_cast<double>(heap_bytes() - before) / kRoutes;
    // Requests keep the table by which they were routed: at 227 bytes per route, 40 versions of
    // 3,000 routes that long requests keep take 27 MB.
    check(bytes, 300, "bytes per route of a table");
  }

  void parsing_a_document_uses_a_small_multiple_of_its_size() {
    const std::string text =
        R"({"metadata":{"name":"main","revision":7},"spec":)" + document() + "}";
    const std::size_t before = heap_bytes();
    const auto answer = std::make_unique<nlohmann::json>(nlohmann::json::parse(text));
    const double tree = static_cast<double>(heap_bytes() - before);
    // The tree takes 7.0 bytes per byte of text. An object that is read from the response is moved
    // out of its tree and not copied.
    check(tree / static_cast<double>(text.size()), 8, "bytes of the JSON tree per byte of text");
    const StoreObject object = read_object(std::move(*answer));
    const double both = static_cast<double>(heap_bytes() - before);
    check(both / static_cast<double>(text.size()), 8,
          "bytes of the tree and the object per byte of text");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationMemoryTest);

}  // namespace pumicemast::platform
