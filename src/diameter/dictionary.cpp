#include "diameter/dictionary.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace merlinrun::diameter {
namespace {

constexpr std::array<std::pair<std::string_view, Format>, 14> kFormats = {{
    {"OctetString", Format::kOctets},
    {"Integer32", Format::kInteger32},
    {"Integer64", Format::kInteger64},
    {"Unsigned32", Format::kUnsigned32},
    {"Unsigned64", Format::kUnsigned64},
    {"Float32", Format::kFloat32},
    {"Float64", Format::kFloat64},
    {"Grouped", Format::kGrouped},
    {"Address", Format::kAddress},
    {"Time", Format::kTime},
    {"UTF8String", Format::kUtf8},
    {"DiameterIdentity", Format::kIdentity},
    {"DiameterURI", Format::kUri},
    {"Enumerated", Format::kEnumerated},
}};

constexpr std::size_t kMostIdentity = 255;  // a fully qualified domain name (RFC 1035, section 2.3.4)

// RFC 3629: shortest forms alone, no surrogates, nothing above U+10FFFF.
bool IsUtf8(std::string_view text) {
  for (std::size_t i = 0; i < text.size();) {
    const auto lead = static_cast<std::uint8_t>(text[i]);
    const std::size_t size = lead < 0x80       ? 1
                             : lead >> 5 == 6  ? 2
                             : lead >> 4 == 14 ? 3
                             : lead >> 3 == 30 ? 4
                                               : 0;
    if (size == 0 || i + size > text.size()) return false;
    std::uint32_t point = size == 1 ? lead : lead & (0x7fU >> size);
    for (std::size_t k = 1; k < size; ++k) {
      const auto next = static_cast<std::uint8_t>(text[i + k]);
      if (next >> 6 != 2) return false;
      point = point << 6 | (next & 0x3fU);
    }
    constexpr std::array<std::uint32_t, 5> kLeast = {0, 0, 0x80, 0x800, 0x10000};
    if (point < kLeast[size] || point > 0x10ffff || (point >= 0xd800 && point < 0xe000)) return false;
    i += size;
  }
  return true;
}

bool IsIdentity(std::string_view text) {
  return !text.empty() && text.size() <= kMostIdentity && text.front() != '.' && text.front() != '-' &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '.' || c == '_';
         });
}

// RFC 6733, section 4.3.1: family, then the address; 1 is IPv4 and 2 IPv6.
bool IsAddress(std::string_view data) {
  if (data.size() < 3) return false;
  const int family = static_cast<std::uint8_t>(data[0]) << 8 | static_cast<std::uint8_t>(data[1]);
  if (family == 1) return data.size() == 6;
  if (family == 2) return data.size() == 18;
  return true;
}

Slot One(std::uint32_t code) { return {code, 0, 1, 1}; }
Slot Maybe(std::uint32_t code) { return {code, 0, 0, 1}; }
Slot Some(std::uint32_t code) { return {code, 0, 1, 0}; }

std::vector<AvpRule> BaseAvps() {
  using F = Format;
  using M = Mandatory;
  return {
      {"Proxy-State", avp::kProxyState, 0, F::kOctets, M::kMust},
      {"Event-Timestamp", avp::kEventTimestamp, 0, F::kTime, M::kMust},
      {"Host-IP-Address", avp::kHostIpAddress, 0, F::kAddress, M::kMust},
      {"Auth-Application-Id", avp::kAuthApplicationId, 0, F::kUnsigned32, M::kMust},
      {"Acct-Application-Id", avp::kAcctApplicationId, 0, F::kUnsigned32, M::kMust},
      {"Vendor-Specific-Application-Id", avp::kVendorSpecificApplicationId, 0, F::kGrouped, M::kMust},
      {"Session-Id", avp::kSessionId, 0, F::kUtf8, M::kMust},
      {"Origin-Host", avp::kOriginHost, 0, F::kIdentity, M::kMust},
      {"Supported-Vendor-Id", avp::kSupportedVendorId, 0, F::kUnsigned32, M::kMust},
      {"Vendor-Id", avp::kVendorId, 0, F::kUnsigned32, M::kMust},
      {"Firmware-Revision", avp::kFirmwareRevision, 0, F::kUnsigned32, M::kMustNot},
      {"Result-Code", avp::kResultCode, 0, F::kUnsigned32, M::kMust},
      {"Product-Name", avp::kProductName, 0, F::kUtf8, M::kMustNot},
      {"Disconnect-Cause", avp::kDisconnectCause, 0, F::kEnumerated, M::kMust},
      {"Origin-State-Id", avp::kOriginStateId, 0, F::kUnsigned32, M::kMust},
      {"Failed-AVP", avp::kFailedAvp, 0, F::kOctets, M::kMust},  // its content is wrong by nature
      {"Proxy-Host", avp::kProxyHost, 0, F::kIdentity, M::kMust},
      {"Error-Message", avp::kErrorMessage, 0, F::kUtf8, M::kMustNot},
      {"Route-Record", avp::kRouteRecord, 0, F::kIdentity, M::kMust},
      {"Destination-Realm", avp::kDestinationRealm, 0, F::kIdentity, M::kMust},
      {"Proxy-Info", avp::kProxyInfo, 0, F::kGrouped, M::kMust},
      {"Destination-Host", avp::kDestinationHost, 0, F::kIdentity, M::kMust},
      {"Error-Reporting-Host", avp::kErrorReportingHost, 0, F::kIdentity, M::kMustNot},
      {"Origin-Realm", avp::kOriginRealm, 0, F::kIdentity, M::kMust},
      {"Inband-Security-Id", avp::kInbandSecurityId, 0, F::kUnsigned32, M::kMust},
  };
}

