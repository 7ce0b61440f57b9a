/// The documents that a gateway serves to others: the one in force and the two before it.
///
/// A decision core: no I/O. Older versions are kept so that a gateway that is fetching one need not
/// restart after each change: with changes faster than a document crosses a link it would never
/// receive any.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "gateway/configuration/configuration_download.h"

namespace pumicemast {

class RecentConfigurations {
 public:
  /// Adds the version now in force, and drops the oldest beyond kMaximumVersions.
  void add(std::uint64_t version, std::string document) {
    documents_[version] = std::move(document);
    while (documents_.size() > kMaximumVersions) documents_.erase(documents_.begin());
  }
  /// The document in force, or null before the first one.
  const std::string* newest() const {
    return documents_.empty() ? nullptr : &documents_.rbegin()->second;
  }
  /// The piece of `version` that begins at `offset`. If that version is not kept, the first piece
  /// of the newest one. Empty when no document is kept or `offset` is past the end. The bytes stay
  /// valid until the next change.
  std::optional<ConfigurationPiece> piece(std::uint64_t version, std::uint64_t offset) const {
    if (documents_.empty()) return std::nullopt;
    const auto found = documents_.find(version);
    const bool kept = found != documents_.end();
    const auto& [held, document] = kept ? *found : *documents_.rbegin();
    const std::uint64_t begin = kept ? offset : 0;
    if (begin >= document.size()) return std::nullopt;
    const std::uint64_t count = std::min(kConfigurationPieceBytes, document.size() - begin);
    return ConfigurationPiece{held, document.size(), begin,
                              std::string_view(document).substr(begin, count)};
  }

 private:
  static constexpr std::size_t kMaximumVersions = 3;
  std::map<std::uint64_t, std::string> documents_;
};

}  // namespace pumicemast
