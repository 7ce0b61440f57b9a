/// Fetches newer configurations from other gateways, and serves recent ones to them.
///
/// A shell: sends the requests that ConfigurationCatchUp and ConfigurationDownload decide on.
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
  std::string gateway;  ///< Address of the gateway that sent the last piece.
};

class ConfigurationExchange {
 public:
  struct Callbacks {
    std::function<void(const FetchedConfiguration&)> on_fetched;
    /// Whether a gateway is in the own zone.
    std::function<bool(PeerId)> same_zone;
    /// A gateway's address, for the log.
    std::function<std::string(PeerId)> address_text;
  };

  ConfigurationExchange(PeerId self, PeerLinks& links, Metrics& metrics, Callbacks callbacks);

  void set_reads_store(bool reads) { catch_up_.set_reads_store(reads); }
  /// `version` is in force here; others may fetch `document`.
  void on_in_force(std::uint64_t version, const std::string& document);
  /// `gateway` advertises that it has `version` in force.
  void on_version_advertised(PeerId gateway, std::uint64_t version);
  /// Time since another gateway first advertised `version` or a newer one; zero if none did.
  Duration time_since_advertised(std::uint64_t version) const;
  void on_request(PeerId peer, const wire::ConfigurationRequest& request);
  void on_document(PeerId peer, const wire::ConfigurationDocument& message);

 private:
  /// Requests a newer configuration from another gateway when it is due.
  void catch_up();
  void send_document(PeerId peer, const wire::ConfigurationDocumentT& message);
  void send_requests(const ConfigurationPieceRequests& requests);

  PeerLinks& links_;
  Metrics& metrics_;
  Callbacks callbacks_;
  std::uint64_t version_ = 0;  ///< Version in force here; 0 for none.
  ConfigurationCatchUp catch_up_;
  ConfigurationDownload download_;
  RecentConfigurations recent_;
  Timer timer_;
};

}  // namespace pumicemast
