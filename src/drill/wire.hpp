// The text wire of the bench: fields of a line, the settings, and the actions as lines. Takes no decisions.
#ifndef MERLINRUN_DRILL_WIRE_HPP_
#define MERLINRUN_DRILL_WIRE_HPP_

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "merlinrun/balancer.hpp"

namespace merlinrun::drill {

// What is wrong with a line; the host adds where it stands.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The fields of one line, taken from left to right.
class Fields {
 public:
  explicit Fields(std::string_view line) : rest_(line) {}
  std::string_view Word(const char* what);                    // never empty
  std::optional<std::int64_t> OptionalInt(const char* what);  // `-` is absent
  std::int64_t Int(const char* what);
  std::int64_t NonNegative(const char* what);
  std::uint64_t Unsigned(const char* what);
  double Number(const char* what);
  bool Bool(const char* what);
  std::string_view Rest();  // all that is left
  void End();               // nothing may be left

 private:
  std::string_view rest_;
  bool any_left_ = true;
};

// What the adapter needs of an instance's settings: the module's own, and the names that the wire uses for
// indices.
struct WireSettings {
  Settings settings;
  std::vector<std::string> zones;
  std::vector<std::string> machines;
};

WireSettings ParseSettings(std::string_view pairs);
Result ParseResult(std::string_view word);
LoadReport ParseLoad(std::string_view pairs);   // `-` is no report
std::string ParseHex(std::string_view digits);  // `-` is empty
ServerInfo::State ParseState(std::string_view word);

// The index of a name in a list, or -1.
int IndexOf(const std::vector<std::string>& names, std::string_view name);

}  // namespace merlinrun::drill

#endif  // MERLINRUN_DRILL_WIRE_HPP_
