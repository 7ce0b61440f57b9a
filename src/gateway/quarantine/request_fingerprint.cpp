#include "gateway/quarantine/request_fingerprint.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cstdio>
#include <cstring>

#include "gateway/quarantine/crash_suspect.h"
#include "gateway/quarantine/prompt_part.h"
#include "weights/sha256.h"

namespace pumicemast {
namespace {

std::string canonical_host(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return name;
}

/// Adds the length before the part, so that different lists of parts never give the same bytes.
void update_part(Sha256Stream& digest, std::string_view part) {
  const std::uint64_t length = part.size();
  std::array<char, sizeof(length)> bytes{};
  std::memcpy(bytes.data(), &length, sizeof(length));
  digest.update({bytes.data(), bytes.size()});
  digest.update(part);
}

RequestFingerprint finish(Sha256Stream& digest) {
  const Sha256 whole = digest.finish();
  RequestFingerprint result;
  std::memcpy(&result.high, whole.data(), sizeof(result.high));
  std::memcpy(&result.low, whole.data() + sizeof(result.high), sizeof(result.low));
  return result;
}

}  // namespace

const char* to_string(SuspectKind kind) {
  return kind == SuspectKind::request ? "request" : "prompt_part";
}

std::string to_string(const RequestFingerprint& fingerprint) {
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(fingerprint.high),
                static_cast<unsigned long long>(fingerprint.low));
  return text.data();
}

std::optional<RequestFingerprint> parse_fingerprint(std::string_view text) {
  constexpr std::size_t kHalf = 16;
  constexpr int kHexadecimal = 16;
  if (text.size() != 2 * kHalf) return std::nullopt;
  RequestFingerprint result;
  const auto read = [&](std::string_view digits, std::uint64_t& value) {
    const char* end = digits.data() + digits.size();
    const auto [stopped, error] = std::from_chars(digits.data(), end, value, kHexadecimal);
    return error == std::errc{} && stopped == end;
  };
  if (!read(text.substr(0, kHalf), result.high) || !read(text.substr(kHalf), result.low)) {
    return std::nullopt;
  }
  return result;
}

RequestFingerprint fingerprint_content(std::string_view method, std::string_view host,
                                       std::string_view target, std::string_view body) {
  Sha256Stream digest;
  update_part(digest, method);
  update_part(digest, canonical_host(host));
  update_part(digest, target);
  update_part(digest, body);
  return finish(digest);
}

RequestFingerprint fingerprint_prompt_part(std::string_view service, std::string_view model,
                                           std::string_view part_id) {
  Sha256Stream digest;
  update_part(digest, service);
  update_part(digest, model);
  update_part(digest, part_id);
  return finish(digest);
}

RequestFingerprint fingerprint_for(const RequestFingerprint& content, std::string_view tenant) {
  Sha256Stream digest;
  update_part(digest, to_string(content));
  update_part(digest, tenant);
  return finish(digest);
}

}  // namespace pumicemast
