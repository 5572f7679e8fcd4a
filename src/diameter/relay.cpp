#include "diameter/relay.hpp"

#include <algorithm>

namespace merlinrun::diameter {

std::optional<MessageError> CheckRoute(const Identity& self, const std::vector<std::string>& realms,
                                       const Message& request) {
  AvpReader reader(request.avps);
  while (const auto avp = reader.Next()) {
    const auto failed_avp = [&] { return AvpWriter().Copy(*avp).Take(); };
    if (avp->Is(avp::kRouteRecord) && SameName(avp->data, self.host))
      return MessageError{ResultCode::kLoopDetected, {}, "it has passed here already"};
    if (avp->Is(avp::kDestinationRealm) &&
        std::none_of(realms.begin(), realms.end(),
                     [&](const std::string& realm) { return SameName(realm, avp->data); }))
      return MessageError{ResultCode::kRealmNotServed, failed_avp(), "this realm is not served"};
    if (avp->Is(avp::kDestinationHost) && !SameName(avp->data, self.host))
      return MessageError{ResultCode::kUnableToDeliver, failed_avp(), "no host can be asked for by name"};
  }
  return std::nullopt;
}

Message Forward(const Message& request, const ForwardOptions& options) {
  Message out;
  out.header = request.header;
  out.header.hop_by_hop = options.hop_by_hop;
  if (options.retransmit) out.header.flags |= kRetransmitBit;
  AvpWriter avps;
  AvpReader reader(request.avps);
  while (const auto avp = reader.Next()) {
    if (avp->Is(avp::kDestinationHost)) continue;
    if (options.deadline_code != 0 && avp->Is(options.deadline_code, options.deadline_vendor))
      avps.AddU32(avp->code, options.deadline, avp->flags, avp->vendor);
    else
      avps.Copy(*avp);
  }
  avps.Add(avp::kRouteRecord, options.from);
  out.avps = avps.Take();
  return out;
}

bool IsAnswerTo(const Message& answer, const Header& request) {
  return !answer.header.request() && answer.header.command == request.command &&
         answer.header.application == request.application && answer.header.end_to_end == request.end_to_end;
}

Message RelayAnswer(const Message& answer, std::uint32_t hop_by_hop) {
  Message out = answer;
  out.header.hop_by_hop = hop_by_hop;
  return out;
}

Message RelayAnswerTo(const Message& answer, std::uint32_t hop_by_hop, std::string_view proxy_info) {
  Message out;
  out.header = answer.header;
  out.header.hop_by_hop = hop_by_hop;
  AvpWriter avps;
  AvpReader reader(answer.avps);
  while (const auto avp = reader.Next())
    if (!avp->Is(avp::kProxyInfo)) avps.Copy(*avp);
  out.avps = avps.Take();
  out.avps += proxy_info;
  return out;
}

std::string ProxyInfoOf(const Message& request) {
  AvpWriter out;
  AvpReader reader(request.avps);
  while (const auto avp = reader.Next())
    if (avp->Is(avp::kProxyInfo)) out.Copy(*avp);
  return out.Take();
}

}  // namespace merlinrun::diameter
