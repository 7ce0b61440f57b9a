#include "common/settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include "support/temporary_folder.h"

namespace pumicemast {

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(reports_every_fault_with_its_place);
  CPPUNIT_TEST(reports_unknown_keys);
  CPPUNIT_TEST(reports_an_unreadable_file_once);
  CPPUNIT_TEST(overrides_replace_values);
  CPPUNIT_TEST(accepts_only_ip_numbers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void reports_every_fault_with_its_place() {
    const std::string path =
        folder_.write("a.ini", "[limits]\nrate=12o\ncount=99\n[listen]\nat=x:1\n");
    Findings findings;
    Settings settings(path, findings);
    settings.integer_or("limits", "rate", 1, {0, 10});
    settings.integer_or("limits", "count", 1, {0, 10});
    settings.required_address("listen", "at");
    settings.required_string("process", "name");
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, findings.all().size());
    CPPUNIT_ASSERT_EQUAL(path + ":2: [limits] rate: \"12o\" is not a whole number",
                         findings.all()[0].to_string());
    CPPUNIT_ASSERT_EQUAL(path + ":3: [limits] count: 99 is outside 0 to 10",
                         findings.all()[1].to_string());
    CPPUNIT_ASSERT_EQUAL(path + ":5: [listen] at: \"x:1\" is not IP:PORT",
                         findings.all()[2].to_string());
    CPPUNIT_ASSERT(findings.report().find("4 findings; nothing was started") != std::string::npos);
  }

  void reports_unknown_keys() {
    Findings findings;
    Settings settings(folder_.write("a.ini", "[process]\nname=x\nnmae=y\n"), findings);
    settings.required_string("process", "name");
    settings.report_unknown();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, findings.all().size());
    CPPUNIT_ASSERT_EQUAL(std::string("nmae"), findings.all()[0].key);
    CPPUNIT_ASSERT_EQUAL(3, findings.all()[0].line);
  }

  void reports_an_unreadable_file_once() {
    Findings findings;
    Settings settings(folder_.path() + "/missing.ini", findings);
    settings.required_string("process", "name");
    settings.report_unknown();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, findings.all().size());
  }

  void overrides_replace_values() {
    Findings findings;
    Settings settings(folder_.write("a.ini", "[run]\nseed=1\n"), findings);
    settings.override_value("run", "seed", "7");
    CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, settings.integer_or("run", "seed", 0, {0, 10}));
    CPPUNIT_ASSERT(findings.empty());
  }

  void accepts_only_ip_numbers() {
    CPPUNIT_ASSERT(parse_address("127.0.0.1:80").has_value());
    for (const char* bad : {"localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536",
                            "127.0.0.1:8x", ":80", ""}) {
      CPPUNIT_ASSERT_MESSAGE(bad, !parse_address(bad).has_value());
    }
  }

 private:
  tests::TemporaryFolder folder_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

}  // namespace pumicemast
