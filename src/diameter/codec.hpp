// Diameter messages as bytes (RFC 6733, sections 3 and 4): reading, checking their framing, writing. Free of
// I/O. Nothing here throws, and nothing that a peer sends is trusted: every length is checked against what is
// there before it is followed.
#ifndef MERLINRUN_DIAMETER_CODEC_HPP_
#define MERLINRUN_DIAMETER_CODEC_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace merlinrun::diameter {

inline constexpr std::size_t kHeaderSize = 20;
// The largest that the 24-bit length can say. What is accepted is less, see Framer.
inline constexpr std::size_t kMaxMessageLength = (std::size_t{1} << 24) - 1;

// Result-Codes (RFC 6733, section 7.1) that this program gives or understands.
enum class ResultCode : std::uint32_t {
  kNone = 0,  // no code at all
  kSuccess = 2001,
  kCommandUnsupported = 3001,
  kUnableToDeliver = 3002,
  kRealmNotServed = 3003,
  kTooBusy = 3004,
  kLoopDetected = 3005,
  kApplicationUnsupported = 3007,
  kInvalidHeaderBits = 3008,
  kInvalidAvpBits = 3009,
  kUnknownPeer = 3010,
  kOutOfSpace = 4002,
  kElectionLost = 4003,
  kAvpUnsupported = 5001,
  kInvalidAvpValue = 5004,
  kMissingAvp = 5005,
  kResourcesExceeded = 5006,
  kAvpNotAllowed = 5008,
  kAvpOccursTooManyTimes = 5009,
  kNoCommonApplication = 5010,
  kUnsupportedVersion = 5011,
  kUnableToComply = 5012,
  kInvalidBitInHeader = 5013,
  kInvalidAvpLength = 5014,
  kInvalidMessageLength = 5015,
  kNoCommonSecurity = 5017,
};

// A protocol error: the answer carries the E bit (RFC 6733, section 7.1.3).
inline bool IsProtocolError(ResultCode code) {
  const auto value = static_cast<std::uint32_t>(code);
  return value >= 3000 && value < 4000;
}

inline constexpr std::uint8_t kRequestBit = 0x80;
inline constexpr std::uint8_t kProxiableBit = 0x40;
inline constexpr std::uint8_t kErrorBit = 0x20;
inline constexpr std::uint8_t kRetransmitBit = 0x10;  // T: potentially retransmitted
inline constexpr std::uint8_t kReservedBits = 0x0f;

struct Header {
  std::uint8_t flags = 0;
  std::uint32_t command = 0;  // 24 bits
  std::uint32_t application = 0;
  std::uint32_t hop_by_hop = 0;
  std::uint32_t end_to_end = 0;

  bool request() const { return (flags & kRequestBit) != 0; }
  bool operator==(const Header&) const = default;
};

// A message whose framing, its AVPs' lengths included, has been checked. `avps` holds them as they came, with
// their padding, so that what is not understood can be passed on unchanged.
struct Message {
  Header header;
  std::string avps;
  bool operator==(const Message&) const = default;
};

// What is wrong with a message: the Result-Code of its answer, and the Failed-AVP's content where there is
// one (whole AVPs, padded).
struct MessageError {
  ResultCode code = ResultCode::kNone;
  std::string failed_avp;
  const char* text = "";
};

inline constexpr std::uint8_t kVendorBit = 0x80;
inline constexpr std::uint8_t kMandatoryBit = 0x40;

struct Avp {
  std::uint32_t code = 0;
  std::uint32_t vendor = 0;  // 0 = none
  std::uint8_t flags = 0;
  std::string_view data;
  std::string_view whole;  // header and data, without the padding

  bool Is(std::uint32_t other_code, std::uint32_t other_vendor = 0) const {
    return code == other_code && vendor == other_vendor;
  }
};

// Reads AVPs one after the other. What it reads must outlive it and its AVPs.
class AvpReader {
 public:
  explicit AvpReader(std::string_view bytes) : rest_(bytes) {}
  // The next one; none at the end, or if its length lies (then `fault` says so).
  std::optional<Avp> Next();
  const std::optional<MessageError>& fault() const { return fault_; }

 private:
  std::optional<Avp> Fail(std::size_t least);
  std::string_view rest_;
  std::optional<MessageError> fault_;
};

// Writes AVPs one after the other, each padded to four bytes. An AVP of more data than the 24-bit length can
// say is a mistake of the caller's.
class AvpWriter {
 public:
  AvpWriter& Add(std::uint32_t code, std::string_view data, std::uint8_t flags = kMandatoryBit,
                 std::uint32_t vendor = 0);
  AvpWriter& AddU32(std::uint32_t code, std::uint32_t value, std::uint8_t flags = kMandatoryBit,
                    std::uint32_t vendor = 0);
  AvpWriter& AddU64(std::uint32_t code, std::uint64_t value, std::uint8_t flags = kMandatoryBit,
                    std::uint32_t vendor = 0);
  // An AVP as a reader gave it, bit for bit.
  AvpWriter& Copy(const Avp& avp);
  const std::string& bytes() const { return bytes_; }
  std::string Take() { return std::move(bytes_); }

 private:
  void Pad();
  std::string bytes_;
};

// The first top-level AVP of this code and vendor.
std::optional<Avp> Find(std::string_view avps, std::uint32_t code, std::uint32_t vendor = 0);

// Numbers in network byte order; none if the data has another length.
std::optional<std::uint32_t> ToU32(std::string_view data);
std::optional<std::uint64_t> ToU64(std::string_view data);
std::string FromU32(std::uint32_t value);
std::string FromU64(std::uint64_t value);

// A whole message of `avps`, which must be whole, padded AVPs.
std::string Encode(const Header& header, std::string_view avps);

// A message that could not be read. `header` is what could be made out of its header: enough to answer.
struct MalformedMessage {
  Header header;
  MessageError fault;
};

// Reads one frame as Framer gives it.
std::variant<Message, MalformedMessage> Decode(std::string_view frame);

// Cuts a stream of bytes into frames.
class Framer {
 public:
  // `most`: bytes of the largest message that is taken, at most kMostLength.
  explicit Framer(std::size_t most) : most_(most) {}
  void Feed(std::string_view bytes);
  // The next whole frame; it is valid until the next call. None if more is needed or the stream is broken.
  std::optional<std::string_view> Next();
  // Why the stream can't be followed any further: another version, or a length that is too small, too large
  // or no multiple of four. Nothing behind it can be trusted; the connection is to be closed.
  const std::optional<MalformedMessage>& broken() const { return broken_; }
  // Bytes that wait for the rest of their message.
  std::size_t held() const { return buffer_.size() - taken_; }

 private:
  void Compact();
  std::size_t most_;
  std::string buffer_;
  std::size_t taken_ = 0;
  std::optional<MalformedMessage> broken_;
};

}  // namespace merlinrun::diameter

#endif  // MERLINRUN_DIAMETER_CODEC_HPP_
