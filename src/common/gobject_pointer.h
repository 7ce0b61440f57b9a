/// Owning pointer for GObject references.
#pragma once

#include <glib-object.h>

#include <utility>

namespace pumicemast {

/// Holds one reference and drops it on destruction.
template <class Object>
class GObjectPointer {
 public:
  GObjectPointer() = default;
  /// Takes over an existing reference (transfer full).
  static GObjectPointer adopt(Object* object) {
    GObjectPointer pointer;
    pointer.object_ = object;
    return pointer;
  }
  /// Adds a reference of its own (transfer none).
  static GObjectPointer share(Object* object) {
    return adopt(static_cast<Object*>(g_object_ref(object)));
  }
  GObjectPointer(const GObjectPointer& other) : object_(other.object_) {
    if (object_ != nullptr) g_object_ref(object_);
  }
  GObjectPointer(GObjectPointer&& other) noexcept
      : object_(std::exchange(other.object_, nullptr)) {}
  GObjectPointer& operator=(GObjectPointer other) noexcept {
    std::swap(object_, other.object_);
    return *this;
  }
  ~GObjectPointer() {
    if (object_ != nullptr) g_object_unref(object_);
  }
  Object* get() const { return object_; }
  explicit operator bool() const { return object_ != nullptr; }

 private:
  Object* object_ = nullptr;
};

}  // namespace pumicemast
