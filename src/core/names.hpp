// Looks up classes and tenants by name.
#ifndef MERLINRUN_CORE_NAMES_HPP_
#define MERLINRUN_CORE_NAMES_HPP_

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "merlinrun/balancer.hpp"

namespace merlinrun::core {

// Replaces spaces and commas by underscores, as names are stored in the settings.
inline std::string NormalizeName(std::string_view name) {
  std::string out(name);
  std::replace_if(
      out.begin(), out.end(), [](char c) { return c == ' ' || c == ','; }, '_');
  return out;
}

template <typename Named>
int IndexByName(const std::vector<Named>& list, std::string_view name) {
  const std::string wire_name = NormalizeName(name);
  const auto it = std::find_if(list.begin(), list.end(), [&](const Named& n) { return n.name == wire_name; });
  return it == list.end() ? -1 : static_cast<int>(it - list.begin());
}

// The index of the class in the settings, or -1.
inline int ClassIndex(const Settings& settings, std::string_view name) {
  return IndexByName(settings.classes, name);
}

// The index of the tenant in the settings, or -1.
inline int TenantIndex(const Settings& settings, std::string_view name) {
  return IndexByName(settings.tenants, name);
}

}  // namespace merlinrun::core

#endif  // MERLINRUN_CORE_NAMES_HPP_
