// The AVPs of the example application (deploy/diameter.example.toml) that the stand-ins write.
#ifndef MERLINRUN_RIG_NAMES_HPP_
#define MERLINRUN_RIG_NAMES_HPP_

#include <cstdint>

namespace merlinrun::rig {

inline constexpr std::uint32_t kVendor = 32473;  // RFC 5612: for documentation
inline constexpr std::uint32_t kCommand = 8388000;
inline constexpr std::uint32_t kClassCode = 1;
inline constexpr std::uint32_t kKeyCode = 4;
inline constexpr std::uint32_t kDeadlineCode = 5;
inline constexpr std::uint32_t kTokenCode = 6;
inline constexpr std::uint32_t kIdCode = 7;

}  // namespace merlinrun::rig

#endif  // MERLINRUN_RIG_NAMES_HPP_
