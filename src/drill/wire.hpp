// Text protocol of the adapter: fields of a line and settings.
#ifndef MERLINRUN_DRILL_WIRE_HPP_
#define MERLINRUN_DRILL_WIRE_HPP_

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "merlinrun/balancer.hpp"

namespace merlinrun::drill {

// Describes a malformed line; Host adds the line number.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The space-separated fields of one line, read from left to right.
class Fields {
 public:
  explicit Fields(std::string_view line) : rest_(line) {}
  std::string_view Word(const char* what);                    // never empty
  std::optional<std::int64_t> OptionalInt(const char* what);  // `-` = absent
  std::int64_t Int(const char* what);
  std::int64_t NonNegative(const char* what);
  std::uint64_t Unsigned(const char* what);
  double Number(const char* what);
  bool Bool(const char* what);
  std::string_view Rest();  // the remaining text
  void End();               // throws unless all fields were read

 private:
  std::string_view rest_;
  bool has_more_ = true;
};

// Settings of an instance, and the names that the protocol uses for zone and machine type indices.
struct WireSettings {
  Settings settings;
  std::vector<std::string> zones;
  std::vector<std::string> machines;
};

WireSettings ParseSettings(std::string_view pairs);
Result ParseResult(std::string_view word);
LoadReport ParseLoad(std::string_view pairs);   // `-` = no report
std::string ParseHex(std::string_view digits);  // `-` = empty
ServerInfo::State ParseState(std::string_view word);

// Returns the index of a name in a list, or -1.
int IndexOf(const std::vector<std::string>& names, std::string_view name);

}  // namespace merlinrun::drill

#endif  // MERLINRUN_DRILL_WIRE_HPP_
