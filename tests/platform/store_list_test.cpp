#include "platform/store_list.h"

#include <cppunit/extensions/HelperMacros.h>

#include "support/scripted_server.h"

namespace pumicemast::platform {

using tests::run_until;
using tests::ScriptedServer;

/// Guards against an endless loop: after a page whose last item had no name, the list was requested
/// from its beginning again. Uses real sockets; every wait is for a condition.
class StoreListTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreListTest);
  CPPUNIT_TEST(a_nameless_item_at_the_end_of_a_page_is_skipped);
  CPPUNIT_TEST(a_page_without_names_ends_the_listing);
  CPPUNIT_TEST(a_name_with_reserved_characters_is_encoded);
  CPPUNIT_TEST(an_unreadable_item_ends_no_listing);
  CPPUNIT_TEST_SUITE_END();

  ScriptedServer server_;
  HttpFetcher fetcher_{server_.address()};
  StoreList list_{fetcher_, "servers", seconds(2)};
  bool answered_ = false;
  std::optional<StoreListing> listing_;

  void read() {
    list_.read(false, [this](std::optional<StoreListing> listing) {
      answered_ = true;
      listing_ = std::move(listing);
    });
  }
  std::string next_target() {
    run_until([&] { return server_.try_read_request("\r\n\r\n"); });
    return server_.take_request_target();
  }
  void answer(const std::string& body) {
    server_.send_text("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body);
  }

 public:
  void a_nameless_item_at_the_end_of_a_page_is_skipped() {
    read();
    run_until([&] { return server_.try_accept(); });
    CPPUNIT_ASSERT_EQUAL(std::string("/objects/servers"), next_target());
    answer(R"({"items":[{"metadata":{"name":"a"},"spec":{}},{"spec":{}}],"more":true,"at":9})");
    CPPUNIT_ASSERT_EQUAL(std::string("/objects/servers?afterRev=a"), next_target());
    answer(R"({"items":[7,{"metadata":{"name":"b"},"spec":{}}],"more":false,"at":9})");
    run_until([&] { return answered_; });
    CPPUNIT_ASSERT(listing_.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, listing_->objects.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), listing_->objects[1].name);
  }

  void a_page_without_names_ends_the_listing() {
    read();
    run_until([&] { return server_.try_accept(); });
    next_target();
    answer(R"({"items":[{"spec":{}},null],"more":true,"at":9})");
    run_until([&] { return answered_; });
    CPPUNIT_ASSERT(!listing_.has_value());
    // The list is not requested from the beginning again.
    CPPUNIT_ASSERT(!server_.try_read_request("\r\n\r\n"));
  }

  /// Guards against a list that can't be read any more because a page ends with such a name.
  void a_name_with_reserved_characters_is_encoded() {
    read();
    run_until([&] { return server_.try_accept(); });
    next_target();
    answer(R"({"items":[{"metadata":{"name":"a b&c\r\n%"}}],"more":true,"at":9})");
    CPPUNIT_ASSERT_EQUAL(std::string("/objects/servers?afterRev=a%20b%26c%0D%0A%25"),
                         next_target());
    answer(R"({"items":[],"more":false,"at":9})");
    run_until([&] { return answered_; });
    CPPUNIT_ASSERT(listing_.has_value());
  }

  /// Guards against a list that stays unread while one entry in it can't be parsed.
  void an_unreadable_item_ends_no_listing() {
    read();
    run_until([&] { return server_.try_accept(); });
    next_target();
    answer(R"({"items":[{"metadata":{"name":"a"},"spec":{"zone":"\ud83d"}},)"
           R"({"metadata":{"name":"\ud83d"},"spec":{}}],"more":true,"at":9})");
    CPPUNIT_ASSERT_EQUAL(std::string("/objects/servers?afterRev=a"), next_target());
    answer(R"({"items":[{"metadata":{"name":"b"},"spec":{}}],"more":false,"at":9})");
    run_until([&] { return answered_; });
    CPPUNIT_ASSERT(listing_.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, listing_->objects.size());
    CPPUNIT_ASSERT(listing_->objects[0].spec.is_null());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, listing_->revision.number);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreListTest);

}  // namespace pumicemast::platform
