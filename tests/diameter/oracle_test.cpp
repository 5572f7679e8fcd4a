// Interoperability test: messages encoded here are decoded by freeDiameter's libfdproto, field by field, with
// a copy of the dictionary.
#include <freeDiameter/freeDiameter-host.h>
#include <freeDiameter/libfdproto.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>
#include <cstring>
#include <memory>

#include "diameter/messages.hpp"

namespace merlinrun::diameter {
namespace {

constexpr std::uint32_t kVendor = 32473;  // RFC 5612: reserved for documentation

dict_avp_basetype BaseOf(Format format) {
  switch (format) {
    case Format::kGrouped:
      return AVP_TYPE_GROUPED;
    case Format::kUnsigned32:
      return AVP_TYPE_UNSIGNED32;
    case Format::kUnsigned64:
      return AVP_TYPE_UNSIGNED64;
    case Format::kInteger32:
    case Format::kEnumerated:
      return AVP_TYPE_INTEGER32;
    default:
      return AVP_TYPE_OCTETSTRING;
  }
}

Dictionary TestDictionary() {
  Dictionary dictionary = Dictionary::Base();
  dictionary.Add(AvpRule{"Own-Bytes", 1, kVendor, Format::kOctets, Mandatory::kMay});
  dictionary.Add(AvpRule{"Own-Number", 2, kVendor, Format::kUnsigned64, Mandatory::kMay});
  dictionary.Add(AvpRule{"Own-Group", 3, kVendor, Format::kGrouped, Mandatory::kMay});
  dictionary.Add(AvpRule{"Own-Small", 4, kVendor, Format::kUnsigned32, Mandatory::kMay});
  return dictionary;
}

// freeDiameter's parser with a dictionary filled from ours.
class FreeDiameter {
 public:
  static FreeDiameter& Get() {
    static FreeDiameter* const oracle =
        new FreeDiameter;  // never destroyed, as the library keeps global state
    return *oracle;
  }

  // Decodes the frame and returns its AVPs as "code/vendor/M/depth=value" lines.
  std::string Read(const std::string& frame, Header& header) {
    auto* copy = static_cast<std::uint8_t*>(std::malloc(frame.size()));
    std::memcpy(copy, frame.data(), frame.size());
    msg* message = nullptr;
    if (fd_msg_parse_buffer(&copy, frame.size(), &message) != 0) {
      std::free(copy);
      return "unreadable";
    }
    const std::unique_ptr<msg, int (*)(msg*)> held(message, [](msg* m) { return fd_msg_free(m); });
    fd_pei why = {};
    if (const int error = fd_msg_parse_dict(message, dictionary_, &why); error != 0)
      return std::string("not understood: ") + (why.pei_errcode == nullptr ? "?" : why.pei_errcode);
    msg_hdr* theirs = nullptr;
    fd_msg_hdr(message, &theirs);
    header = {theirs->msg_flags, theirs->msg_code, theirs->msg_appl, theirs->msg_hbhid, theirs->msg_eteid};
    std::string out;
    Walk(message, 0, out);
    return out;
  }

 private:
  FreeDiameter() {
    fd_g_debug_lvl = FD_LOG_FATAL + 1;
    EXPECT_EQ(fd_libproto_init(), 0);
    EXPECT_EQ(fd_dict_init(&dictionary_), 0);
    dict_vendor_data vendor = {kVendor, const_cast<char*>("doc")};
    EXPECT_EQ(fd_dict_new(dictionary_, DICT_VENDOR, &vendor, nullptr, nullptr), 0);
    static const Dictionary ours = TestDictionary();
    for (const AvpRule& rule : ours.avps()) {
      dict_avp_data data = {rule.code,
                            rule.vendor,
                            const_cast<char*>(rule.name.c_str()),
                            AVP_FLAG_VENDOR,
                            static_cast<std::uint8_t>(rule.vendor != 0 ? AVP_FLAG_VENDOR : 0),
                            BaseOf(rule.format)};
      EXPECT_EQ(fd_dict_new(dictionary_, DICT_AVP, &data, nullptr, nullptr), 0) << rule.name;
    }
    for (const CommandRule& rule : ours.commands())
      for (const bool request : {true, false}) {
        names_.push_back(std::make_unique<std::string>(rule.name + (request ? "R" : "A")));
        dict_cmd_data data = {rule.code, names_.back()->data(), CMD_FLAG_REQUEST,
                              static_cast<std::uint8_t>(request ? CMD_FLAG_REQUEST : 0)};
        EXPECT_EQ(fd_dict_new(dictionary_, DICT_COMMAND, &data, nullptr, nullptr), 0) << rule.name;
      }
  }

