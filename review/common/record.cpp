#include "common/record.hpp"

#include <cstdio>

namespace fennelhollow::review {

void Record::Line(const std::string& text) {
  char time[32];
  std::snprintf(time, sizeof time, "%9.3f s  ", Seconds());
  file_ << time << text << std::endl;
}

}  // namespace fennelhollow::review
