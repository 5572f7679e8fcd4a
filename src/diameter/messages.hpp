// Base protocol messages between peers (RFC 6733, sections 5.3 to 5.5 and 7.2) and the evaluation of a
// capabilities exchange.
#ifndef MERLINRUN_DIAMETER_MESSAGES_HPP_
#define MERLINRUN_DIAMETER_MESSAGES_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "diameter/codec.hpp"
#include "diameter/dictionary.hpp"

namespace merlinrun::diameter {

// Disconnect-Cause (RFC 6733, section 5.4.3).
enum class DisconnectCause : std::uint32_t { kRebooting = 0, kBusy = 1, kDoNotWantToTalkToYou = 2 };

// This node's capabilities, as sent to peers.
struct Identity {
  std::string host;   // Origin-Host
  std::string realm;  // Origin-Realm
  std::string product = "fennelhollow";
  std::uint32_t vendor = 0;
  std::uint32_t state_id = 0;               // Origin-State-Id: increases with every start; 0 = not sent
  std::vector<std::string> addresses;       // Host-IP-Address data: family and address
  std::vector<std::uint32_t> applications;  // Auth-Application-Ids; kRelayApplication stands for any
};

// A peer's capabilities from its CER or CEA.
struct PeerCapabilities {
  std::string host;
  std::string realm;
  std::uint32_t state_id = 0;  // 0 = absent
  std::vector<std::uint32_t> applications;
};

// DiameterIdentity in lower case; identities compare and sort without case (RFC 6733, section 4.3.1).
std::string LowerName(std::string_view name);
bool SameName(std::string_view a, std::string_view b);

// The data of a Host-IP-Address; `bytes` are the 4 or 16 bytes of an IPv4 or IPv6 address.
std::string AddressData(std::string_view bytes);

Message MakeCer(const Identity& self);
Message MakeDwr(const Identity& self);
Message MakeDpr(const Identity& self, DisconnectCause cause);
// The answer to a CER, DWR or DPR with the ids of the request.
Message MakeAnswer(const Identity& self, const Message& request, ResultCode code);
Message MakeCea(const Identity& self, const Message& cer);

// An error answer of this node: E bit for protocol errors, Failed-AVP and Error-Message if present,
// Session-Id and Proxy-Info copied from the request (sections 6.2 and 7.2).
Message MakeError(const Identity& self, const Header& header, std::string_view avps,
                  const MessageError& fault);
Message MakeError(const Identity& self, const Message& request, const MessageError& fault);

// Reads a CER or CEA. Fails if it is invalid, if there is no common application (5010) or no common security
// (5017), or if the sender has this node's name. Doesn't check whether the peer is allowed.
std::variant<PeerCapabilities, MessageError> ReadCapabilities(const Identity& self,
                                                              const Dictionary& dictionary,
                                                              const Message& message);

// The Result-Code of an answer; kNone if missing or invalid. Unknown codes are returned as they are.
ResultCode ResultCodeOf(const Message& answer);

}  // namespace merlinrun::diameter

#endif  // MERLINRUN_DIAMETER_MESSAGES_HPP_
