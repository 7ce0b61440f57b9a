/// Checked INI settings on top of GKeyFile.
///
/// Every reader records a finding instead of failing, so that one start shows all
/// faults of a file. A key that no reader requested is a finding too.
#pragma once

#include <glib.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/findings.h"
#include "common/time.h"

namespace pumicemast {

/// An IP address and port. Host names are refused: processes connect by IP address.
struct Address {
  std::string host;
  std::uint16_t port = 0;

  std::string to_string() const { return host + ":" + std::to_string(port); }
  auto operator<=>(const Address&) const = default;
};

/// Parses `IP:PORT`; nullopt unless the host is an IP address and the port is 1-65535.
std::optional<Address> parse_address(const std::string& text);

/// Inclusive bounds of a whole-number setting.
struct Range {
  std::int64_t minimum;
  std::int64_t maximum;
};

/// Reads one INI file and remembers which keys were requested.
class Settings {
 public:
  /// Loads `path`. An unreadable or unparsable file is a finding.
  Settings(std::string path, Findings& findings);

  /// Replaces or adds one value, as given by `--set section.key=value`.
  void override_value(const std::string& section, const std::string& key, const std::string& value);

  std::string required_string(const std::string& section, const std::string& key);
  std::string string_or(const std::string& section, const std::string& key, std::string fallback);
  std::int64_t integer_or(const std::string& section, const std::string& key, std::int64_t fallback,
                          Range range);
  double number_or(const std::string& section, const std::string& key, double fallback,
                   double minimum, double maximum);
  bool boolean_or(const std::string& section, const std::string& key, bool fallback);
  /// Key in whole milliseconds.
  Duration milliseconds_or(const std::string& section, const std::string& key,
                           std::int64_t fallback_ms, Range range_ms);
  /// One of `choices`; the first is the default.
  std::string choice(const std::string& section, const std::string& key,
                     const std::vector<std::string>& choices);
  Address required_address(const std::string& section, const std::string& key);
  /// `;`-separated addresses; at least one.
  std::vector<Address> required_addresses(const std::string& section, const std::string& key);
  /// `;`-separated addresses; none when the key is absent or empty.
  std::vector<Address> addresses_or_none(const std::string& section, const std::string& key);
  /// An `http://IP:PORT` base address without a trailing slash.
  std::string required_url(const std::string& section, const std::string& key);

  /// Records a finding at a key unless `condition` holds; for rules between settings.
  void require(bool condition, const std::string& section, const std::string& key,
               const std::string& reason);

  /// Reports keys that no reader requested. Call after all readers.
  void report_unknown();

  const std::string& path() const { return path_; }

 private:
  std::optional<std::string> find(const std::string& section, const std::string& key);
  std::vector<Address> parse_addresses(const std::string& section, const std::string& key,
                                       const std::string& text);
  void add_finding(const std::string& section, const std::string& key, const std::string& reason);

  std::string path_;
  Findings& findings_;
  std::unique_ptr<GKeyFile, decltype(&g_key_file_unref)> file_;
  std::map<std::pair<std::string, std::string>, int> lines_;
  std::set<std::pair<std::string, std::string>> requested_;
  bool loaded_ = false;
};

}  // namespace pumicemast
