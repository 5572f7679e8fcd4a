#include "diameter/codec.hpp"

#include <algorithm>
#include <utility>

namespace merlinrun::diameter {
namespace {

constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kAvpHeaderSize = 8;
constexpr std::size_t kVendorAvpHeaderSize = 12;
// A larger buffer is released when it is empty.
constexpr std::size_t kMaxIdleBuffer = std::size_t{16} * 1024;

std::uint32_t ByteAt(std::string_view bytes, std::size_t at) { return static_cast<std::uint8_t>(bytes[at]); }

std::uint32_t ReadU24(std::string_view bytes, std::size_t at) {
  return ByteAt(bytes, at) << 16 | ByteAt(bytes, at + 1) << 8 | ByteAt(bytes, at + 2);
}

std::uint32_t ReadU32(std::string_view bytes, std::size_t at) {
  return ByteAt(bytes, at) << 24 | ReadU24(bytes, at + 1);
}

void AppendBigEndian(std::string& out, std::uint64_t value, int size) {
  for (int shift = 8 * (size - 1); shift >= 0; shift -= 8)
    out.push_back(static_cast<char>(value >> shift & 0xff));
}

std::size_t Padding(std::size_t length) { return (4 - length % 4) % 4; }

// Size of the AVP header, including the Vendor-Id if present.
std::size_t AvpHeaderSize(std::uint8_t flags) {
  return (flags & kVendorBit) != 0 ? kVendorAvpHeaderSize : kAvpHeaderSize;
}

// Reads a header that may be truncated or invalid; used for the ids of the answer.
Header ReadHeader(std::string_view bytes) {
  Header header;
  if (bytes.size() < kHeaderSize) return header;
  header.flags = static_cast<std::uint8_t>(bytes[4]);
  header.command = ReadU24(bytes, 5);
  header.application = ReadU32(bytes, 8);
  header.hop_by_hop = ReadU32(bytes, 12);
  header.end_to_end = ReadU32(bytes, 16);
  return header;
}

}  // namespace

// RFC 6733, section 7.5: the Failed-AVP of an invalid length holds the header of the offending AVP, and zeros
// as data up to the minimum size of its type; none if the type is unknown.
std::optional<Avp> AvpReader::Fail(std::size_t avp_header_size) {
  std::string failed(rest_.substr(0, std::min(rest_.size(), avp_header_size)));
  failed.resize(avp_header_size);
  failed[5] = 0;
  failed[6] = 0;
  failed[7] = static_cast<char>(avp_header_size);
  fault_ = MessageError{ResultCode::kInvalidAvpLength, std::move(failed), "an AVP's length is wrong"};
  rest_ = {};
  return std::nullopt;
}

std::optional<Avp> AvpReader::Next() {
  if (rest_.empty()) return std::nullopt;
  if (rest_.size() < kAvpHeaderSize) return Fail(kAvpHeaderSize);
  Avp avp;
  avp.code = ReadU32(rest_, 0);
  avp.flags = static_cast<std::uint8_t>(rest_[4]);
  const std::size_t length = ReadU24(rest_, 5);
  const std::size_t header_size = AvpHeaderSize(avp.flags);
  if (length < header_size || length > rest_.size()) return Fail(header_size);
  if (header_size == kVendorAvpHeaderSize) avp.vendor = ReadU32(rest_, kAvpHeaderSize);
  avp.encoded = rest_.substr(0, length);
  avp.data = avp.encoded.substr(header_size);
  // Only the last AVP of a group may lack its padding, as a message's length is a multiple of four.
  rest_.remove_prefix(std::min(rest_.size(), length + Padding(length)));
  return avp;
}

void AvpWriter::Pad() { bytes_.append(Padding(bytes_.size()), '\0'); }

AvpWriter& AvpWriter::Add(std::uint32_t code, std::string_view data, std::uint8_t flags,
                          std::uint32_t vendor) {
  if (vendor != 0) flags |= kVendorBit;
  AppendBigEndian(bytes_, code, 4);
  AppendBigEndian(bytes_, flags, 1);
  AppendBigEndian(bytes_, AvpHeaderSize(flags) + data.size(), 3);
  if ((flags & kVendorBit) != 0) AppendBigEndian(bytes_, vendor, 4);
  bytes_.append(data);
  Pad();
  return *this;
}

AvpWriter& AvpWriter::AddU32(std::uint32_t code, std::uint32_t value, std::uint8_t flags,
                             std::uint32_t vendor) {
  return Add(code, FromU32(value), flags, vendor);
}

AvpWriter& AvpWriter::AddU64(std::uint32_t code, std::uint64_t value, std::uint8_t flags,
                             std::uint32_t vendor) {
  return Add(code, FromU64(value), flags, vendor);
}

AvpWriter& AvpWriter::Copy(const Avp& avp) {
  bytes_.append(avp.encoded);
  Pad();
  return *this;
}

std::optional<Avp> Find(std::string_view avps, std::uint32_t code, std::uint32_t vendor) {
  AvpReader reader(avps);
  while (auto avp = reader.Next())
    if (avp->Is(code, vendor)) return avp;
  return std::nullopt;
}

std::optional<std::uint32_t> ToU32(std::string_view data) {
  if (data.size() != 4) return std::nullopt;
  return ReadU32(data, 0);
}

std::optional<std::uint64_t> ToU64(std::string_view data) {
  if (data.size() != 8) return std::nullopt;
  return std::uint64_t{ReadU32(data, 0)} << 32 | ReadU32(data, 4);
}

std::string FromU32(std::uint32_t value) {
  std::string out;
  AppendBigEndian(out, value, 4);
  return out;
}

std::string FromU64(std::uint64_t value) {
  std::string out;
  AppendBigEndian(out, value, 8);
  return out;
}

std::string Encode(const Header& header, std::string_view avps) {
  std::string out;
  out.reserve(kHeaderSize + avps.size());
  AppendBigEndian(out, kVersion, 1);
  AppendBigEndian(out, kHeaderSize + avps.size(), 3);
  AppendBigEndian(out, header.flags, 1);
  AppendBigEndian(out, header.command, 3);
  AppendBigEndian(out, header.application, 4);
  AppendBigEndian(out, header.hop_by_hop, 4);
  AppendBigEndian(out, header.end_to_end, 4);
  out.append(avps);
  return out;
}

std::variant<Message, MalformedMessage> Decode(std::string_view frame) {
  const Header header = ReadHeader(frame);
  const auto error = [&](MessageError fault) { return MalformedMessage{header, std::move(fault)}; };
  if (frame.size() < kHeaderSize || ReadU24(frame, 1) != frame.size() || frame.size() % 4 != 0)
    return error({ResultCode::kInvalidMessageLength, {}, "the message's length is wrong"});
  if (ByteAt(frame, 0) != kVersion)
    return error({ResultCode::kUnsupportedVersion, {}, "not version 1 of Diameter"});
  if ((header.flags & kReservedBits) != 0)
    return error({ResultCode::kInvalidBitInHeader, {}, "a reserved bit is set"});
  // Section 3: no E bit in requests, no T bit in answers.
  const std::uint8_t forbidden_bits = header.request() ? kErrorBit : kRetransmitBit;
  if ((header.flags & forbidden_bits) != 0)
    return error({ResultCode::kInvalidHeaderBits, {}, "bits of the header that do not go together"});
  AvpReader reader(frame.substr(kHeaderSize));
  while (reader.Next()) continue;
  if (reader.fault()) return error(*reader.fault());
  return Message{header, std::string(frame.substr(kHeaderSize))};
}

void Framer::Compact() {
  if (consumed_ == buffer_.size()) {
    buffer_.clear();
    if (buffer_.capacity() > kMaxIdleBuffer) buffer_ = std::string();
  } else {
    buffer_.erase(0, consumed_);
  }
  consumed_ = 0;
}

void Framer::Feed(std::string_view bytes) {
  if (framing_error_) return;
  if (consumed_ > 0) Compact();
  buffer_.append(bytes);
}

std::optional<std::string_view> Framer::Next() {
  const std::string_view rest = std::string_view(buffer_).substr(consumed_);
  if (framing_error_ || rest.size() < kHeaderSize) return std::nullopt;
  const std::size_t length = ReadU24(rest, 1);
  if (ByteAt(rest, 0) != kVersion)
    framing_error_ = MalformedMessage{ReadHeader(rest),
                                      {ResultCode::kUnsupportedVersion, {}, "not version 1 of Diameter"}};
  else if (length < kHeaderSize || length % 4 != 0 || length > max_frame_bytes_)
    framing_error_ =
        MalformedMessage{ReadHeader(rest),
                         {ResultCode::kInvalidMessageLength, {}, "a message's length is wrong or too large"}};
  if (framing_error_ || rest.size() < length) return std::nullopt;
  consumed_ += length;
  return rest.substr(0, length);
}

}  // namespace merlinrun::diameter
