/// Header fields of an HTTP message.
#pragma once

#include <cstddef>
#include <iterator>
#include <string>
#include <string_view>

namespace pumicemast {

/// Whether two field names are equal: their case does not matter.
bool equal_names(std::string_view left, std::string_view right);

/// The fields of one message, in the order received.
///
/// They are kept in one block of text. A message may have one field per four bytes, so that an
/// allocation per field would cost many times the bytes received.
class HttpFields {
 public:
  struct Field {
    std::string_view name;
    std::string_view value;
  };

  class Iterator {
   public:
    using iterator_category = std::input_iterator_tag;
    using value_type = Field;
    using difference_type = std::ptrdiff_t;
    using pointer = const Field*;
    using reference = const Field&;

    /// @param rest  text of the field and all that follow it.
    explicit Iterator(std::string_view rest) : rest_(rest) { read(); }
    const Field& operator*() const { return field_; }
    const Field* operator->() const { return &field_; }
    Iterator& operator++();
    bool operator==(const Iterator& other) const { return rest_.size() == other.rest_.size(); }

   private:
    void read();

    std::string_view rest_;
    Field field_;
  };

  /// @param name   a token, so that it has no colon.
  /// @param value  without control bytes other than a tab.
  void append(std::string_view name, std::string_view value);

  Iterator begin() const { return Iterator(text_); }
  Iterator end() const { return Iterator(std::string_view(text_).substr(text_.size())); }
  /// The first field of that name, or end().
  Iterator find(std::string_view name) const;
  bool contains(std::string_view name) const { return find(name) != end(); }

  /// Bytes of memory that the fields take besides this object.
  std::size_t allocated_bytes() const;
  /// Releases memory that is reserved for further fields.
  void shrink_to_fit() { text_.shrink_to_fit(); }

 private:
  std::string text_;  ///< "name:value\n" of each field.
};

}  // namespace pumicemast
