/// Fetches a configuration document from other gateways piece by piece.
///
/// A decision core: no I/O. A document of a megabyte takes a second over a busy link. If it were
/// requested as a whole, a slow holder could not be told from one that does not answer, and each
/// request would queue a full copy at the holder. With pieces, each arrival shows progress, a
/// holder queues only a few pieces per requesting gateway, and received pieces need not be sent
/// again when another holder takes over.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "swarm/swarm_membership.h"

namespace pumicemast {

/// A contiguous part of the document of one version.
struct ConfigurationPiece {
  std::uint64_t version = 0;
  std::uint64_t document_bytes = 0;  ///< Size of the whole document.
  std::uint64_t offset = 0;
  std::string_view bytes;
};

struct ConfigurationPieceRequest {
  PeerId gateway = 0;
  std::uint64_t version = 0;  ///< 0 for the newest that the holder has.
  std::uint64_t offset = 0;
};

using ConfigurationPieceRequests = std::vector<ConfigurationPieceRequest>;

/// Largest size of a piece. 24 pieces a second fill a link of 6 Mbit/s. A link of 40 Mbit/s carries
/// one in 7 ms, which bounds how long other messages on the connection wait behind it.
constexpr std::uint64_t kConfigurationPieceBytes = 32U * 1024U;

class ConfigurationDownload {
 public:
  /// @param self  seeds the hash order of equally loaded holders, which differs between processes.
  explicit ConfigurationDownload(PeerId self) : self_(self) {}

  /// Requests the missing pieces from `gateway` alone, which has `newest` in force. An older
  /// version of which at least half has arrived is finished; any other version is discarded in
  /// favour of `newest`.
  ConfigurationPieceRequests begin(PeerId gateway, std::uint64_t newest);
  /// A gateway of the same zone advertises the version that it has in force. If that version is
  /// being fetched, remaining pieces are requested from this gateway too, so that the first holder
  /// does not serve all others alone. If a current holder advertises a newer version and less than
  /// half of the document has arrived, the download switches to the newer version.
  ConfigurationPieceRequests on_version_advertised(PeerId gateway, std::uint64_t newest);
  /// @return the pieces to request next; take_document() tells whether this was the last piece.
  ConfigurationPieceRequests on_piece(const ConfigurationPiece& piece);
  /// Whether the last piece contained new data.
  bool progressed() const { return progressed_; }
  /// The complete document when all pieces have arrived; returned only once.
  std::optional<std::string> take_document();
  /// The version that is being fetched or was taken last.
  std::uint64_t version() const { return version_; }
  /// `version` is in force here: a download of it or of an older version ends.
  void on_in_force(std::uint64_t version);

 private:
  bool half_received() const {
    return document_bytes_ > 0 && 2 * received_.size() >= document_bytes_;
  }
  void restart(std::uint64_t version);
  /// Appends out-of-order pieces that now follow the received bytes without a gap.
  void append_contiguous();
  /// The holder with the fewest outstanding pieces, so that faster holders are asked for more.
  PeerId least_loaded_holder() const;
  ConfigurationPieceRequests request_more();

  PeerId self_;
  std::set<PeerId> holders_;  ///< Gateways that are asked for pieces; empty without a download.
  std::uint64_t version_ = 0;
  std::uint64_t document_bytes_ = 0;  ///< 0 until the first piece has arrived.
  std::string received_;              ///< Received from offset 0 on, without gaps.
  /// Pieces behind a gap, by offset: pieces from two holders arrive in any order.
  std::map<std::uint64_t, std::string> out_of_order_;
  std::map<std::uint64_t, PeerId> pending_;  ///< Holders of outstanding pieces, by offset.
  std::uint64_t requested_to_ = 0;           ///< End of the bytes that were requested.
  bool progressed_ = false;
};

}  // namespace pumicemast
