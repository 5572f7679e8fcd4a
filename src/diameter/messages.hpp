// The base protocol's messages between two peers (RFC 6733, sections 5.3 to 5.5 and 7.2), and what is made of
// a capabilities exchange.
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

// Why a peer is left (RFC 6733, section 5.4.3).
enum class DisconnectCause : std::uint32_t { kRebooting = 0, kBusy = 1, kDoNotWantToTalkToYou = 2 };

// This node, as it tells its peers.
struct Identity {
  std::string host;   // Origin-Host
  std::string realm;  // Origin-Realm
  std::string product = "fennelhollow";
  std::uint32_t vendor = 0;
  std::uint32_t state_id = 0;               // Origin-State-Id: grows with every start; 0 = not told
  std::vector<std::string> addresses;       // Host-IP-Address, as the AVP has them: family and address
  std::vector<std::uint32_t> applications;  // Auth-Application-Id; kRelayApplication says: any
};

// A peer, as it told in its CER or CEA.
struct PeerCapabilities {
  std::string host;
  std::string realm;
  std::uint32_t state_id = 0;  // 0 = not told
  std::vector<std::uint32_t> applications;
};

// A node's name or realm with its letters small: two are the same, and are put in order, without case (RFC
// 6733, section 4.3.1, DiameterIdentity).
std::string LowerName(std::string_view name);
bool SameName(std::string_view a, std::string_view b);

// An address as Host-IP-Address holds it; `bytes` are the 4 or 16 of an IPv4 or IPv6 address.
std::string AddressData(std::string_view bytes);

Message MakeCer(const Identity& self);
Message MakeDwr(const Identity& self);
Message MakeDpr(const Identity& self, DisconnectCause cause);
// The answer to a CER, DWR or DPR: their ids, and the given code.
Message MakeAnswer(const Identity& self, const Message& request, ResultCode code);
Message MakeCea(const Identity& self, const Message& cer);

// An answer of this node's own that says what is wrong: E bit for protocol errors, Failed-AVP and
// Error-Message where there are any; Session-Id and Proxy-Info as they came (sections 6.2 and 7.2).
Message MakeError(const Identity& self, const Header& header, std::string_view avps,
                  const MessageError& fault);
Message MakeError(const Identity& self, const Message& request, const MessageError& fault);

// What a CER or CEA says of its sender; what is wrong with it, or that the two have no application in common
// (5010), no security that both know (5017), or are the same node. Whether the peer is welcome is its
// caller's to say.
std::variant<PeerCapabilities, MessageError> ReadCapabilities(const Identity& self,
                                                              const Dictionary& dictionary,
                                                              const Message& message);

// The Result-Code of an answer; kNone if it has none that can be read. Unknown codes come as they are.
ResultCode ResultCodeOf(const Message& answer);

}  // namespace merlinrun::diameter

#endif  // MERLINRUN_DIAMETER_MESSAGES_HPP_
