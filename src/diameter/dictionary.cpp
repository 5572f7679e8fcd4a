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

constexpr std::size_t kMaxIdentitySize = 255;  // a fully qualified domain name (RFC 1035, section 2.3.4)

// RFC 3629: no overlong forms, no surrogates, nothing above U+10FFFF.
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
    constexpr std::array<std::uint32_t, 5> kMinCodePoint = {0, 0, 0x80, 0x800, 0x10000};
    if (point < kMinCodePoint[size] || point > 0x10ffff || (point >= 0xd800 && point < 0xe000)) return false;
    i += size;
  }
  return true;
}

bool IsIdentity(std::string_view text) {
  return !text.empty() && text.size() <= kMaxIdentitySize && text.front() != '.' && text.front() != '-' &&
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

AvpOccurrence ExactlyOne(std::uint32_t code) { return {code, 0, 1, 1}; }
AvpOccurrence ZeroOrOne(std::uint32_t code) { return {code, 0, 0, 1}; }
AvpOccurrence OneOrMore(std::uint32_t code) { return {code, 0, 1, 0}; }

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
      {"Failed-AVP", avp::kFailedAvp, 0, F::kOctets, M::kMust},  // its content may be invalid
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
  const std::vector<AvpOccurrence> ce = {ExactlyOne(avp::kOriginHost),     ExactlyOne(avp::kOriginRealm),
                                         OneOrMore(avp::kHostIpAddress),   ExactlyOne(avp::kVendorId),
                                         ExactlyOne(avp::kProductName),    ZeroOrOne(avp::kOriginStateId),
                                         ZeroOrOne(avp::kFirmwareRevision)};
  const std::vector<AvpOccurrence> from = {ExactlyOne(avp::kOriginHost), ExactlyOne(avp::kOriginRealm)};
  const auto with = [](std::vector<AvpOccurrence> occurrences, std::initializer_list<AvpOccurrence> more) {
    occurrences.insert(occurrences.end(), more);
    return occurrences;
  };
  // An answer with the E bit has fewer AVPs (section 7.2), so only these are required of a CEA.
  const std::vector<AvpOccurrence> answer = with(from, {ExactlyOne(avp::kResultCode)});
  return {{"CE", kCapabilitiesExchange, 0, false, ce, answer},
          {"DW", kDeviceWatchdog, 0, false, with(from, {ZeroOrOne(avp::kOriginStateId)}), answer},
          {"DP", kDisconnectPeer, 0, false, with(from, {ExactlyOne(avp::kDisconnectCause)}), answer}};
}

std::string Padded(std::string_view encoded) {
  std::string out(encoded);
  out.resize((out.size() + 3) / 4 * 4);
  return out;
}

// RFC 6733, section 7.5: represents a missing AVP by its code and a zero value of minimum size.
std::string PlaceholderAvp(const AvpOccurrence& occurrence, const AvpRule* rule) {
  AvpWriter writer;
  const std::size_t min_size = rule == nullptr ? 0 : MinDataSize(rule->format);
  writer.Add(occurrence.code, std::string(min_size, '\0'), kMandatoryBit, occurrence.vendor);
  return writer.Take();
}

std::optional<MessageError> ValidateAvp(const Avp& avp, const Dictionary& dictionary, NodeRole role,
                                        int depth);

std::optional<MessageError> ValidateGroup(const Avp& group, const Dictionary& dictionary, NodeRole role,
                                          int depth) {
  if (depth >= kMaxGroupDepth)
    return MessageError{ResultCode::kInvalidAvpValue, Padded(group.encoded),
                        "groups within groups without end"};
  AvpReader members(group.data);
  while (const auto avp = members.Next())
    if (auto fault = ValidateAvp(*avp, dictionary, role, depth + 1)) return fault;
  if (members.fault())
    return MessageError{ResultCode::kInvalidAvpLength, Padded(group.encoded), members.fault()->text};
  return std::nullopt;
}

