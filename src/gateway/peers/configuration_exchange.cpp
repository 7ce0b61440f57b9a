#include "gateway/peers/configuration_exchange.h"

namespace pumicemast {
namespace {

/// Interval at which a gateway checks whether to request a configuration that is newer elsewhere.
constexpr Duration kCatchUpInterval = milliseconds(50);

}  // namespace

ConfigurationExchange::ConfigurationExchange(PeerId self, PeerLinks& links, Metrics& metrics,
                                             Callbacks callbacks)
    : links_(links),
      metrics_(metrics),
      callbacks_(std::move(callbacks)),
      catch_up_(self),
      download_(self) {}

void ConfigurationExchange::on_in_force(std::uint64_t version, const std::string& document) {
  version_ = version;
  catch_up_.on_in_force(version);
  download_.on_in_force(version);
  recent_.add(version, document);
}

void ConfigurationExchange::on_version_advertised(PeerId gateway, std::uint64_t version) {
  const bool same_zone = callbacks_.same_zone(gateway);
  catch_up_.on_version_advertised(gateway, version, same_zone, loop_now());
  if (same_zone) send_requests(download_.on_version_advertised(gateway, version));
  if (!timer_.active()) catch_up();
}

Duration ConfigurationExchange::time_since_advertised(std::uint64_t version) const {
  const auto first = catch_up_.first_advertised(version);
  return first ? loop_now() - *first : Duration::zero();
}

void ConfigurationExchange::catch_up() {
  if (const auto gateway = catch_up_.next_request(loop_now())) {
    metrics_.count("pumicemast_gateway_configuration_fetches_total",
                   {{"zone", callbacks_.same_zone(*gateway) ? "own" : "other"}});
    send_requests(download_.begin(*gateway, catch_up_.advertised_version(*gateway)));
  }
  if (catch_up_.behind()) timer_.start_once(kCatchUpInterval, [this] { catch_up(); });
}

void ConfigurationExchange::send_requests(const ConfigurationPieceRequests& requests) {
  for (const ConfigurationPieceRequest& piece : requests) {
    wire::ConfigurationRequestT request;
    request.known_version = version_;
    request.pieces = true;
    request.version = piece.version;
    request.offset = piece.offset;
    links_.send(piece.gateway, request);
  }
}

void ConfigurationExchange::on_request(PeerId peer, const wire::ConfigurationRequest& request) {
  if (version_ <= request.known_version()) return;
  wire::ConfigurationDocumentT message;
  if (!request.pieces()) {
    // A gateway of an earlier release, which does not support pieces, gets the whole document.
    if (recent_.newest() == nullptr) return;
    message.version = version_;
    message.document = *recent_.newest();
    send_document(peer, message);
    return;
  }
  const auto piece = recent_.piece(request.version(), request.offset());
  if (!piece) return;
  message.version = piece->version;
  message.document = std::string(piece->bytes);
  message.document_bytes = piece->document_bytes;
  message.offset = piece->offset;
  send_document(peer, message);
}

void ConfigurationExchange::send_document(PeerId peer,
                                          const wire::ConfigurationDocumentT& message) {
  metrics_.count("pumicemast_gateway_configuration_sent_bytes_total",
                 {{"zone", callbacks_.same_zone(peer) ? "own" : "other"}},
                 static_cast<double>(message.document.size()));
  links_.send(peer, message);
}

void ConfigurationExchange::on_document(PeerId peer, const wire::ConfigurationDocument& message) {
  FetchedConfiguration fetched;
  fetched.gateway = callbacks_.address_text(peer);
  fetched.version = message.version();
  if (message.document_bytes() == 0) {
    fetched.document = message.document()->str();
    callbacks_.on_fetched(fetched);
    return;
  }
  send_requests(download_.on_piece({message.version(), message.document_bytes(), message.offset(),
                                    message.document()->string_view()}));
  if (download_.progressed()) catch_up_.on_progress(loop_now());
  auto assembled = download_.take_document();
  if (!assembled) return;
  fetched.version = download_.version();
  fetched.document = std::move(*assembled);
  callbacks_.on_fetched(fetched);
}

}  // namespace pumicemast
