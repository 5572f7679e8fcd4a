// AVP codes of the example Diameter application (deploy/diameter.example.toml) used by the test peers.
#ifndef MERLINRUN_RIG_AVP_CODES_HPP_
#define MERLINRUN_RIG_AVP_CODES_HPP_

#include <cstdint>

namespace merlinrun::rig {

inline constexpr std::uint32_t kVendor = 32473;  // reserved for documentation, RFC 5612
inline constexpr std::uint32_t kCommand = 8388000;
inline constexpr std::uint32_t kClassCode = 1;
inline constexpr std::uint32_t kKeyCode = 4;
inline constexpr std::uint32_t kDeadlineCode = 5;
inline constexpr std::uint32_t kTokenCode = 6;
inline constexpr std::uint32_t kIdCode = 7;

}  // namespace merlinrun::rig

#endif  // MERLINRUN_RIG_AVP_CODES_HPP_