std::optional<MessageError> ValidateAvp(const Avp& avp, const Dictionary& dictionary, NodeRole role,
                                        int depth) {
  const auto error = [&](ResultCode code, const char* text) {
    return MessageError{code, Padded(avp.encoded), text};
  };
  const AvpRule* const rule = dictionary.FindAvp(avp.code, avp.vendor);
  const bool mandatory = (avp.flags & kMandatoryBit) != 0;
  if ((avp.flags & kVendorBit) != 0 && avp.vendor == 0)  // section 4.1.1: vendor 0 has no V bit
    return error(ResultCode::kInvalidAvpBits, "an AVP with a V bit and no vendor");
  if (rule == nullptr) {
    if (mandatory && role == NodeRole::kEndpoint)
      return error(ResultCode::kAvpUnsupported, "an unknown AVP that has to be understood");
    return std::nullopt;
  }
  // A different M bit means that sender and dictionary define the AVP differently.
  if (role == NodeRole::kEndpoint && ((rule->mandatory == Mandatory::kMust && !mandatory) ||
                                      (rule->mandatory == Mandatory::kMustNot && mandatory)))
    return error(ResultCode::kInvalidAvpBits, "an AVP's M bit does not fit its definition");
  if (avp.data.size() < MinDataSize(rule->format)) {
    AvpWriter failed;  // the AVP, padded with zeros to its minimum size
    std::string data(avp.data);
    data.resize(MinDataSize(rule->format));
    failed.Add(avp.code, data, avp.flags, avp.vendor);
    return MessageError{ResultCode::kInvalidAvpLength, failed.Take(), "an AVP is too short for its format"};
  }
  if (rule->format == Format::kGrouped) return ValidateGroup(avp, dictionary, role, depth);
  if (!IsValidData(rule->format, avp.data))
    return error(ResultCode::kInvalidAvpValue, "an AVP's value does not fit its format");
  return std::nullopt;
}

}  // namespace

std::optional<Format> ParseFormat(std::string_view name) {
  const auto it =
      std::find_if(kFormats.begin(), kFormats.end(), [&](const auto& f) { return f.first == name; });
  return it == kFormats.end() ? std::nullopt : std::optional(it->second);
}

std::size_t MinDataSize(Format format) {
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

bool IsValidData(Format format, std::string_view data) {
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
      return data.size() == MinDataSize(format);
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
  if (!avp_index_.emplace(Key(rule.code, rule.vendor), avps_.size()).second) return false;
  avps_.push_back(std::move(rule));
  return true;
}

bool Dictionary::Add(CommandRule rule) {
  if (!command_index_.emplace(Key(rule.code, rule.application), commands_.size()).second) return false;
  commands_.push_back(std::move(rule));
  return true;
}

const AvpRule* Dictionary::FindAvp(std::uint32_t code, std::uint32_t vendor) const {
  const auto it = avp_index_.find(Key(code, vendor));
  return it == avp_index_.end() ? nullptr : &avps_[it->second];
}

const AvpRule* Dictionary::FindAvp(std::string_view name) const {
  const auto it = std::find_if(avps_.begin(), avps_.end(), [&](const AvpRule& r) { return r.name == name; });
  return it == avps_.end() ? nullptr : &*it;
}

const CommandRule* Dictionary::FindCommand(std::uint32_t code, std::uint32_t application) const {
  const auto it = command_index_.find(Key(code, application));
  return it == command_index_.end() ? nullptr : &commands_[it->second];
}

std::optional<MessageError> ValidateMessage(const Message& message, const Dictionary& dictionary,
                                            const CommandRule& rule, NodeRole role) {
  if (((message.header.flags & kProxiableBit) != 0) != rule.proxiable)
    return MessageError{ResultCode::kInvalidHeaderBits, {}, "the P bit does not fit the command"};
  const std::vector<AvpOccurrence>& occurrences = message.header.request() ? rule.request : rule.answer;
  std::vector<std::size_t> counts(occurrences.size(), 0);
  AvpReader avps(message.avps);
  while (const auto avp = avps.Next()) {
    if (auto fault = ValidateAvp(*avp, dictionary, role, 0)) return fault;
    for (std::size_t i = 0; i < occurrences.size(); ++i)
      if (avp->Is(occurrences[i].code, occurrences[i].vendor) && ++counts[i] > occurrences[i].max_count &&
          occurrences[i].max_count > 0)
        return MessageError{ResultCode::kAvpOccursTooManyTimes, Padded(avp->encoded),
                            "an AVP stands there too often"};
  }
  for (std::size_t i = 0; i < occurrences.size(); ++i)
    if (counts[i] < occurrences[i].min_count)
      return MessageError{
          ResultCode::kMissingAvp,
          PlaceholderAvp(occurrences[i], dictionary.FindAvp(occurrences[i].code, occurrences[i].vendor)),
          "an AVP is missing"};
  return std::nullopt;
}

}  // namespace merlinrun::diameter
