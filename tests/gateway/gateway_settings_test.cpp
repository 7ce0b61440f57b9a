#include "gateway/gateway_settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include "support/temporary_folder.h"

namespace pumicemast {

class GatewaySettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewaySettingsTest);
  CPPUNIT_TEST(counts_the_zones_that_are_named);
  CPPUNIT_TEST(knows_one_zone_when_none_is_named);
  CPPUNIT_TEST_SUITE_END();

  tests::TemporaryFolder folder;

  GatewaySettings read(const std::string& zones) {
    Findings findings;
    Settings settings(
        folder.write("gateway.ini", "[process]\nname=g1\nzone=a\ncharts=charts\n" + zones +
                                        "[listen]\ncallers=127.0.0.1:1\nready=127.0.0.1:2\n"
                                        "metrics=127.0.0.1:3\ninternal=127.0.0.1:4\n"),
        findings);
    const GatewaySettings result = GatewaySettings::read(settings);
    settings.report_unknown();
    CPPUNIT_ASSERT(findings.empty());
    return result;
  }

 public:
  // As the platform fills in a list: a separator stands after the last name too.
  void counts_the_zones_that_are_named() {
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, read("zones=a;b;c;\n").zones);
  }

  void knows_one_zone_when_none_is_named() {
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, read("").zones);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, read("zones=\n").zones);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewaySettingsTest);

}  // namespace pumicemast
