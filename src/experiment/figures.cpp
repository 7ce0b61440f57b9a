#include "experiment/figures.h"

#include <cstdio>

namespace pumicemast {

std::string Figures::format() const {
  std::string text;
  for (const Figure& figure : figures_) {
    char value[32];
    std::snprintf(value, sizeof(value), "%.6g", figure.value);
    text += "figure " + figure.name + " " + value + " " + figure.unit + "\n";
  }
  return text;
}

}  // namespace pumicemast
