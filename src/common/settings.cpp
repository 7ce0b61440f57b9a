#include "common/settings.h"

#include <gio/gio.h>

#include <charconv>
#include <cmath>
#include <fstream>

namespace pumicemast {
namespace {

constexpr char kUrlScheme[] = "http://";
constexpr int kMaximumPort = 65535;

std::string trimmed(const std::string& text) {
  const auto first = text.find_first_not_of(" \t\r");
  if (first == std::string::npos) return {};
  const auto last = text.find_last_not_of(" \t\r");
  return text.substr(first, last - first + 1);
}

std::vector<std::string> split_list(const std::string& text) {
  std::vector<std::string> parts;
  std::string::size_type begin = 0;
  while (begin <= text.size()) {
    const auto end = std::min(text.find(';', begin), text.size());
    const std::string part = trimmed(text.substr(begin, end - begin));
    if (!part.empty()) parts.push_back(part);
    begin = end + 1;
  }
  return parts;
}

template <class Number>
std::optional<Number> parse_number(const std::string& text) {
  Number number{};
  const char* end = text.data() + text.size();
  const auto [stop, failure] = std::from_chars(text.data(), end, number);
  if (failure != std::errc() || stop != end) return std::nullopt;
  return number;
}

/// Line numbers for findings; GKeyFile does not keep them.
std::map<std::pair<std::string, std::string>, int> key_lines(const std::string& path) {
  std::map<std::pair<std::string, std::string>, int> lines;
  std::ifstream stream(path);
  std::string line;
  std::string section;
  for (int number = 1; std::getline(stream, line); ++number) {
    const std::string text = trimmed(line);
    if (text.empty() || text[0] == '#') continue;
    if (text.front() == '[' && text.back() == ']') {
      section = text.substr(1, text.size() - 2);
      lines[{section, ""}] = number;
      continue;
    }
    const auto equals = text.find('=');
    if (equals != std::string::npos) lines[{section, trimmed(text.substr(0, equals))}] = number;
  }
  return lines;
}

}  // namespace

std::optional<Address> parse_address(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  const std::string host = text.substr(0, colon);
  GInetAddress* number = g_inet_address_new_from_string(host.c_str());
  if (number == nullptr) return std::nullopt;
  g_object_unref(number);
  const auto port = parse_number<int>(text.substr(colon + 1));
  if (!port || *port < 1 || *port > kMaximumPort) return std::nullopt;
  return Address{host, static_cast<std::uint16_t>(*port)};
}

Settings::Settings(std::string path, Findings& findings)
    : path_(std::move(path)),
      findings_(findings),
      file_(g_key_file_new(), &g_key_file_unref),
      lines_(key_lines(path_)) {
  GError* error = nullptr;
  loaded_ = g_key_file_load_from_file(file_.get(), path_.c_str(), G_KEY_FILE_NONE, &error) != 0;
  if (!loaded_) {
    findings_.add({path_, 0, "", "", error->message});
    g_error_free(error);
  }
}

void Settings::override_value(const std::string& section, const std::string& key,
                              const std::string& value) {
  g_key_file_set_string(file_.get(), section.c_str(), key.c_str(), value.c_str());
}

std::optional<std::string> Settings::find(const std::string& section, const std::string& key) {
  requested_.insert({section, key});
  gchar* value = g_key_file_get_string(file_.get(), section.c_str(), key.c_str(), nullptr);
  if (value == nullptr) return std::nullopt;
  std::string text = trimmed(value);
  g_free(value);
  return text;
}

void Settings::add_finding(const std::string& section, const std::string& key,
                           const std::string& reason) {
  if (!loaded_) return;  // The load failure is the one finding that matters.
  const auto line = lines_.find({section, key});
  findings_.add({path_, line == lines_.end() ? 0 : line->second, section, key, reason});
}

std::string Settings::required_string(const std::string& section, const std::string& key) {
  const auto text = find(section, key);
  if (!text || text->empty()) {
    add_finding(section, key, "missing; a value is required");
    return {};
  }
  return *text;
}

std::string Settings::string_or(const std::string& section, const std::string& key,
                                std::string fallback) {
  return find(section, key).value_or(std::move(fallback));
}

std::int64_t Settings::integer_or(const std::string& section, const std::string& key,
                                  std::int64_t fallback, Range range) {
  const auto text = find(section, key);
  if (!text) return fallback;
  const auto number = parse_number<std::int64_t>(*text);
  if (!number) {
    add_finding(section, key, "\"" + *text + "\" is not a whole number");
    return fallback;
  }
  if (*number < range.minimum || *number > range.maximum) {
    add_finding(section, key,
                *text + " is outside " + std::to_string(range.minimum) + " to " +
                    std::to_string(range.maximum));
    return fallback;
  }
  return *number;
}

double Settings::number_or(const std::string& section, const std::string& key, double fallback,
                           double minimum, double maximum) {
  const auto text = find(section, key);
  if (!text) return fallback;
  const auto number = parse_number<double>(*text);
  if (!number || !std::isfinite(*number)) {
    add_finding(section, key, "\"" + *text + "\" is not a number");
    return fallback;
  }
  if (*number < minimum || *number > maximum) {
    add_finding(
        section, key,
        *text + " is outside " + std::to_string(minimum) + " to " + std::to_string(maximum));
    return fallback;
  }
  return *number;
}

bool Settings::boolean_or(const std::string& section, const std::string& key, bool fallback) {
  const auto text = find(section, key);
  if (!text) return fallback;
  if (*text == "true") return true;
  if (*text == "false") return false;
  add_finding(section, key, "\"" + *text + "\" is neither true nor false");
  return fallback;
}

Duration Settings::milliseconds_or(const std::string& section, const std::string& key,
                                   std::int64_t fallback_ms, Range range_ms) {
  return milliseconds(integer_or(section, key, fallback_ms, range_ms));
}

std::string Settings::choice(const std::string& section, const std::string& key,
                             const std::vector<std::string>& choices) {
  const auto text = find(section, key);
  if (!text) return choices.front();
  std::string names;
  for (const std::string& candidate : choices) {
    if (candidate == *text) return candidate;
    names += (names.empty() ? "" : ", ") + candidate;
  }
  add_finding(section, key, "\"" + *text + "\" is not one of " + names);
  return choices.front();
}

Address Settings::required_address(const std::string& section, const std::string& key) {
  const std::string text = required_string(section, key);
  const auto address = parse_address(text);
  if (!address && !text.empty()) {
    add_finding(section, key, "\"" + text + "\" is not IP:PORT");
  }
  return address.value_or(Address{});
}

std::vector<Address> Settings::parse_addresses(const std::string& section, const std::string& key,
                                               const std::string& text) {
  std::vector<Address> addresses;
  for (const std::string& item : split_list(text)) {
    const auto address = parse_address(item);
    if (address) {
      addresses.push_back(*address);
    } else {
      add_finding(section, key, "\"" + item + "\" is not IP:PORT");
    }
  }
  return addresses;
}

std::vector<Address> Settings::required_addresses(const std::string& section,
                                                  const std::string& key) {
  return parse_addresses(section, key, required_string(section, key));
}

std::vector<Address> Settings::addresses_or_none(const std::string& section,
                                                 const std::string& key) {
  return parse_addresses(section, key, string_or(section, key, ""));
}

std::string Settings::required_url(const std::string& section, const std::string& key) {
  const std::string text = required_string(section, key);
  if (text.empty()) return text;
  const std::string scheme = kUrlScheme;
  if (text.rfind(scheme, 0) != 0 || !parse_address(text.substr(scheme.size()))) {
    add_finding(section, key, "\"" + text + "\" is not http://IP:PORT");
  }
  return text;
}

void Settings::require(bool condition, const std::string& section, const std::string& key,
                       const std::string& reason) {
  if (!condition) add_finding(section, key, reason);
}

void Settings::report_unknown() {
  if (!loaded_) return;
  gsize group_count = 0;
  gchar** groups = g_key_file_get_groups(file_.get(), &group_count);
  for (gsize group = 0; group < group_count; ++group) {
    gsize key_count = 0;
    gchar** keys = g_key_file_get_keys(file_.get(), groups[group], &key_count, nullptr);
    for (gsize key = 0; key < key_count; ++key) {
      if (!requested_.contains({groups[group], keys[key]})) {
        add_finding(groups[group], keys[key], "unknown key");
      }
    }
    g_strfreev(keys);
  }
  g_strfreev(groups);
}

}  // namespace pumicemast
