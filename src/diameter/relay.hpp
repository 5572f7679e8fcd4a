// What a relay does to the messages that pass it (RFC 6733, sections 6.1 and 6.2). Without I/O.
#ifndef MERLINRUN_DIAMETER_RELAY_HPP_
#define MERLINRUN_DIAMETER_RELAY_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "diameter/messages.hpp"

namespace merlinrun::diameter {

// Why a request can't be passed on from here: this node is in its Route-Record already (3005), its realm is
// not served (3003), or it asks for one host that is not this one, where the choice of the server is not its
// sender's (3002). The realms and hosts are compared without case.
std::optional<MessageError> CheckRoute(const Identity& self, const std::vector<std::string>& realms,
                                       const Message& request);

// How a request goes on to a server.
struct Onward {
  std::uint32_t hop_by_hop = 0;
  std::string_view from;  // the peer that it came from, for the Route-Record
  bool resend =
      false;  // an earlier attempt may have run: the T flag is set; it stays where it was set before
  // The AVP that says how long the answer is waited for, with its new content; a code of 0: none.
  std::uint32_t deadline_code = 0;
  std::uint32_t deadline_vendor = 0;
  std::uint32_t deadline = 0;
};
// The end-to-end id and all AVPs stay as they came but for the Destination-Host that names this node.
Message Forward(const Message& request, const Onward& onward);

// Whether this is an answer to that request, as it was sent on.
bool Answers(const Message& answer, const Header& request);

// A server's answer as it goes back to whoever waits for it.
Message Backward(const Message& answer, std::uint32_t hop_by_hop);
// The same for one who sent the request again: his own Proxy-Info instead of the first sender's.
Message BackwardTo(const Message& answer, std::uint32_t hop_by_hop, std::string_view proxy_info);

// The request's Proxy-Info AVPs, as they came.
std::string ProxyInfoOf(const Message& request);

}  // namespace merlinrun::diameter

#endif  // MERLINRUN_DIAMETER_RELAY_HPP_
