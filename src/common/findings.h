/// Findings: faults of an input, collected with their place and reported together.
#pragma once

#include <string>
#include <vector>

namespace pumicemast {

/// One fault of a settings file, chart or experiment file.
struct Finding {
  std::string file;
  int line = 0;  ///< 1-based; 0 when the fault has no line, such as a missing key.
  std::string section;
  std::string key;
  std::string reason;

  /// `file:line: [section] key: reason`, leaving out the parts that are absent.
  std::string to_string() const;
};

/// Collects findings so that one run shows all of them.
class Findings {
 public:
  void add(Finding finding) { findings_.push_back(std::move(finding)); }
  bool empty() const { return findings_.empty(); }
  const std::vector<Finding>& all() const { return findings_; }
  /// Every finding on its own line, then `N findings; nothing was started`.
  std::string report() const;

 private:
  std::vector<Finding> findings_;
};

}  // namespace pumicemast
