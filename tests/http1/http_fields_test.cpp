#include "http1/http_fields.h"

#include <cppunit/extensions/HelperMacros.h>

#include "http1/request_reader.h"
#include "http1/response_reader.h"

namespace pumicemast {
namespace {

constexpr std::size_t kHeadBytes = 16U * 1024U;

std::string repeated(const std::string& line, std::size_t bytes) {
  std::string text;
  while (text.size() + line.size() <= bytes) text += line;
  return text;
}

}  // namespace

class HttpFieldsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpFieldsTest);
  CPPUNIT_TEST(keeps_the_order_and_all_fields_of_a_name);
  CPPUNIT_TEST(finds_the_first_field_whatever_the_case_of_its_name);
  CPPUNIT_TEST(keeps_empty_values_and_values_with_colons);
  CPPUNIT_TEST(a_head_of_short_lines_takes_no_more_memory_than_its_bytes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void keeps_the_order_and_all_fields_of_a_name() {
    HttpFields fields;
    fields.append("A", "1");
    fields.append("B", "2");
    fields.append("a", "3");
    std::string text;
    for (const auto& [name, value] : fields)
      text.append(name).append("=").append(value).append(";");
    CPPUNIT_ASSERT_EQUAL(std::string("A=1;B=2;a=3;"), text);
  }

  void finds_the_first_field_whatever_the_case_of_its_name() {
    HttpFields fields;
    CPPUNIT_ASSERT(!fields.contains("a"));
    fields.append("Accept", "0");
    fields.append("A", "1");
    fields.append("a", "2");
    CPPUNIT_ASSERT(fields.find("a")->value == "1");
    CPPUNIT_ASSERT(fields.contains("ACCEPT"));
    CPPUNIT_ASSERT(!fields.contains("Acc"));
  }

  void keeps_empty_values_and_values_with_colons() {
    HttpFields fields;
    fields.append("a", "");
    fields.append("b", "c:d");
    CPPUNIT_ASSERT(fields.find("a")->value.empty());
    CPPUNIT_ASSERT(fields.find("b")->value == "c:d");
  }

  void a_head_of_short_lines_takes_no_more_memory_than_its_bytes() {
    for (const char* line : {"a:\r\n", "abcdef: \r\n", "a:1\r\n", "a:\r\n b\r\n", "Accept:1\r\n"}) {
      const std::string lines = repeated(line, kHeadBytes - 100) + "\r\n";
      RequestReader requests(RequestLimits{kHeadBytes, 100});
      CPPUNIT_ASSERT(requests.consume("GET / HTTP/1.1\r\n" + lines) == RequestStatus::complete);
      CPPUNIT_ASSERT_LESS(kHeadBytes, requests.take_request().head.allocated_bytes());
      ResponseReader responses;
      responses.begin(true);
      CPPUNIT_ASSERT(responses.consume("HTTP/1.1 200 OK\r\n" + lines) == ReadStatus::complete);
      CPPUNIT_ASSERT_LESS(kHeadBytes, responses.head().fields.allocated_bytes());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpFieldsTest);

}  // namespace pumicemast
