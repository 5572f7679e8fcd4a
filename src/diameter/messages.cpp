#include "diameter/messages.hpp"

#include <algorithm>
#include <cctype>

namespace merlinrun::diameter {
namespace {

constexpr std::uint32_t kNoInbandSecurity = 0;  // section 6.10; TLS has its own port
constexpr std::size_t kMaxApplications = 64;    // per peer; further ones are ignored

AvpWriter OriginAvps(const Identity& self) {
  AvpWriter out;
  out.Add(avp::kOriginHost, self.host).Add(avp::kOriginRealm, self.realm);
  return out;
}

void AddCapabilities(const Identity& self, AvpWriter& out) {
  for (const std::string& address : self.addresses) out.Add(avp::kHostIpAddress, address);
  out.AddU32(avp::kVendorId, self.vendor).Add(avp::kProductName, self.product, 0);
  if (self.state_id != 0) out.AddU32(avp::kOriginStateId, self.state_id);
  for (const std::uint32_t id : self.applications) out.AddU32(avp::kAuthApplicationId, id);
}

Header RequestHeader(std::uint32_t command) {
  Header header;
  header.flags = kRequestBit;
  header.command = command;
  return header;
}

Header AnswerHeader(const Header& request, bool error) {
  Header header = request;
  header.flags = static_cast<std::uint8_t>((request.flags & kProxiableBit) | (error ? kErrorBit : 0));
  return header;
}

void CollectApplications(std::string_view avps, std::vector<std::uint32_t>& out) {
  AvpReader reader(avps);
  while (const auto avp = reader.Next()) {
    if (avp->Is(avp::kVendorSpecificApplicationId)) CollectApplications(avp->data, out);
    if (!avp->Is(avp::kAuthApplicationId) && !avp->Is(avp::kAcctApplicationId)) continue;
    if (const auto id = ToU32(avp->data); id && out.size() < kMaxApplications) out.push_back(*id);
  }
}

bool ShareApplication(const std::vector<std::uint32_t>& ours, const std::vector<std::uint32_t>& theirs) {
  const auto has = [](const std::vector<std::uint32_t>& list, std::uint32_t id) {
    return std::find(list.begin(), list.end(), id) != list.end();
  };
  if (has(ours, kRelayApplication) || has(theirs, kRelayApplication)) return true;
  return std::any_of(ours.begin(), ours.end(), [&](std::uint32_t id) { return has(theirs, id); });
}

// Whether the peer accepts a connection without inband security, which is the default without the AVP.
bool AcceptsNoInbandSecurity(std::string_view avps) {
  bool any = false;
  AvpReader reader(avps);
  while (const auto avp = reader.Next()) {
    if (!avp->Is(avp::kInbandSecurityId)) continue;
    any = true;
    if (ToU32(avp->data) == kNoInbandSecurity) return true;
  }
  return !any;
}

char ToLower(char c) { return static_cast<char>(std::tolower(static_cast<unsigned char>(c))); }

}  // namespace

std::string LowerName(std::string_view name) {
  std::string out(name);
  std::transform(out.begin(), out.end(), out.begin(), ToLower);
  return out;
}

bool SameName(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return ToLower(x) == ToLower(y); });
}

std::string AddressData(std::string_view bytes) {
  std::string out("\0", 1);
  out.push_back(bytes.size() == 4 ? '\1' : '\2');
  return out.append(bytes);
}

Message MakeCer(const Identity& self) {
  AvpWriter out = OriginAvps(self);
  AddCapabilities(self, out);
  return {RequestHeader(kCapabilitiesExchange), out.Take()};
}

Message MakeDwr(const Identity& self) {
  AvpWriter out = OriginAvps(self);
  if (self.state_id != 0) out.AddU32(avp::kOriginStateId, self.state_id);
  return {RequestHeader(kDeviceWatchdog), out.Take()};
}

Message MakeDpr(const Identity& self, DisconnectCause cause) {
  AvpWriter out = OriginAvps(self);
  out.AddU32(avp::kDisconnectCause, static_cast<std::uint32_t>(cause));
  return {RequestHeader(kDisconnectPeer), out.Take()};
}

Message MakeAnswer(const Identity& self, const Message& request, ResultCode code) {
  AvpWriter out;
  out.AddU32(avp::kResultCode, static_cast<std::uint32_t>(code));
  out.Add(avp::kOriginHost, self.host).Add(avp::kOriginRealm, self.realm);
  if (request.header.command == kDeviceWatchdog && self.state_id != 0)
    out.AddU32(avp::kOriginStateId, self.state_id);
  return {AnswerHeader(request.header, false), out.Take()};
}

Message MakeCea(const Identity& self, const Message& cer) {
  AvpWriter out;
  out.AddU32(avp::kResultCode, static_cast<std::uint32_t>(ResultCode::kSuccess));
  out.Add(avp::kOriginHost, self.host).Add(avp::kOriginRealm, self.realm);
  AddCapabilities(self, out);
  return {AnswerHeader(cer.header, false), out.Take()};
}

Message MakeError(const Identity& self, const Header& header, std::string_view avps,
                  const MessageError& fault) {
  AvpWriter out;
  // Section 8.8: Session-Id comes first. Reading stops at an AVP with an invalid length.
  if (const auto session = Find(avps, avp::kSessionId)) out.Copy(*session);
  out.Add(avp::kOriginHost, self.host).Add(avp::kOriginRealm, self.realm);
  out.AddU32(avp::kResultCode, static_cast<std::uint32_t>(fault.code));
  if (*fault.text != '\0') out.Add(avp::kErrorMessage, fault.text, 0);
  if (!fault.failed_avp.empty()) out.Add(avp::kFailedAvp, fault.failed_avp);
  AvpReader reader(avps);
  while (const auto avp = reader.Next())
    if (avp->Is(avp::kProxyInfo)) out.Copy(*avp);
  return {AnswerHeader(header, IsProtocolError(fault.code)), out.Take()};
}

Message MakeError(const Identity& self, const Message& request, const MessageError& fault) {
  return MakeError(self, request.header, request.avps, fault);
}

std::variant<PeerCapabilities, MessageError> ReadCapabilities(const Identity& self,
                                                              const Dictionary& dictionary,
                                                              const Message& message) {
  const CommandRule* const rule = dictionary.FindCommand(kCapabilitiesExchange, 0);
  if (auto fault = ValidateMessage(message, dictionary, *rule, NodeRole::kEndpoint)) return *fault;
  PeerCapabilities remote;
  remote.host = std::string(Find(message.avps, avp::kOriginHost)->data);
  remote.realm = std::string(Find(message.avps, avp::kOriginRealm)->data);
  if (const auto state = Find(message.avps, avp::kOriginStateId)) remote.state_id = *ToU32(state->data);
  CollectApplications(message.avps, remote.applications);
  if (remote.host == self.host)
    return MessageError{ResultCode::kUnknownPeer, {}, "a peer that goes by this node's name"};
  if (!ShareApplication(self.applications, remote.applications))
    return MessageError{ResultCode::kNoCommonApplication, {}, "no application in common"};
  if (!AcceptsNoInbandSecurity(message.avps))
    return MessageError{ResultCode::kNoCommonSecurity,
                        {},
                        "TLS within a connection is not offered; it has a port of its own"};
  return remote;
}

ResultCode ResultCodeOf(const Message& answer) {
  const auto code = Find(answer.avps, avp::kResultCode);
  const auto value = code ? ToU32(code->data) : std::nullopt;
  return static_cast<ResultCode>(value.value_or(0));
}

}  // namespace merlinrun::diameter