std::vector<CommandRule> BaseCommands() {
  const std::vector<Slot> ce = {
      One(avp::kOriginHost),  One(avp::kOriginRealm),     Some(avp::kHostIpAddress),    One(avp::kVendorId),
      One(avp::kProductName), Maybe(avp::kOriginStateId), Maybe(avp::kFirmwareRevision)};
  const std::vector<Slot> from = {One(avp::kOriginHost), One(avp::kOriginRealm)};
  const auto with = [](std::vector<Slot> slots, std::initializer_list<Slot> more) {
    slots.insert(slots.end(), more);
    return slots;
  };
  // An answer with the E bit has fewer AVPs (section 7.2): what a CEA has beside them is not asked of it.
  const std::vector<Slot> answer = with(from, {One(avp::kResultCode)});
  return {{"CE", kCapabilitiesExchange, 0, false, ce, answer},
          {"DW", kDeviceWatchdog, 0, false, with(from, {Maybe(avp::kOriginStateId)}), answer},
          {"DP", kDisconnectPeer, 0, false, with(from, {One(avp::kDisconnectCause)}), answer}};
}

std::string Padded(std::string_view whole) {
  std::string out(whole);
  out.resize((out.size() + 3) / 4 * 4);
  return out;
}

// RFC 6733, section 7.5: of an AVP that is missing, one of its code with as many zeros as it needs at least.
std::string Example(const Slot& slot, const AvpRule* rule) {
  AvpWriter writer;
  const std::size_t least = rule == nullptr ? 0 : LeastData(rule->format);
  writer.Add(slot.code, std::string(least, '\0'), kMandatoryBit, slot.vendor);
  return writer.Take();
}

std::optional<MessageError> CheckAvp(const Avp& avp, const Dictionary& dictionary, Reader reader, int depth);

std::optional<MessageError> CheckGroup(const Avp& group, const Dictionary& dictionary, Reader reader,
                                       int depth) {
  if (depth >= kMaxGroupDepth)
    return MessageError{ResultCode::kInvalidAvpValue, Padded(group.whole),
                        "groups within groups without end"};
  AvpReader inner(group.data);
  while (const auto avp = inner.Next())
    if (auto fault = CheckAvp(*avp, dictionary, reader, depth + 1)) return fault;
  if (inner.fault())
    return MessageError{ResultCode::kInvalidAvpLength, Padded(group.whole), inner.fault()->text};
  return std::nullopt;
}

std::optional<MessageError> CheckAvp(const Avp& avp, const Dictionary& dictionary, Reader reader, int depth) {
  const auto wrong = [&](ResultCode code, const char* text) {
    return MessageError{code, Padded(avp.whole), text};
  };
  const AvpRule* const rule = dictionary.FindAvp(avp.code, avp.vendor);
  const bool mandatory = (avp.flags & kMandatoryBit) != 0;
  if ((avp.flags & kVendorBit) != 0 && avp.vendor == 0)  // section 4.1.1: 0 is the IETF's, which has no V bit
    return wrong(ResultCode::kInvalidAvpBits, "an AVP with a V bit and no vendor");
  if (rule == nullptr) {
    if (mandatory && reader == Reader::kEndpoint)
      return wrong(ResultCode::kAvpUnsupported, "an unknown AVP that has to be understood");
    return std::nullopt;
  }
  // Where the M bit has to be and is not, or the other way round, sender and dictionary mean different AVPs.
  if (reader == Reader::kEndpoint && ((rule->mandatory == Mandatory::kMust && !mandatory) ||
                                      (rule->mandatory == Mandatory::kMustNot && mandatory)))
    return wrong(ResultCode::kInvalidAvpBits, "an AVP's M bit does not fit its definition");
  if (avp.data.size() < LeastData(rule->format)) {
    AvpWriter failed;  // the AVP with zeros in place of what it lacks
    std::string data(avp.data);
    data.resize(LeastData(rule->format));
    failed.Add(avp.code, data, avp.flags, avp.vendor);
    return MessageError{ResultCode::kInvalidAvpLength, failed.Take(), "an AVP is too short for its format"};
  }
  if (rule->format == Format::kGrouped) return CheckGroup(avp, dictionary, reader, depth);
  if (!Fits(rule->format, avp.data))
    return wrong(ResultCode::kInvalidAvpValue, "an AVP's value does not fit its format");
  return std::nullopt;
}

}  // namespace

