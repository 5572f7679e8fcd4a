// Message processing of a relay (RFC 6733, sections 6.1 and 6.2). Does no I/O.
#ifndef MERLINRUN_DIAMETER_RELAY_HPP_
#define MERLINRUN_DIAMETER_RELAY_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "diameter/messages.hpp"

namespace merlinrun::diameter {

// Checks whether a request can be forwarded. Fails on a loop (3005), a realm that isn't served (3003), or a
// Destination-Host other than this node (3002), as the sender may not choose the server. Names compare
// without case.
std::optional<MessageError> CheckRoute(const Identity& self, const std::vector<std::string>& realms,
                                       const Message& request);

// How a request is forwarded to a server.
struct ForwardOptions {
  std::uint32_t hop_by_hop = 0;
  std::string_view from;  // peer that sent it, for the Route-Record
  // Sets the T bit, as an earlier attempt may have run. A T bit that the sender has set is kept in any case.
  bool retransmit = false;
  // The deadline AVP and its new value in milliseconds; code 0: none.
  std::uint32_t deadline_code = 0;
  std::uint32_t deadline_vendor = 0;
  std::uint32_t deadline = 0;
};
// Keeps the end-to-end id and all AVPs except a Destination-Host, which names this node.
Message Forward(const Message& request, const ForwardOptions& options);

// Whether this answers the request, as it was forwarded.
bool IsAnswerTo(const Message& answer, const Header& request);

// A server's answer for the sender of the request.
Message RelayAnswer(const Message& answer, std::uint32_t hop_by_hop);
// The same for the sender of a retransmission, with its own Proxy-Info.
Message RelayAnswerTo(const Message& answer, std::uint32_t hop_by_hop, std::string_view proxy_info);

// The request's Proxy-Info AVPs, unchanged.
std::string ProxyInfoOf(const Message& request);

}  // namespace merlinrun::diameter

#endif  // MERLINRUN_DIAMETER_RELAY_HPP_
