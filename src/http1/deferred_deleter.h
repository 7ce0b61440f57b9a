/// Destroys objects after the current loop iteration, so that an object may be released within its
/// own callback.
#pragma once

#include <glib.h>

#include <functional>
#include <memory>
#include <vector>

namespace pumicemast {

class DeferredDeleter {
 public:
  DeferredDeleter() = default;
  ~DeferredDeleter() {
    if (source_ != 0) g_source_remove(source_);
  }
  DeferredDeleter(const DeferredDeleter&) = delete;
  DeferredDeleter& operator=(const DeferredDeleter&) = delete;

  template <class Object>
  void defer(std::unique_ptr<Object> object) {
    objects_.emplace_back(std::shared_ptr<void>(std::move(object)));
    // The priority of sockets and timers: a lower one has no turn while sockets are always ready.
    if (source_ == 0) {
      source_ = g_idle_add_full(G_PRIORITY_DEFAULT, &DeferredDeleter::clear, this, nullptr);
    }
  }

 private:
  static gboolean clear(gpointer self) {
    auto* deleter = static_cast<DeferredDeleter*>(self);
    deleter->source_ = 0;
    const auto objects = std::move(deleter->objects_);
    deleter->objects_.clear();
    return G_SOURCE_REMOVE;
  }

  std::vector<std::shared_ptr<void>> objects_;
  guint source_ = 0;
};

}  // namespace pumicemast
