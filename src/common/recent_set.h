/// Set of the keys added within a recent span, in bounded memory.
#pragma once

#include <cstddef>
#include <unordered_set>
#include <utility>

#include "common/time.h"

namespace pumicemast {

/// A key is kept for `span` to twice as long after it was last added; beyond `capacity` keys within
/// one span, further ones are not kept.
template <class Key, class Hash = std::hash<Key>>
class RecentSet {
 public:
  RecentSet(Duration span, std::size_t capacity) : span_(span), capacity_(capacity) {}

  void add(const Key& key, TimePoint now) {
    rotate(now);
    if (newer_.size() < capacity_) newer_.insert(key);
  }
  bool contains(const Key& key, TimePoint now) {
    rotate(now);
    return newer_.contains(key) || older_.contains(key);
  }

 private:
  using Keys = std::unordered_set<Key, Hash>;

  void rotate(TimePoint now) {
    if (now - rotated_at_ < span_) return;
    older_ = now - rotated_at_ < span_ * 2 ? std::move(newer_) : Keys{};
    newer_ = Keys{};
    rotated_at_ = now;
  }

  Duration span_;
  std::size_t capacity_;
  TimePoint rotated_at_{};  ///< When `newer_` was last started.
  Keys newer_;
  Keys older_;
};

}  // namespace pumicemast