  static void Walk(msg_or_avp* parent, int depth, std::string& out) {
    msg_or_avp* found = nullptr;
    if (fd_msg_browse_internal(parent, MSG_BRW_FIRST_CHILD, &found, nullptr) != 0) return;
    while (found != nullptr) {
      avp_hdr* avp = nullptr;
      fd_msg_avp_hdr(static_cast<struct avp*>(found), &avp);
      out += std::to_string(avp->avp_code) + "/" +
             std::to_string((avp->avp_flags & AVP_FLAG_VENDOR) != 0 ? avp->avp_vendor : 0) + "/" +
             ((avp->avp_flags & AVP_FLAG_MANDATORY) != 0 ? "M" : "-") + "/" + std::to_string(depth) + "=";
      dict_object* model = nullptr;
      fd_msg_model(found, &model);
      dict_avp_data data = {};
      fd_dict_getval(model, &data);
      if (data.avp_basetype == AVP_TYPE_GROUPED)
        out += "group";
      else if (data.avp_basetype == AVP_TYPE_UNSIGNED32 || data.avp_basetype == AVP_TYPE_INTEGER32)
        out += std::to_string(avp->avp_value->u32);
      else if (data.avp_basetype == AVP_TYPE_UNSIGNED64)
        out += std::to_string(avp->avp_value->u64);
      else
        out.append(reinterpret_cast<const char*>(avp->avp_value->os.data), avp->avp_value->os.len);
      out += "\n";
      if (data.avp_basetype == AVP_TYPE_GROUPED) Walk(found, depth + 1, out);
      msg_or_avp* next = nullptr;
      if (fd_msg_browse_internal(found, MSG_BRW_NEXT, &next, nullptr) != 0) return;
      found = next;
    }
  }

  dictionary* dictionary_ = nullptr;
  std::vector<std::unique_ptr<std::string>> names_;
};

// The same lines from our decoder.
void DecodeOurs(std::string_view avps, const Dictionary& dictionary, int depth, std::string& out) {
  AvpReader reader(avps);
  while (const auto avp = reader.Next()) {
    out += std::to_string(avp->code) + "/" + std::to_string(avp->vendor) + "/" +
           ((avp->flags & kMandatoryBit) != 0 ? "M" : "-") + "/" + std::to_string(depth) + "=";
    const Format format = dictionary.FindAvp(avp->code, avp->vendor)->format;
    const dict_avp_basetype base = BaseOf(format);
    if (base == AVP_TYPE_GROUPED)
      out += "group";
    else if (base == AVP_TYPE_UNSIGNED32 || base == AVP_TYPE_INTEGER32)
      out += std::to_string(ToU32(avp->data).value());
    else if (base == AVP_TYPE_UNSIGNED64)
      out += std::to_string(ToU64(avp->data).value());
    else
      out += avp->data;
    out += "\n";
    if (base == AVP_TYPE_GROUPED) DecodeOurs(avp->data, dictionary, depth + 1, out);
  }
}

void ExpectSame(const Message& message) {
  Header theirs;
  std::string ours;
  DecodeOurs(message.avps, TestDictionary(), 0, ours);
  EXPECT_EQ(FreeDiameter::Get().Read(Encode(message.header, message.avps), theirs), ours);
  EXPECT_TRUE(theirs == message.header);
}

Identity Self() {
  Identity self;
  self.host = "a.example";
  self.realm = "example";
  self.state_id = 77;
  self.addresses = {AddressData(std::string("\177\0\0\1", 4)), AddressData(std::string(16, '\1'))};
  self.applications = {16777999, kRelayApplication};
  return self;
}

TEST(FreeDiameterTest, DecodesBaseProtocolMessagesTheSame) {
  const Message cer = MakeCer(Self());
  const Message dpr = MakeDpr(Self(), DisconnectCause::kDoNotWantToTalkToYou);
  for (const Message& message :
       {cer, MakeCea(Self(), cer), MakeDwr(Self()), MakeAnswer(Self(), MakeDwr(Self()), ResultCode::kSuccess),
        dpr, MakeError(Self(), dpr, {ResultCode::kMissingAvp, AvpWriter().AddU32(1, 0).Take(), "missing"})})
    ExpectSame(message);
}

RC_GTEST_PROP(FreeDiameterProperty, DecodesAnyMessageTheSame, ()) {
  AvpWriter writer;
  const auto some = *rc::gen::container<std::vector<std::pair<std::uint64_t, std::string>>>(
      rc::gen::pair(rc::gen::arbitrary<std::uint64_t>(), rc::gen::arbitrary<std::string>()));
  for (const auto& [number, text] : some) {
    AvpWriter inner;
    // freeDiameter rejects string AVPs without data.
    inner.Add(1, text + "x", 0, kVendor).AddU64(2, number, kMandatoryBit, kVendor);
    writer.AddU32(4, static_cast<std::uint32_t>(number), 0, kVendor)
        .Add(3, inner.bytes(), kMandatoryBit, kVendor);
  }
  Message message = MakeDwr(Self());
  message.header.hop_by_hop = *rc::gen::arbitrary<std::uint32_t>();
  message.header.end_to_end = *rc::gen::arbitrary<std::uint32_t>();
  message.avps += writer.bytes();
  Header theirs;
  std::string ours;
  DecodeOurs(message.avps, TestDictionary(), 0, ours);
  RC_ASSERT(FreeDiameter::Get().Read(Encode(message.header, message.avps), theirs) == ours);
  RC_ASSERT(theirs == message.header);
}

}  // namespace
}  // namespace merlinrun::diameter
