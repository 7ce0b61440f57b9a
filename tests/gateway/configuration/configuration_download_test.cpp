#include "gateway/configuration/configuration_download.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "gateway/configuration/recent_configurations.h"

namespace pumicemast {

class ConfigurationDownloadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationDownloadTest);
  CPPUNIT_TEST(a_document_arrives_whole_piece_by_piece);
  CPPUNIT_TEST(pieces_in_any_order_and_twice_make_the_same_document);
  CPPUNIT_TEST(few_pieces_are_requested_ahead);
  CPPUNIT_TEST(another_holder_is_asked_only_for_missing_pieces);
  CPPUNIT_TEST(holders_of_the_same_zone_share_the_remaining_pieces);
  CPPUNIT_TEST(a_download_below_half_switches_to_a_newer_version);
  CPPUNIT_TEST(a_download_past_half_is_finished);
  CPPUNIT_TEST(a_version_that_the_holder_no_longer_has_is_replaced);
  CPPUNIT_TEST(holders_with_different_documents_do_not_block_the_download);
  CPPUNIT_TEST(an_empty_or_unexpected_piece_changes_nothing);
  CPPUNIT_TEST(three_versions_are_kept);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t kBytes = 10 * kConfigurationPieceBytes + 77;

  static std::string document(char seed) {
    std::string text(kBytes, seed);
    for (std::size_t index = 0; index < text.size(); index += 100) text[index] = 'a' + index % 26;
    return text;
  }
  static RecentConfigurations recent_of(std::uint64_t version, char seed) {
    RecentConfigurations recent;
    recent.add(version, document(seed));
    return recent;
  }
  /// Answers requests from `recent` until none are left, at most `max_answers` of them.
  static std::size_t answer(ConfigurationDownload& download, ConfigurationPieceRequests requests,
                            const RecentConfigurations& recent, std::size_t max_answers = 1000) {
    std::size_t answered = 0;
    while (!requests.empty() && answered < max_answers) {
      const ConfigurationPieceRequest request = requests.front();
      requests.erase(requests.begin());
      const auto piece = recent.piece(request.version, request.offset);
      if (!piece) continue;
      ++answered;
      const ConfigurationPieceRequests more = download.on_piece(*piece);
      requests.insert(requests.end(), more.begin(), more.end());
    }
    return answered;
  }

 public:
  void a_document_arrives_whole_piece_by_piece() {
    ConfigurationDownload download(1);
    const RecentConfigurations recent = recent_of(5, 'x');
    CPPUNIT_ASSERT_EQUAL(std::size_t{11}, answer(download, download.begin(7, 5), recent));
    CPPUNIT_ASSERT(download.take_document() == document('x'));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, download.version());
    CPPUNIT_ASSERT(!download.take_document());
  }

  void pieces_in_any_order_and_twice_make_the_same_document() {
    ConfigurationDownload download(1);
    const RecentConfigurations recent = recent_of(5, 'x');
    ConfigurationPieceRequests requests = download.begin(7, 5);
    while (!requests.empty()) {
      const ConfigurationPieceRequest request = requests.back();
      requests.pop_back();
      const auto piece = recent.piece(request.version, request.offset);
      for (int time = 0; time < 2; ++time) {
        const ConfigurationPieceRequests more = download.on_piece(*piece);
        requests.insert(requests.end(), more.begin(), more.end());
      }
    }
    CPPUNIT_ASSERT(download.take_document() == document('x'));
  }

  void few_pieces_are_requested_ahead() {
    ConfigurationDownload download(1);
    const RecentConfigurations recent = recent_of(5, 'x');
    const ConfigurationPieceRequests first = download.begin(7, 5);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, download.on_piece(*recent.piece(5, 0)).size());
  }

  void another_holder_is_asked_only_for_missing_pieces() {
    ConfigurationDownload download(1);
    const RecentConfigurations recent = recent_of(5, 'x');
    answer(download, download.begin(7, 5), recent, 3);
    const ConfigurationPieceRequests requests = download.begin(8, 5);
    CPPUNIT_ASSERT_EQUAL(3 * kConfigurationPieceBytes, requests.front().offset);
    CPPUNIT_ASSERT_EQUAL(PeerId{8}, requests.front().gateway);
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, answer(download, requests, recent));
    CPPUNIT_ASSERT(download.take_document() == document('x'));
  }

  void holders_of_the_same_zone_share_the_remaining_pieces() {
    ConfigurationDownload download(1);
    const RecentConfigurations recent = recent_of(5, 'x');
    download.begin(7, 5);
    CPPUNIT_ASSERT(download.on_version_advertised(8, 5).empty());
    std::set<PeerId> asked;
    for (const auto& request : download.on_piece(*recent.piece(5, 0)))
      asked.insert(request.gateway);
    CPPUNIT_ASSERT(asked == (std::set<PeerId>{7, 8}));
  }

  void a_download_below_half_switches_to_a_newer_version() {
    ConfigurationDownload download(1);
    answer(download, download.begin(7, 5), recent_of(5, 'x'), 2);
    const ConfigurationPieceRequests requests = download.on_version_advertised(7, 6);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, requests.front().version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, requests.front().offset);
    answer(download, requests, recent_of(6, 'y'));
    CPPUNIT_ASSERT(download.take_document() == document('y'));
  }

  void a_download_past_half_is_finished() {
    ConfigurationDownload download(1);
    RecentConfigurations recent = recent_of(5, 'x');
    answer(download, download.begin(7, 5), recent, 7);
    recent.add(6, document('y'));
    CPPUNIT_ASSERT(download.on_version_advertised(7, 6).empty());
    answer(download, download.begin(7, 6), recent);
    CPPUNIT_ASSERT(download.take_document() == document('x'));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, download.version());
  }

  void a_version_that_the_holder_no_longer_has_is_replaced() {
    ConfigurationDownload download(1);
    answer(download, download.begin(7, 5), recent_of(5, 'x'), 7);
    answer(download, download.begin(8, 9), recent_of(9, 'y'));
    CPPUNIT_ASSERT(download.take_document() == document('y'));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, download.version());
  }

  void holders_with_different_documents_do_not_block_the_download() {
    ConfigurationDownload download(1);
    answer(download, download.begin(7, 5), recent_of(5, 'x'), 7);
    RecentConfigurations other;
    other.add(5, document('y') + " ");
    answer(download, download.begin(8, 5), other);
    CPPUNIT_ASSERT(download.take_document() == document('y') + " ");
  }

  void an_empty_or_unexpected_piece_changes_nothing() {
    ConfigurationDownload download(1);
    const RecentConfigurations recent = recent_of(5, 'x');
    CPPUNIT_ASSERT(download.on_piece(*recent.piece(5, 0)).empty());  // No piece was requested.
    download.begin(7, 5);
    download.on_piece({5, kBytes, 0, ""});
    CPPUNIT_ASSERT(!download.progressed());
    download.on_piece({4, kBytes, 0, "older"});
    CPPUNIT_ASSERT(!download.progressed());
    download.on_piece({5, kBytes, 50 * kConfigurationPieceBytes, "far ahead"});
    CPPUNIT_ASSERT(!download.progressed());
    download.on_in_force(5);
    CPPUNIT_ASSERT(download.on_piece(*recent.piece(5, 0)).empty());
    CPPUNIT_ASSERT(!download.take_document());
  }

  void three_versions_are_kept() {
    RecentConfigurations recent;
    CPPUNIT_ASSERT(recent.newest() == nullptr && !recent.piece(1, 0));
    for (std::uint64_t version = 1; version <= 4; ++version) {
      recent.add(version, "document " + std::to_string(version));
    }
    CPPUNIT_ASSERT(*recent.newest() == "document 4");
    CPPUNIT_ASSERT(recent.piece(2, 9)->bytes == "2");
    // The oldest version is dropped: the newest one is served from its beginning instead.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, recent.piece(1, 9)->version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, recent.piece(1, 9)->offset);
    CPPUNIT_ASSERT(!recent.piece(4, 1000));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationDownloadTest);

}  // namespace pumicemast
