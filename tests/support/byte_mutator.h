/// Creates malformed input from valid input, reproducibly from a seed.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace pumicemast::tests {

class ByteMutator {
 public:
  /// @param dictionary  tokens of the format, inserted at random positions.
  ByteMutator(std::uint64_t seed, std::vector<std::string> dictionary)
      : random_(seed), dictionary_(std::move(dictionary)) {}

  /// Returns `good` with one to eight random changes.
  std::string mutate(std::string good) {
    const std::size_t changes = 1 + below(kMaximumChanges);
    for (std::size_t change = 0; change < changes; ++change) apply_change(good);
    return good;
  }

  /// Returns `good` with one value, at any depth, replaced by one of unusual type or size.
  nlohmann::json mutate_document(const nlohmann::json& good) {
    std::vector<nlohmann::json::json_pointer> pointers;
    list_pointers(good, nlohmann::json::json_pointer(), pointers);
    nlohmann::json bad = good;
    bad[pointers[below(pointers.size())]] = unusual_value();
    return bad;
  }

  /// Splits `bytes` into pieces of random lengths.
  std::vector<std::string_view> cut(std::string_view bytes) {
    std::vector<std::string_view> pieces;
    while (!bytes.empty()) {
      const std::size_t length = std::min(bytes.size(), 1 + below(kMaximumPieceBytes));
      pieces.push_back(bytes.substr(0, length));
      bytes.remove_prefix(length);
    }
    return pieces;
  }

  std::size_t below(std::size_t limit) { return static_cast<std::size_t>(random_() % limit); }

 private:
  static constexpr std::size_t kMaximumChanges = 8;
  static constexpr std::size_t kMaximumPieceBytes = 40;
  static constexpr std::size_t kByteValues = 256;

  void apply_change(std::string& bytes) {
    const std::size_t position = below(bytes.size() + 1);
    const std::size_t length = below(bytes.size() - position + 1);
    switch (below(6)) {
      case 0:
        if (position < bytes.size()) bytes[position] = static_cast<char>(below(kByteValues));
        return;
      case 1:
        bytes.insert(position, 1, static_cast<char>(below(kByteValues)));
        return;
      case 2:
        bytes.erase(position, std::min(length, kMaximumPieceBytes));
        return;
      case 3:
        bytes.insert(position, bytes.substr(position, std::min(length, kMaximumPieceBytes)));
        return;
      case 4:
        bytes.resize(position);
        return;
      default:
        bytes.insert(position, dictionary_[below(dictionary_.size())]);
    }
  }

  static void list_pointers(const nlohmann::json& value,
                            const nlohmann::json::json_pointer& pointer,
                            std::vector<nlohmann::json::json_pointer>& pointers) {
    pointers.push_back(pointer);
    if (value.is_object()) {
      for (const auto& [key, inner] : value.items()) list_pointers(inner, pointer / key, pointers);
    }
    if (value.is_array()) {
      for (std::size_t at = 0; at < value.size(); ++at)
        list_pointers(value[at], pointer / at, pointers);
    }
  }

  nlohmann::json unusual_value() {
    const std::array<nlohmann::json, 14> values = {
        nlohmann::json(),
        true,
        0,
        -1,
        INT64_MAX,
        UINT64_MAX,
        1e300,
        -1e300,
        0.5,
        "",
        "x",
        std::string(300, 'y'),
        nlohmann::json::array({1, "a", nullptr}),
        nlohmann::json::object({{"a", 1}}),
    };
    return values[below(values.size())];
  }

  std::mt19937_64 random_;
  std::vector<std::string> dictionary_;
};

}  // namespace pumicemast::tests
