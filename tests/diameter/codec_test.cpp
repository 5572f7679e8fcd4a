// Tests that messages survive encoding and decoding, and that malformed ones get the Result-Code of the RFC.
#include "diameter/codec.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "diameter/dictionary.hpp"

namespace merlinrun::diameter {
namespace {

Header ExampleHeader() { return {kRequestBit | kProxiableBit, 272, 4, 0x01020304, 0xfffefdfc}; }

rc::Gen<Header> AnyHeader() {
  return rc::gen::apply(
      [](bool request, bool proxiable, bool last, std::uint32_t command, std::uint32_t app, std::uint32_t h,
         std::uint32_t e) {
        Header header{0, command & 0xffffff, app, h, e};
        if (request) header.flags |= kRequestBit;
        if (proxiable) header.flags |= kProxiableBit;
        if (last) header.flags |= request ? kRetransmitBit : kErrorBit;
        return header;
      },
      rc::gen::arbitrary<bool>(), rc::gen::arbitrary<bool>(), rc::gen::arbitrary<bool>(),
      rc::gen::arbitrary<std::uint32_t>(), rc::gen::arbitrary<std::uint32_t>(),
      rc::gen::arbitrary<std::uint32_t>(), rc::gen::arbitrary<std::uint32_t>());
}

struct TestAvp {
  std::uint32_t code;
  std::uint32_t vendor;
  bool mandatory;
  std::string data;
};

rc::Gen<std::vector<TestAvp>> AnyAvps() {
  return rc::gen::container<std::vector<TestAvp>>(rc::gen::apply(
      [](std::uint32_t code, std::uint32_t vendor, bool mandatory, std::string data) {
        return TestAvp{code, vendor, mandatory, std::move(data)};
      },
      rc::gen::arbitrary<std::uint32_t>(), rc::gen::element<std::uint32_t>(0, 1, 10415, 0xffffffff),
      rc::gen::arbitrary<bool>(), rc::gen::arbitrary<std::string>()));
}

std::string EncodeAvps(const std::vector<TestAvp>& avps) {
  AvpWriter writer;
  for (const TestAvp& avp : avps)
    writer.Add(avp.code, avp.data, avp.mandatory ? kMandatoryBit : 0, avp.vendor);
  return writer.Take();
}

RC_GTEST_PROP(CodecProperty, RoundTrip, ()) {
  const Header header = *AnyHeader();
  const std::vector<TestAvp> avps = *AnyAvps();
  const auto decoded = Decode(Encode(header, EncodeAvps(avps)));
  const auto* message = std::get_if<Message>(&decoded);
  RC_ASSERT(message != nullptr);
  RC_ASSERT(message->header == header);
  AvpReader reader(message->avps);
  AvpWriter copy;
  for (const TestAvp& avp : avps) {
    const auto read = reader.Next();
    RC_ASSERT(read.has_value());
    RC_ASSERT(read->Is(avp.code, avp.vendor));
    RC_ASSERT(read->data == avp.data);
    RC_ASSERT(((read->flags & kMandatoryBit) != 0) == avp.mandatory);
    copy.Copy(*read);
  }
  RC_ASSERT(!reader.Next().has_value());
  RC_ASSERT(copy.bytes() == message->avps);
}

RC_GTEST_PROP(CodecProperty, AStreamSplitAnywhereGivesTheSameFrames, ()) {
  const auto avps = *rc::gen::container<std::vector<std::vector<TestAvp>>>(AnyAvps());
  std::string stream;
  std::vector<std::string> sent;
  for (const auto& list : avps) stream += sent.emplace_back(Encode(ExampleHeader(), EncodeAvps(list)));
  Framer framer(kMaxMessageLength);
  std::vector<std::string> got;
  for (std::size_t at = 0; at < stream.size();) {
    const auto size = *rc::gen::inRange<std::size_t>(1, 40);
    framer.Feed(std::string_view(stream).substr(at, size));
    at += size;
    while (const auto frame = framer.Next()) got.emplace_back(*frame);
  }
  RC_ASSERT(got == sent);
  RC_ASSERT(framer.buffered() == 0U);
}

// Guards against reads out of bounds (with the sanitizer): corrupted bytes decode to a message or an error.
RC_GTEST_PROP(CodecProperty, AnyBytesDecodeOrFail, ()) {
  std::string bytes = Encode(*AnyHeader(), EncodeAvps(*AnyAvps()));
  const auto flips = *rc::gen::container<std::vector<std::pair<std::size_t, std::uint8_t>>>(
      rc::gen::pair(rc::gen::inRange<std::size_t>(0, 200), rc::gen::arbitrary<std::uint8_t>()));
  for (const auto& [at, value] : flips) bytes[at % bytes.size()] = static_cast<char>(value);
  const auto decoded = Decode(bytes);
  if (const auto* bad = std::get_if<MalformedMessage>(&decoded))
    RC_ASSERT(bad->fault.code != ResultCode::kNone);
  else
    RC_ASSERT(Encode(std::get<Message>(decoded).header, std::get<Message>(decoded).avps) == bytes);
}

ResultCode CodeOf(const std::string& frame) {
  const auto decoded = Decode(frame);
  const auto* bad = std::get_if<MalformedMessage>(&decoded);
  return bad == nullptr ? ResultCode::kNone : bad->fault.code;
}

TEST(CodecTest, MalformedMessagesGetTheResultCodeOfTheRfc) {
  const std::string good = Encode(ExampleHeader(), EncodeAvps({{264, 0, true, "a.example"}}));
  const auto with = [&](std::size_t at, int value) {
    std::string frame = good;
    frame[at] = static_cast<char>(value);
    return frame;
  };
  EXPECT_EQ(CodeOf(good), ResultCode::kNone);
  EXPECT_EQ(CodeOf(with(0, 2)), ResultCode::kUnsupportedVersion);
  EXPECT_EQ(CodeOf(with(3, 8)), ResultCode::kInvalidMessageLength);
  EXPECT_EQ(CodeOf(with(4, 0xc1)), ResultCode::kInvalidBitInHeader);
  EXPECT_EQ(CodeOf(with(4, 0xe0)), ResultCode::kInvalidHeaderBits);  // request with the E bit
  EXPECT_EQ(CodeOf(with(4, 0x50)), ResultCode::kInvalidHeaderBits);  // answer with the T bit
  for (const int length : {0, 7, 200}) EXPECT_EQ(CodeOf(with(27, length)), ResultCode::kInvalidAvpLength);
  EXPECT_EQ(CodeOf(""), ResultCode::kInvalidMessageLength);
  EXPECT_EQ(CodeOf(good + "abc"), ResultCode::kInvalidMessageLength);
}

// Section 7.5: the Failed-AVP holds the offending AVP's header with a valid length.
TEST(CodecTest, AnInvalidLengthIsAnsweredWithTheAvpsHeader) {
  std::string frame = Encode(ExampleHeader(), EncodeAvps({{264, 10415, true, "a.example"}}));
  frame[27] = 9;  // smaller than the header of a vendor's AVP
  const auto decoded = Decode(frame);
  const MessageError& fault = std::get<MalformedMessage>(decoded).fault;
  AvpReader reader(fault.failed_avp);
  const auto failed = reader.Next();
  ASSERT_TRUE(failed.has_value());
  EXPECT_TRUE(failed->Is(264, 10415));
  EXPECT_TRUE(failed->data.empty());
}

TEST(CodecTest, AStreamWithAnInvalidLengthIsNotReadFurther) {
  for (const std::string& head : {std::string("\1\0\0\23", 4), std::string("\1\0\0\26", 4),
                                  std::string("\1\377\377\374", 4), std::string("\2\0\0\24", 4)}) {
    Framer framer(65536);
    framer.Feed(head + std::string(16, '\1'));
    EXPECT_FALSE(framer.Next().has_value());
    ASSERT_TRUE(framer.framing_error().has_value());
    EXPECT_EQ(framer.framing_error()->header.end_to_end, 0x01010101U);
    framer.Feed(std::string(100000, 'x'));
    EXPECT_LT(framer.buffered(), 100U) << "buffered after a framing error";
  }
}

TEST(CodecTest, AFrameIsCompleteWithItsLastByte) {
  const std::string frame = Encode(ExampleHeader(), "");
  Framer framer(65536);
  framer.Feed(frame.substr(0, 19));
  EXPECT_FALSE(framer.Next().has_value());
  framer.Feed(frame.substr(19));
  EXPECT_EQ(framer.Next(), frame);
  EXPECT_FALSE(framer.framing_error().has_value());
}

}  // namespace
}  // namespace merlinrun::diameter
