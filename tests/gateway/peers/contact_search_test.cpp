#include "gateway/peers/contact_search.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast {

/// A gateway that starts finds a contact in its zone, or becomes the contact.
class ContactSearchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ContactSearchTest);
  CPPUNIT_TEST(the_first_gateway_of_a_zone_claims_and_reads);
  CPPUNIT_TEST(other_gateways_ask_the_contact_and_do_not_read);
  CPPUNIT_TEST(a_gateway_that_loses_the_claim_asks_the_winner);
  CPPUNIT_TEST(a_silent_contact_is_replaced_once);
  CPPUNIT_TEST(a_contact_is_kept_while_readers_are_seen);
  CPPUNIT_TEST(a_claim_without_an_answer_is_read_back);
  CPPUNIT_TEST(without_a_registry_a_gateway_reads_the_store);
  CPPUNIT_TEST(a_restarted_contact_reads);
  CPPUNIT_TEST_SUITE_END();

  TimePoint now = TimePoint(seconds(100));
  const Address self{"10.0.0.1", 7700};
  const Address other{"10.0.0.2", 7700};

  static ContactRegistryAnswer empty() { return {ContactRegistryState::empty, {}}; }
  static ContactRegistryAnswer entry_of(const Address& gateway, std::uint64_t revision) {
    return {ContactRegistryState::named, {gateway, revision}};
  }
  template <class Action>
  std::optional<Action> next(ContactSearch& search) const {
    const auto action = search.next_action(now);
    if (!action || !std::holds_alternative<Action>(*action)) return std::nullopt;
    return std::get<Action>(*action);
  }
  ContactSearch after_reading(const ContactRegistryAnswer& answer) const {
    ContactSearch search(self);
    CPPUNIT_ASSERT(next<ReadContact>(search));
    search.on_answer(answer, now);
    return search;
  }

 public:
  void the_first_gateway_of_a_zone_claims_and_reads() {
    ContactSearch search = after_reading(empty());
    CPPUNIT_ASSERT(!search.should_read(now));
    const auto claim = next<ClaimContact>(search);
    CPPUNIT_ASSERT(claim && !claim->replaces);
    search.on_answer(entry_of(self, 7), now);
    CPPUNIT_ASSERT(search.should_read(now));
    CPPUNIT_ASSERT(!search.contact());
    CPPUNIT_ASSERT(!search.next_action(now + seconds(60)));
  }

  void other_gateways_ask_the_contact_and_do_not_read() {
    ContactSearch search = after_reading(entry_of(other, 7));
    CPPUNIT_ASSERT(search.contact() && search.contact()->gateway == other);
    CPPUNIT_ASSERT(!search.should_read(now));
    CPPUNIT_ASSERT(!search.next_action(now));
  }

  void a_gateway_that_loses_the_claim_asks_the_winner() {
    ContactSearch search = after_reading(empty());
    CPPUNIT_ASSERT(next<ClaimContact>(search));
    search.on_answer(entry_of(other, 8), now);
    CPPUNIT_ASSERT(search.contact() && search.contact()->gateway == other);
    CPPUNIT_ASSERT(!search.should_read(now));
  }

  void a_silent_contact_is_replaced_once() {
    ContactSearch search = after_reading(entry_of(other, 7));
    now += milliseconds(999);
    CPPUNIT_ASSERT(!search.next_action(now));
    now += milliseconds(301);
    const auto claim = next<ClaimContact>(search);
    CPPUNIT_ASSERT(claim && claim->replaces == 7U);
    // Another gateway replaced the contact first: the timeout starts again for it.
    search.on_answer(entry_of({"10.0.0.3", 7700}, 9), now);
    CPPUNIT_ASSERT(!search.should_read(now));
    CPPUNIT_ASSERT(!search.next_action(now + milliseconds(900)));
  }

  void a_contact_is_kept_while_readers_are_seen() {
    ContactSearch search = after_reading(entry_of(other, 7));
    for (int second = 0; second < 10; ++second) {
      now += milliseconds(900);
      search.on_reader_seen(now);
      CPPUNIT_ASSERT(!search.next_action(now));
    }
  }

  void a_claim_without_an_answer_is_read_back() {
    ContactSearch search = after_reading(empty());
    CPPUNIT_ASSERT(next<ClaimContact>(search));
    search.on_answer({}, now);
    CPPUNIT_ASSERT(!search.next_action(now));
    now += milliseconds(250);
    CPPUNIT_ASSERT(next<ReadContact>(search));
    search.on_answer(entry_of(self, 7), now);
    CPPUNIT_ASSERT(search.should_read(now));
  }

  void without_a_registry_a_gateway_reads_the_store() {
    ContactSearch search(self);
    for (int call = 0; call < 6; ++call) {
      CPPUNIT_ASSERT(next<ReadContact>(search));
      search.on_answer({}, now);
      now += milliseconds(250);
    }
    CPPUNIT_ASSERT(search.should_read(now));
    // The registry answers again and names another gateway.
    CPPUNIT_ASSERT(next<ReadContact>(search));
    search.on_answer(entry_of(other, 3), now);
    CPPUNIT_ASSERT(!search.should_read(now));
  }

  void a_restarted_contact_reads() {
    const ContactSearch search = after_reading(entry_of(self, 7));
    CPPUNIT_ASSERT(search.should_read(now));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ContactSearchTest);

}  // namespace pumicemast
