#include "common/findings.h"

namespace pumicemast {

std::string Finding::to_string() const {
  std::string text = file;
  if (line > 0) text += ":" + std::to_string(line);
  text += ": ";
  if (!section.empty()) text += "[" + section + "] ";
  if (!key.empty()) text += key + ": ";
  return text + reason;
}

std::string Findings::report() const {
  std::string text;
  for (const Finding& finding : findings_) text += finding.to_string() + "\n";
  const char* noun = findings_.size() == 1 ? " finding" : " findings";
  return text + std::to_string(findings_.size()) + noun + "; nothing was started\n";
}

}  // namespace pumicemast
