/// Results of a run, printed as lines `figure NAME VALUE UNIT`.
#pragma once

#include <string>
#include <vector>

namespace pumicemast {

struct Figure {
  std::string name;
  double value = 0;
  std::string unit;
};

class Figures {
 public:
  void add(const std::string& name, double value, const std::string& unit) {
    figures_.push_back({name, value, unit});
  }
  const std::vector<Figure>& all() const { return figures_; }
  /// One line per figure; six significant digits.
  std::string format() const;

 private:
  std::vector<Figure> figures_;
};

}  // namespace pumicemast
