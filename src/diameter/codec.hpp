// Encoding and decoding of Diameter messages (RFC 6733, sections 3 and 4). Does no I/O and throws nothing;
// every length is checked before it is used.
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
// Largest message that the 24-bit length field can express. Framer accepts less.
inline constexpr std::size_t kMaxMessageLength = (std::size_t{1} << 24) - 1;

// Result-Codes (RFC 6733, section 7.1) that are sent or interpreted.
enum class ResultCode : std::uint32_t {
  kNone = 0,  // no Result-Code
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

// Whether it is a protocol error, whose answer carries the E bit (RFC 6733, section 7.1.3).
inline bool IsProtocolError(ResultCode code) {
  const auto value = static_cast<std::uint32_t>(code);
  return value >= 3000 && value < 4000;
}

inline constexpr std::uint8_t kRequestBit = 0x80;
inline constexpr std::uint8_t kProxiableBit = 0x40;
inline constexpr std::uint8_t kErrorBit = 0x20;
inline constexpr std::uint8_t kRetransmitBit = 0x10;  // T bit: potentially retransmitted
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

// A message with valid framing and AVP lengths. `avps` holds the encoded AVPs with their padding, so that
// unknown ones can be forwarded unchanged.
struct Message {
  Header header;
  std::string avps;
  bool operator==(const Message&) const = default;
};

// The Result-Code for the error answer and the content of its Failed-AVP, if any (padded AVPs).
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
  std::string_view encoded;  // header and data, without padding

  bool Is(std::uint32_t other_code, std::uint32_t other_vendor = 0) const {
    return code == other_code && vendor == other_vendor;
  }
};

// Iterates over encoded AVPs. The bytes must outlive the reader and the AVPs that it returns.
class AvpReader {
 public:
  explicit AvpReader(std::string_view bytes) : rest_(bytes) {}
  // The next AVP; none at the end or if its length is invalid, which sets `fault`.
  std::optional<Avp> Next();
  const std::optional<MessageError>& fault() const { return fault_; }

 private:
  std::optional<Avp> Fail(std::size_t avp_header_size);
  std::string_view rest_;
  std::optional<MessageError> fault_;
};

// Encodes AVPs, each padded to four bytes. The data must fit the 24-bit length field.
class AvpWriter {
 public:
  AvpWriter& Add(std::uint32_t code, std::string_view data, std::uint8_t flags = kMandatoryBit,
                 std::uint32_t vendor = 0);
  AvpWriter& AddU32(std::uint32_t code, std::uint32_t value, std::uint8_t flags = kMandatoryBit,
                    std::uint32_t vendor = 0);
  AvpWriter& AddU64(std::uint32_t code, std::uint64_t value, std::uint8_t flags = kMandatoryBit,
                    std::uint32_t vendor = 0);
  // Appends an AVP unchanged.
  AvpWriter& Copy(const Avp& avp);
  const std::string& bytes() const { return bytes_; }
  std::string Take() { return std::move(bytes_); }

 private:
  void Pad();
  std::string bytes_;
};

// The first top-level AVP with this code and vendor.
std::optional<Avp> Find(std::string_view avps, std::uint32_t code, std::uint32_t vendor = 0);

// Network byte order; none if the size doesn't match.
std::optional<std::uint32_t> ToU32(std::string_view data);
std::optional<std::uint64_t> ToU64(std::string_view data);
std::string FromU32(std::uint32_t value);
std::string FromU64(std::uint64_t value);

// Encodes a message; `avps` must hold complete, padded AVPs.
std::string Encode(const Header& header, std::string_view avps);

// A message that couldn't be decoded, and what is known of its header, for the answer.
struct MalformedMessage {
  Header header;
  MessageError fault;
};

// Decodes one frame from a Framer.
std::variant<Message, MalformedMessage> Decode(std::string_view frame);

// Splits a byte stream into messages.
class Framer {
 public:
  // Messages over `max_frame_bytes`, which is at most kMaxMessageLength, are framing errors.
  explicit Framer(std::size_t max_frame_bytes) : max_frame_bytes_(max_frame_bytes) {}
  void Feed(std::string_view bytes);
  // The next complete frame, valid until the next call. None if bytes are missing or the stream is invalid.
  std::optional<std::string_view> Next();
  // Set if the stream can't be parsed any further: unsupported version, or a length that is too small, too
  // large or no multiple of four. The connection must be closed.
  const std::optional<MalformedMessage>& framing_error() const { return framing_error_; }
  // Bytes of incomplete messages.
  std::size_t buffered() const { return buffer_.size() - consumed_; }

 private:
  void Compact();
  std::size_t max_frame_bytes_;
  std::string buffer_;
  std::size_t consumed_ = 0;
  std::optional<MalformedMessage> framing_error_;
};

}  // namespace merlinrun::diameter

#endif  // MERLINRUN_DIAMETER_CODEC_HPP_
