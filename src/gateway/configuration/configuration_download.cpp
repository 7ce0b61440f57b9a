#include "gateway/configuration/configuration_download.h"

#include <algorithm>
#include <utility>

#include "common/hash.h"

namespace pumicemast {
namespace {

/// Bytes requested ahead of those received: enough to fill a link of 20 Mbit/s at a round-trip time
/// of 50 ms. A holder that 38 gateways ask queues 5 MB for them.
constexpr std::uint64_t kWindowBytes = 4 * kConfigurationPieceBytes;

}  // namespace

void ConfigurationDownload::restart(std::uint64_t version) {
  version_ = version;
  document_bytes_ = 0;
  received_.clear();
  out_of_order_.clear();
  pending_.clear();
  requested_to_ = 0;
}

ConfigurationPieceRequests ConfigurationDownload::begin(PeerId gateway, std::uint64_t newest) {
  holders_ = {gateway};
  const bool holder_lacks_it = newest < version_;
  if (newest != version_ && (holder_lacks_it || !half_received())) restart(newest);
  out_of_order_.clear();
  pending_.clear();
  requested_to_ = received_.size();
  return request_more();
}

ConfigurationPieceRequests ConfigurationDownload::on_version_advertised(PeerId gateway,
                                                                        std::uint64_t newest) {
  if (holders_.empty()) return {};
  if (newest == version_) holders_.insert(gateway);
  if (!holders_.contains(gateway) || newest <= version_ || half_received()) return {};
  return begin(gateway, newest);
}

ConfigurationPieceRequests ConfigurationDownload::on_piece(const ConfigurationPiece& piece) {
  progressed_ = false;
  if (holders_.empty() || piece.version < version_) return {};
  const bool another_document =
      piece.version > version_ || (document_bytes_ > 0 && document_bytes_ != piece.document_bytes);
  if (another_document) restart(piece.version);
  const bool wanted = piece.offset >= received_.size() &&
                      piece.offset <= received_.size() + kWindowBytes && !piece.bytes.empty();
  if (wanted) {
    document_bytes_ = piece.document_bytes;
    pending_.erase(piece.offset);
    progressed_ = out_of_order_.try_emplace(piece.offset, piece.bytes).second;
    append_contiguous();
  }
  return request_more();
}

void ConfigurationDownload::append_contiguous() {
  while (!out_of_order_.empty() && out_of_order_.begin()->first <= received_.size()) {
    const auto node = out_of_order_.extract(out_of_order_.begin());
    if (node.key() == received_.size()) received_ += node.mapped();
  }
  requested_to_ = std::max<std::uint64_t>(requested_to_, received_.size());
}

PeerId ConfigurationDownload::least_loaded_holder() const {
  const auto rank = [this](PeerId holder) {
    const auto outstanding =
        std::count_if(pending_.begin(), pending_.end(),
                      [holder](const auto& entry) { return entry.second == holder; });
    return std::make_pair(outstanding, stable_hash(holder, self_));
  };
  return *std::min_element(holders_.begin(), holders_.end(),
                           [&](PeerId left, PeerId right) { return rank(left) < rank(right); });
}

ConfigurationPieceRequests ConfigurationDownload::request_more() {
  ConfigurationPieceRequests requests;
  // The first piece states the document's size, and most documents fit into it: until it arrives,
  // no further piece is requested.
  const std::uint64_t end = document_bytes_ == 0
                                ? kConfigurationPieceBytes
                                : std::min(document_bytes_, received_.size() + kWindowBytes);
  for (; requested_to_ < end; requested_to_ += kConfigurationPieceBytes) {
    const PeerId holder = least_loaded_holder();
    pending_[requested_to_] = holder;
    requests.push_back({holder, version_, requested_to_});
  }
  return requests;
}

std::optional<std::string> ConfigurationDownload::take_document() {
  if (document_bytes_ == 0 || received_.size() < document_bytes_) return std::nullopt;
  std::string document = std::move(received_);
  restart(version_);
  holders_.clear();
  return document;
}

void ConfigurationDownload::on_in_force(std::uint64_t version) {
  if (version < version_) return;
  restart(0);
  holders_.clear();
}

}  // namespace pumicemast
