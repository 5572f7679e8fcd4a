#include "record/format.hpp"

#include <algorithm>
#include <boost/crc.hpp>
#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/uuid.hpp>
#include <cstring>
#include <optional>

namespace merlinrun::record {
namespace {

constexpr std::string_view kMagic = "FNHREC\r\n";  // detects conversions of line breaks
constexpr std::uint16_t kVersion = 1;
constexpr std::size_t kHeaderStart = 8 + 2 + 4 + 4;  // magic, version, length, checksum
constexpr std::size_t kBlockStart = 4 + 4 + 8 + 4;   // length, count, lost, checksum
// Larger than any valid length; damaged lengths must not cause large allocations.
constexpr std::uint32_t kMaxLength = 16 << 20;
constexpr std::size_t kMaxClasses = 255;

template <typename T>
void Put(std::string& out, T value) {
  for (std::size_t i = 0; i < sizeof(T); ++i) out.push_back(static_cast<char>(value >> (8 * i) & 0xff));
}

void PutNumber(std::string& out, std::uint64_t value) {
  for (; value >= 0x80; value >>= 7) out.push_back(static_cast<char>(value | 0x80));
  out.push_back(static_cast<char>(value));
}
// ZigZag encoding: small values of either sign are short.
void PutSigned(std::string& out, std::int64_t value) {
  PutNumber(out, (static_cast<std::uint64_t>(value) << 1) ^ static_cast<std::uint64_t>(value >> 63));
}

std::uint32_t Checksum(std::string_view a, std::string_view b = {}) {
  boost::crc_32_type crc;
  crc.process_bytes(a.data(), a.size());
  crc.process_bytes(b.data(), b.size());
  return crc.checksum();
}

// Reads values in sequence. Once data was missing, good() stays false and all values are 0 or empty.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : rest_(bytes) {}
  bool good() const { return good_; }
  bool empty() const { return rest_.empty(); }

  std::string_view Bytes(std::size_t count) {
    if (count > rest_.size()) good_ = false;
    if (!good_) return {};
    const std::string_view out = rest_.substr(0, count);
    rest_.remove_prefix(count);
    return out;
  }
  template <typename T>
  T Take() {
    const std::string_view bytes = Bytes(sizeof(T));
    T value = 0;
    for (std::size_t i = 0; i < bytes.size(); ++i)
      value = static_cast<T>(value |
                             static_cast<T>(static_cast<T>(static_cast<unsigned char>(bytes[i])) << (8 * i)));
    return value;
  }
  std::uint64_t Number() {
    std::uint64_t value = 0;
    for (int shift = 0; shift < 64; shift += 7) {
      const auto byte = Take<std::uint8_t>();
      value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
      if (byte < 0x80) return value;
    }
    good_ = false;
    return 0;
  }
  std::int64_t Signed() {
    const std::uint64_t value = Number();
    return static_cast<std::int64_t>(value >> 1) ^ -static_cast<std::int64_t>(value & 1);
  }

 private:
  std::string_view rest_;
  bool good_ = true;
};

constexpr std::uint8_t kRetryBit = 0x80;
constexpr std::uint8_t kKeyBit = 0x40;
constexpr std::uint32_t kMaxProtocol = 31;

// A record starts with a byte of flags.
bool ReadRecord(Reader& reader, Micros& last, std::size_t classes, Record& out) {
  const auto flags = reader.Take<std::uint8_t>();
  out.disposition = static_cast<Disposition>(flags & 3);
  out.is_retry = (flags & kRetryBit) != 0;
  out.arrival_time = last = last + reader.Signed();
  const std::uint64_t class_index = reader.Number();
  const std::uint64_t protocol = reader.Number();
  const std::uint64_t attempts = reader.Number();
  out.budget = static_cast<Micros>(reader.Number());
  out.duration = static_cast<Micros>(reader.Number());
  out.id = reader.Take<std::uint64_t>();
  out.key = (flags & kKeyBit) != 0 ? reader.Take<std::uint64_t>() : 0;
  out.request_class = static_cast<std::uint32_t>(class_index);
  out.protocol = static_cast<std::uint8_t>(protocol);
  out.attempts = static_cast<std::uint32_t>(attempts);
  return reader.good() && class_index < classes && protocol <= kMaxProtocol && attempts <= UINT32_MAX &&
         out.budget >= 0 && out.duration >= 0;
}

std::optional<Header> ReadHeader(std::string_view bytes) {
  Reader reader(bytes);
  Header out;
  out.sidecar_hash = reader.Take<std::uint64_t>();
  out.start_time_us = reader.Take<std::uint64_t>();
  const auto count = reader.Take<std::uint8_t>();
  for (std::size_t i = 0; i < count; ++i) out.classes.emplace_back(reader.Bytes(reader.Take<std::uint8_t>()));
  if (!reader.good() || !reader.empty()) return std::nullopt;
  return out;
}

std::string At(std::size_t offset) { return " at byte " + std::to_string(offset); }

}  // namespace

