/// Fetches a configuration document from another gateway piece by piece.
///
/// A decision core: no I/O. A document of a megabyte takes a second over a busy link. Asked for as
/// a whole, nobody could tell a slow answer from none, and a copy lay queued at the holder for each
/// request. In pieces, each one that arrives shows progress, a holder keeps a few pieces for each
/// gateway that asks, and what has arrived need not be sent again by another holder.
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

/// A part of the document of one version.
struct ConfigurationPiece {
  std::uint64_t version = 0;
  std::uint64_t document_bytes = 0;  ///< Of the whole.
  std::uint64_t offset = 0;
  std::string_view bytes;
};

struct ConfigurationPieceRequest {
  PeerId gateway = 0;
  std::uint64_t version = 0;  ///< 0 for the newest that the holder has.
  std::uint64_t offset = 0;
};

using ConfigurationPieceRequests = std::vector<ConfigurationPieceRequest>;

/// One piece. With 24 of them a second a link of 6 Mbit/s is full; a link of 40 Mbit/s carries one
/// in 7 ms, for which other messages on the connection wait at most.
constexpr std::uint64_t kConfigurationPieceBytes = 32U * 1024U;

class ConfigurationDownload {
 public:
  /// @param self  sets apart whom different processes ask first among equals.
  explicit ConfigurationDownload(PeerId self) : self_(self) {}

  /// Asks `gateway`, which has `newest` in force, for what is missing, and nobody else any more.
  /// What has arrived of another version is kept and finished if it is half of it or more.
  ConfigurationPieceRequests begin(PeerId gateway, std::uint64_t newest);
  /// A near gateway tells which version it has. If it is the one that is fetched, what is left is
  /// asked of it as well, so that who had it first does not serve all others alone. If it is newer
  /// at a gateway that is asked, a download that has just begun turns to it.
  ConfigurationPieceRequests on_version_advertised(PeerId gateway, std::uint64_t newest);
  /// @return what to ask for next; take_document() then says whether it was the last piece.
  ConfigurationPieceRequests on_piece(const ConfigurationPiece& piece);
  /// Whether the last piece brought something new.
  bool progressed() const { return progressed_; }
  /// The whole document once all pieces have arrived, once.
  std::optional<std::string> take_document();
  /// That is fetched, or was taken last.
  std::uint64_t version() const { return version_; }
  /// `version` is in force here: nothing up to it is needed any more.
  void on_in_force(std::uint64_t version);

 private:
  bool half_received() const {
    return document_bytes_ > 0 && 2 * received_.size() >= document_bytes_;
  }
  void restart(std::uint64_t version);
  /// Appends early pieces that no gap is before any more.
  void append_contiguous();
  /// Who is asked next: the one with the fewest pieces asked for and not arrived. Who answers
  /// faster is asked for more.
  PeerId least_loaded_holder() const;
  ConfigurationPieceRequests request_more();

  PeerId self_;
  std::set<PeerId> holders_;  ///< Who is asked; empty while nothing is wanted.
  std::uint64_t version_ = 0;
  std::uint64_t document_bytes_ = 0;  ///< 0 until the first piece has told.
  std::string received_;              ///< From the beginning on, without gaps.
  /// Pieces behind a gap, by offset: two holders answer in no common order.
  std::map<std::uint64_t, std::string> out_of_order_;
  std::map<std::uint64_t, PeerId> pending_;  ///< Asked for, by offset.
  std::uint64_t requested_to_ = 0;           ///< Bytes up to here were asked for.
  bool progressed_ = false;
};

}  // namespace pumicemast
