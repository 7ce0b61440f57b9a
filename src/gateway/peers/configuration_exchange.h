/// Fetches newer configurations from other gateways, and gives them what it has.
///
/// A shell: carries out what ConfigurationCatchUp and ConfigurationDownload decide.
#pragma once

#include <functional>
#include <string>

#include "common/event_loop.h"
#include "common/metrics.h"
#include "gateway/configuration/configuration_catch_up.h"
#include "gateway/configuration/configuration_download.h"
#include "gateway/configuration/recent_configurations.h"
#include "transport/peer_links.h"

namespace pumicemast {

/// A configuration that was fetched from another gateway.
struct FetchedConfiguration {
  std::uint64_t version = 0;
  std::string document;
  std::string gateway;  ///< The address of the one that sent the last piece.
};

class ConfigurationExchange {
 public:
  struct Callbacks {
    std::function<void(const FetchedConfiguration&)> on_fetched;
    /// Whether a gateway stands in the own zone.
    std::function<bool(PeerId)> same_zone;
    /// A gateway's address, for the log.
    std::function<std::string(PeerId)> address_text;
  };

  ConfigurationExchange(PeerId self, PeerLinks& links, Metrics& metrics, Callbacks callbacks);

  void set_reads_store(bool reads) { catch_up_.set_reads_store(reads); }
  /// `version` is in force here; others may fetch `document`.
  void on_in_force(std::uint64_t version, const std::string& document);
  /// `gateway` has `version` in force.
  void on_version_advertised(PeerId gateway, std::uint64_t version);
  /// For how long another gateway has been known to have `version` or a newer one.
  Duration time_since_advertised(std::uint64_t version) const;
  void on_request(PeerId peer, const wire::ConfigurationRequest& request);
  void on_document(PeerId peer, const wire::ConfigurationDocument& message);

 private:
  /// Asks another gateway for a newer configuration when it is time.
  void catch_up();
  void send_document(PeerId peer, const wire::ConfigurationDocumentT& message);
  void send_requests(const ConfigurationPieceRequests& requests);

  PeerLinks& links_;
  Metrics& metrics_;
  Callbacks callbacks_;
  std::uint64_t version_ = 0;  ///< In force here; 0 for none.
  ConfigurationCatchUp catch_up_;
  ConfigurationDownload download_;
  RecentConfigurations recent_;
  Timer timer_;
};

}  // namespace pumicemast