Hasher::Hasher(std::string_view salt) {
  const boost::uuids::name_generator_sha1 generate{boost::uuids::uuid{}};
  const boost::uuids::uuid space = generate(salt.data(), salt.size());
  std::copy(space.begin(), space.end(), space_);
}

std::uint64_t Hasher::operator()(std::string_view text) const {
  boost::uuids::uuid space{};
  std::copy(std::begin(space_), std::end(space_), space.begin());
  const boost::uuids::uuid uuid = boost::uuids::name_generator_sha1(space)(text.data(), text.size());
  std::uint64_t out = 0;
  std::memcpy(&out, uuid.data, sizeof out);
  return out == 0 ? 1 : out;
}

std::string EncodeHeader(const Header& header) {
  std::string body;
  Put(body, header.sidecar_hash);
  Put(body, header.start_time_us);
  const std::size_t count = std::min(header.classes.size(), kMaxClasses);
  Put(body, static_cast<std::uint8_t>(count));
  for (std::size_t i = 0; i < count; ++i) {
    const std::string name = header.classes[i].substr(0, UINT8_MAX);
    Put(body, static_cast<std::uint8_t>(name.size()));
    body += name;
  }
  std::string out(kMagic);
  Put(out, kVersion);
  Put(out, static_cast<std::uint32_t>(body.size()));
  Put(out, Checksum(body));
  return out + body;
}

void BlockWriter::Add(const Record& record) {
  const std::uint8_t flags =
      static_cast<std::uint8_t>(static_cast<std::uint8_t>(record.disposition) |
                                (record.is_retry ? kRetryBit : 0) | (record.key != 0 ? kKeyBit : 0));
  Put(records_, flags);
  PutSigned(records_, record.arrival_time - last_);
  last_ = record.arrival_time;
  PutNumber(records_, record.request_class);
  PutNumber(records_, record.protocol);
  PutNumber(records_, record.attempts);
  PutNumber(records_, static_cast<std::uint64_t>(std::max<Micros>(record.budget, 0)));
  PutNumber(records_, static_cast<std::uint64_t>(std::max<Micros>(record.duration, 0)));
  Put(records_, record.id);
  if (record.key != 0) Put(records_, record.key);
  ++count_;
}

std::string BlockWriter::Take(std::uint64_t lost_records) {
  std::string start;
  Put(start, static_cast<std::uint32_t>(records_.size()));
  Put(start, count_);
  Put(start, lost_records);
  std::string out = start;
  Put(out, Checksum(start, records_));
  out += records_;
  records_.clear();
  count_ = 0;
  last_ = 0;  // blocks can be read independently
  return out;
}

std::variant<Recording, std::string> ParseRecording(std::string_view bytes) {
  if (bytes.substr(0, kMagic.size()) != kMagic.substr(0, std::min(bytes.size(), kMagic.size())) ||
      bytes.empty())
    return "no recording of this project";
  Reader reader(bytes);
  reader.Bytes(kMagic.size());
  const auto version = reader.Take<std::uint16_t>();
  if (reader.good() && version != kVersion)
    return "a recording of version " + std::to_string(version) + ", and this program reads " +
           std::to_string(kVersion);
  const auto length = reader.Take<std::uint32_t>();
  const auto checksum = reader.Take<std::uint32_t>();
  if (!reader.good() || length > kMaxLength) return "its header is cut off or damaged";
  const std::string_view body = reader.Bytes(length);
  const auto header = reader.good() && Checksum(body) == checksum ? ReadHeader(body) : std::nullopt;
  if (!header) return "its header is cut off or damaged";

  Recording out;
  out.header = *header;
  std::size_t offset = kHeaderStart + length;
  while (!reader.empty()) {
    const std::string_view start = bytes.substr(offset, kBlockStart - 4);
    const auto size = reader.Take<std::uint32_t>();
    const auto count = reader.Take<std::uint32_t>();
    const auto lost = reader.Take<std::uint64_t>();
    const auto sum = reader.Take<std::uint32_t>();
    if (reader.good() && size > kMaxLength) return "it is damaged" + At(offset);
    const std::string_view records = reader.Bytes(size);
    if (!reader.good()) return "it is cut off" + At(offset);
    if (Checksum(start, records) != sum) return "it is damaged" + At(offset);
    Reader within(records);
    Micros last = 0;
    for (std::uint32_t i = 0; i < count; ++i) {
      Record record;
      if (!ReadRecord(within, last, out.header.classes.size(), record)) return "it is damaged" + At(offset);
      out.records.push_back(record);
    }
    if (!within.empty()) return "it is damaged" + At(offset);
    out.lost_records += lost;
    offset += kBlockStart + size;
  }
  return out;
}

}  // namespace merlinrun::record
