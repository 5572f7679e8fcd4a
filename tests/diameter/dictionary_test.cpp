// Tests the validation of messages and the Result-Code of each error.
#include "diameter/dictionary.hpp"

#include <gtest/gtest.h>

#include "diameter/messages.hpp"

namespace merlinrun::diameter {
namespace {

Identity Self(const std::string& host = "a.example") {
  Identity self;
  self.host = host;
  self.realm = "example";
  self.addresses = {AddressData(std::string("\177\0\0\1", 4))};
  self.applications = {16777999};
  return self;
}

std::string Without(const std::string& avps, std::uint32_t code) {
  AvpWriter out;
  AvpReader reader(avps);
  while (const auto avp = reader.Next())
    if (avp->code != code) out.Copy(*avp);
  return out.Take();
}

class CerTest : public ::testing::Test {
 protected:
  std::optional<MessageError> Validate(const std::string& avps, NodeRole role = NodeRole::kEndpoint) {
    Message cer = MakeCer(self);
    cer.avps = avps;
    return ValidateMessage(cer, base, *base.FindCommand(kCapabilitiesExchange, 0), role);
  }
  ResultCode Code(const std::string& avps, NodeRole role = NodeRole::kEndpoint) {
    const auto fault = Validate(avps, role);
    return fault ? fault->code : ResultCode::kNone;
  }
  const Identity self = Self();
  const Dictionary base = Dictionary::Base();
  const std::string good = MakeCer(Self()).avps;
};

TEST_F(CerTest, OwnMessagesAreValid) {
  EXPECT_EQ(Code(good), ResultCode::kNone);
  for (const Message& message : {MakeDwr(self), MakeDpr(self, DisconnectCause::kBusy)})
    EXPECT_FALSE(
        ValidateMessage(message, base, *base.FindCommand(message.header.command, 0), NodeRole::kEndpoint));
}

TEST_F(CerTest, AMissingAvpIsNamedByAZeroValue) {
  const auto fault = Validate(Without(good, avp::kHostIpAddress));
  ASSERT_TRUE(fault.has_value());
  EXPECT_EQ(fault->code, ResultCode::kMissingAvp);
  EXPECT_EQ(Find(fault->failed_avp, avp::kHostIpAddress)->data, std::string(6, '\0'));
}

TEST_F(CerTest, EveryErrorHasItsCodeAndNamesTheAvp) {
  const auto more = [&](std::uint32_t code, const std::string& data, std::uint8_t flags = kMandatoryBit,
                        std::uint32_t vendor = 0) {
    return good + AvpWriter().Add(code, data, flags, vendor).Take();
  };
  std::string no_vendor = more(99999, "x", kVendorBit, 7);
  no_vendor.replace(no_vendor.size() - 8, 4, std::string(4, '\0'));
  const std::pair<std::string, ResultCode> cases[] = {
      {more(avp::kOriginHost, "b.example"), ResultCode::kAvpOccursTooManyTimes},
      {more(99999, "x"), ResultCode::kAvpUnsupported},
      {more(99999, "x", kMandatoryBit, 10415), ResultCode::kAvpUnsupported},
      {more(avp::kFirmwareRevision, "abc", 0), ResultCode::kInvalidAvpLength},
      {more(avp::kFirmwareRevision, FromU32(1), kMandatoryBit), ResultCode::kInvalidAvpBits},
      {more(avp::kSupportedVendorId, FromU32(1), 0), ResultCode::kInvalidAvpBits},
      {more(avp::kSupportedVendorId, FromU64(1)), ResultCode::kInvalidAvpValue},
      {more(avp::kHostIpAddress, std::string("\0\1abcdef", 8)), ResultCode::kInvalidAvpValue},
      {more(avp::kErrorMessage, "\xc0\x80", 0), ResultCode::kInvalidAvpValue},
      {more(avp::kVendorSpecificApplicationId, "not an AVP"), ResultCode::kInvalidAvpLength},
      {no_vendor, ResultCode::kInvalidAvpBits},
  };
  for (const auto& [avps, code] : cases) {
    const auto fault = Validate(avps);
    ASSERT_TRUE(fault.has_value()) << static_cast<int>(code);
    EXPECT_EQ(fault->code, code) << fault->text;
    EXPECT_FALSE(fault->failed_avp.empty());
    EXPECT_EQ(fault->failed_avp.size() % 4, 0U);
  }
}

TEST_F(CerTest, ARelayAcceptsUnknownAvps) {
  EXPECT_EQ(Code(good + AvpWriter().Add(99999, "x").Take(), NodeRole::kRelay), ResultCode::kNone);
}

// Guards against stack exhaustion by a message of a few kilobytes.
TEST_F(CerTest, GroupNestingIsBounded) {
  std::string inner;
  for (int depth = 0; depth < 1000; ++depth)
    inner = AvpWriter().Add(avp::kVendorSpecificApplicationId, inner).Take();
  EXPECT_EQ(Code(good + inner), ResultCode::kInvalidAvpValue);
}

TEST(CapabilitiesTest, PeersWithNothingInCommonAreRejected) {
  const Dictionary base = Dictionary::Base();
  Identity other = Self("b.example");
  const auto read = [&](const Identity& from) { return ReadCapabilities(Self(), base, MakeCer(from)); };
  EXPECT_EQ(std::get<PeerCapabilities>(read(other)).host, "b.example");
  other.applications = {4};
  EXPECT_EQ(std::get<MessageError>(read(other)).code, ResultCode::kNoCommonApplication);
  other.applications = {kRelayApplication};
  EXPECT_EQ(std::get<PeerCapabilities>(read(other)).host, "b.example");
  EXPECT_EQ(std::get<MessageError>(read(Self())).code, ResultCode::kUnknownPeer);
  Message cer = MakeCer(Self("b.example"));
  cer.avps += AvpWriter().AddU32(avp::kInbandSecurityId, 1).Take();
  EXPECT_EQ(std::get<MessageError>(ReadCapabilities(Self(), base, cer)).code, ResultCode::kNoCommonSecurity);
}

TEST(ErrorAnswerTest, HasTheAvpsThatTheRfcRequires) {
  AvpWriter avps;
  const std::string proxy = AvpWriter().Add(avp::kProxyHost, "p.example").Add(avp::kProxyState, "x").Take();
  avps.Add(avp::kSessionId, "s;1").Add(avp::kProxyInfo, proxy).Add(1, "user");
  const Message request{{kRequestBit | kProxiableBit | kRetransmitBit, 272, 4, 7, 8}, avps.Take()};
  const Message busy = MakeError(Self(), request, {ResultCode::kTooBusy, {}, "busy"});
  EXPECT_EQ(busy.header.flags, kProxiableBit | kErrorBit);
  EXPECT_EQ(busy.header.hop_by_hop, 7U);
  EXPECT_EQ(busy.header.end_to_end, 8U);
  EXPECT_EQ(Find(busy.avps, avp::kSessionId)->data, "s;1");
  EXPECT_EQ(Find(busy.avps, avp::kProxyInfo)->data, proxy);
  EXPECT_EQ(ResultCodeOf(busy), ResultCode::kTooBusy);
  const Message failed = MakeError(Self(), request, {ResultCode::kUnableToComply, {}, ""});
  EXPECT_EQ(failed.header.flags, kProxiableBit);
  EXPECT_FALSE(Find(failed.avps, avp::kErrorMessage).has_value());
}

}  // namespace
}  // namespace merlinrun::diameter
