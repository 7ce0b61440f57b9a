#include "gateway/gateway_settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include "support/temporary_folder.h"

namespace pumicemast {

class GatewaySettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewaySettingsTest);
  CPPUNIT_TEST(counts_listed_zones);
  CPPUNIT_TEST(defaults_to_one_zone);
  CPPUNIT_TEST(reads_pardoned_fingerprints);
  CPPUNIT_TEST(reports_invalid_pardoned_fingerprint);
  CPPUNIT_TEST(bounds_memory_only_where_it_is_set);
  CPPUNIT_TEST_SUITE_END();

  tests::TemporaryFolder folder;

  GatewaySettings read(const std::string& zones, const std::string& sections = "") {
    Findings findings;
    const GatewaySettings result = read(zones, sections, findings);
    CPPUNIT_ASSERT(findings.empty());
    return result;
  }

  GatewaySettings read(const std::string& zones, const std::string& sections, Findings& findings) {
    Settings settings(
        folder.write("gateway.ini", "[process]\nname=g1\nzone=a\ncharts=charts\n" + zones +
                                        "[listen]\ncallers=127.0.0.1:1\nready=127.0.0.1:2\n"
                                        "metrics=127.0.0.1:3\ninternal=127.0.0.1:4\n" +
                                        sections),
        findings);
    const GatewaySettings result = GatewaySettings::read(settings);
    settings.report_unknown();
    return result;
  }

 public:
  // The platform's templates put a separator after the last name too.
  void counts_listed_zones() {
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, read("zones=a;b;c;\n").zones);
  }

  void defaults_to_one_zone() {
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, read("").zones);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, read("zones=\n").zones);
  }

  void reads_pardoned_fingerprints() {
    const GatewaySettings settings =
        read("",
             "[quarantine]\nhold_ms=60000\npardoned="
             "00000000000000010000000000000002;00000000000000030000000000000004\n");
    CPPUNIT_ASSERT(settings.quarantine_hold == seconds(60));
    CPPUNIT_ASSERT((settings.pardoned == std::set<RequestFingerprint>{{1, 2}, {3, 4}}));
    CPPUNIT_ASSERT(read("").pardoned.empty());
  }

  void reports_invalid_pardoned_fingerprint() {
    for (const char* text : {"12", "0000000000000001000000000000000g", "last"}) {
      Findings findings;
      read("", std::string("[quarantine]\npardoned=") + text + "\n", findings);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, findings.all().size());
      CPPUNIT_ASSERT_EQUAL(std::string("pardoned"), findings.all()[0].key);
    }
  }

  // The platform's template leaves the section empty where the platform states no memory.
  void bounds_memory_only_where_it_is_set() {
    CPPUNIT_ASSERT(!read("", "[limits]\n").memory_bytes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{112} << 20U,
                         *read("", "[limits]\nmemory_mb=112\n").memory_bytes);
    for (const char* value : {"1", "63", "-5", "many"}) {
      Findings findings;
      read("", std::string("[limits]\nmemory_mb=") + value + "\n", findings);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, findings.all().size());
      CPPUNIT_ASSERT_EQUAL(std::string("memory_mb"), findings.all()[0].key);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewaySettingsTest);

}  // namespace pumicemast