std::optional<Format> FormatOf(std::string_view name) {
  const auto it =
      std::find_if(kFormats.begin(), kFormats.end(), [&](const auto& f) { return f.first == name; });
  return it == kFormats.end() ? std::nullopt : std::optional(it->second);
}

std::size_t LeastData(Format format) {
  switch (format) {
    case Format::kInteger32:
    case Format::kUnsigned32:
    case Format::kFloat32:
    case Format::kTime:
    case Format::kEnumerated:
      return 4;
    case Format::kInteger64:
    case Format::kUnsigned64:
    case Format::kFloat64:
      return 8;
    case Format::kAddress:
      return 6;
    case Format::kOctets:
    case Format::kGrouped:
    case Format::kUtf8:
    case Format::kIdentity:
    case Format::kUri:
      return 0;
  }
  return 0;
}

bool Fits(Format format, std::string_view data) {
  switch (format) {
    case Format::kAddress:
      return IsAddress(data);
    case Format::kUtf8:
      return IsUtf8(data);
    case Format::kIdentity:
      return IsIdentity(data);
    case Format::kUri:
      return data.substr(0, 6) == "aaa://" || data.substr(0, 7) == "aaas://";
    case Format::kOctets:
    case Format::kGrouped:
      return true;
    case Format::kInteger32:
    case Format::kInteger64:
    case Format::kUnsigned32:
    case Format::kUnsigned64:
    case Format::kFloat32:
    case Format::kFloat64:
    case Format::kTime:
    case Format::kEnumerated:
      return data.size() == LeastData(format);
  }
  return false;
}

Dictionary Dictionary::Base() {
  Dictionary dictionary;
  for (AvpRule& rule : BaseAvps()) dictionary.Add(std::move(rule));
  for (CommandRule& rule : BaseCommands()) dictionary.Add(std::move(rule));
  return dictionary;
}

bool Dictionary::Add(AvpRule rule) {
  if (FindAvp(rule.name) != nullptr) return false;
  if (!avp_at_.emplace(Key(rule.code, rule.vendor), avps_.size()).second) return false;
  avps_.push_back(std::move(rule));
  return true;
}

bool Dictionary::Add(CommandRule rule) {
  if (!command_at_.emplace(Key(rule.code, rule.application), commands_.size()).second) return false;
  commands_.push_back(std::move(rule));
  return true;
}

const AvpRule* Dictionary::FindAvp(std::uint32_t code, std::uint32_t vendor) const {
  const auto it = avp_at_.find(Key(code, vendor));
  return it == avp_at_.end() ? nullptr : &avps_[it->second];
}

const AvpRule* Dictionary::FindAvp(std::string_view name) const {
  const auto it = std::find_if(avps_.begin(), avps_.end(), [&](const AvpRule& r) { return r.name == name; });
  return it == avps_.end() ? nullptr : &*it;
}

const CommandRule* Dictionary::FindCommand(std::uint32_t code, std::uint32_t application) const {
  const auto it = command_at_.find(Key(code, application));
  return it == command_at_.end() ? nullptr : &commands_[it->second];
}

std::optional<MessageError> Check(const Message& message, const Dictionary& dictionary,
                                  const CommandRule& rule, Reader reader) {
  if (((message.header.flags & kProxiableBit) != 0) != rule.proxiable)
    return MessageError{ResultCode::kInvalidHeaderBits, {}, "the P bit does not fit the command"};
  const std::vector<Slot>& slots = message.header.request() ? rule.request : rule.answer;
  std::vector<std::size_t> seen(slots.size(), 0);
  AvpReader avps(message.avps);
  while (const auto avp = avps.Next()) {
    if (auto fault = CheckAvp(*avp, dictionary, reader, 0)) return fault;
    for (std::size_t i = 0; i < slots.size(); ++i)
      if (avp->Is(slots[i].code, slots[i].vendor) && ++seen[i] > slots[i].most && slots[i].most > 0)
        return MessageError{ResultCode::kAvpOccursTooManyTimes, Padded(avp->whole),
                            "an AVP stands there too often"};
  }
  for (std::size_t i = 0; i < slots.size(); ++i)
    if (seen[i] < slots[i].least)
      return MessageError{ResultCode::kMissingAvp,
                          Example(slots[i], dictionary.FindAvp(slots[i].code, slots[i].vendor)),
                          "an AVP is missing"};
  return std::nullopt;
}

}  // namespace merlinrun::diameter
