// Definitions of AVPs and commands (RFC 6733, sections 4.5, 5 and 6). The base protocol is built in; an
// application adds its own.
#ifndef MERLINRUN_DIAMETER_DICTIONARY_HPP_
#define MERLINRUN_DIAMETER_DICTIONARY_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "diameter/codec.hpp"

namespace merlinrun::diameter {

// AVP codes of the base protocol that are used here.
namespace avp {
inline constexpr std::uint32_t kProxyState = 33;
inline constexpr std::uint32_t kEventTimestamp = 55;
inline constexpr std::uint32_t kHostIpAddress = 257;
inline constexpr std::uint32_t kAuthApplicationId = 258;
inline constexpr std::uint32_t kAcctApplicationId = 259;
inline constexpr std::uint32_t kVendorSpecificApplicationId = 260;
inline constexpr std::uint32_t kSessionId = 263;
inline constexpr std::uint32_t kOriginHost = 264;
inline constexpr std::uint32_t kSupportedVendorId = 265;
inline constexpr std::uint32_t kVendorId = 266;
inline constexpr std::uint32_t kFirmwareRevision = 267;
inline constexpr std::uint32_t kResultCode = 268;
inline constexpr std::uint32_t kProductName = 269;
inline constexpr std::uint32_t kDisconnectCause = 273;
inline constexpr std::uint32_t kOriginStateId = 278;
inline constexpr std::uint32_t kFailedAvp = 279;
inline constexpr std::uint32_t kProxyHost = 280;
inline constexpr std::uint32_t kErrorMessage = 281;
inline constexpr std::uint32_t kRouteRecord = 282;
inline constexpr std::uint32_t kDestinationRealm = 283;
inline constexpr std::uint32_t kProxyInfo = 284;
inline constexpr std::uint32_t kDestinationHost = 293;
inline constexpr std::uint32_t kErrorReportingHost = 294;
inline constexpr std::uint32_t kOriginRealm = 296;
inline constexpr std::uint32_t kInbandSecurityId = 299;
}  // namespace avp

// Command codes of the base protocol.
inline constexpr std::uint32_t kCapabilitiesExchange = 257;
inline constexpr std::uint32_t kDeviceWatchdog = 280;
inline constexpr std::uint32_t kDisconnectPeer = 282;

// Relay application (RFC 6733, section 2.4): has every application in common with its peers.
inline constexpr std::uint32_t kRelayApplication = 0xffffffff;

// Data formats (RFC 6733, sections 4.2 and 4.3).
enum class Format {
  kOctets,
  kInteger32,
  kInteger64,
  kUnsigned32,
  kUnsigned64,
  kFloat32,
  kFloat64,
  kGrouped,
  kAddress,
  kTime,
  kUtf8,
  kIdentity,
  kUri,
  kEnumerated,
};

std::optional<Format> ParseFormat(std::string_view name);
// Minimum size of the data in bytes.
std::size_t MinDataSize(Format format);
// Whether the data is valid for the format; members of groups are checked by ValidateMessage.
bool IsValidData(Format format, std::string_view data);

// Requirement on the M bit.
enum class Mandatory { kMust, kMay, kMustNot };

struct AvpRule {
  std::string name;
  std::uint32_t code = 0;
  std::uint32_t vendor = 0;  // 0 = none
  Format format = Format::kOctets;
  Mandatory mandatory = Mandatory::kMust;
};

// How often an AVP may occur in a message.
struct AvpOccurrence {
  std::uint32_t code = 0;
  std::uint32_t vendor = 0;
  std::size_t min_count = 0;
  std::size_t max_count = 0;  // 0 = unlimited
};

struct CommandRule {
  std::string name;  // RFC abbreviation without the final R or A: "CE"
  std::uint32_t code = 0;
  std::uint32_t application = 0;
  bool proxiable = false;
  std::vector<AvpOccurrence> request;
  std::vector<AvpOccurrence> answer;
};

class Dictionary {
 public:
  // Only the base protocol.
  static Dictionary Base();

  // False if the code or name is already defined.
  bool Add(AvpRule rule);
  bool Add(CommandRule rule);
  const AvpRule* FindAvp(std::uint32_t code, std::uint32_t vendor = 0) const;
  const AvpRule* FindAvp(std::string_view name) const;
  const CommandRule* FindCommand(std::uint32_t code, std::uint32_t application) const;
  const std::vector<AvpRule>& avps() const { return avps_; }
  const std::vector<CommandRule>& commands() const { return commands_; }

 private:
  static std::uint64_t Key(std::uint32_t code, std::uint32_t other) {
    return std::uint64_t{other} << 32 | code;
  }
  std::vector<AvpRule> avps_;
  std::vector<CommandRule> commands_;
  std::unordered_map<std::uint64_t, std::size_t> avp_index_;
  std::unordered_map<std::uint64_t, std::size_t> command_index_;
};

// How strictly a message is validated. A relay checks what it uses and forwards the rest unchanged, including
// unknown AVPs (RFC 6733, section 4.1 on the M bit).
enum class NodeRole { kEndpoint, kRelay };

// Checks header bits, AVP values, groups down to kMaxGroupDepth, and how often each AVP of the command
// occurs. Returns the first error, if any.
inline constexpr int kMaxGroupDepth = 8;
std::optional<MessageError> ValidateMessage(const Message& message, const Dictionary& dictionary,
                                            const CommandRule& rule, NodeRole role);

}  // namespace merlinrun::diameter

#endif  // MERLINRUN_DIAMETER_DICTIONARY_HPP_
