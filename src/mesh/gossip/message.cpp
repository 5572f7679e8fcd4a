#include "mesh/gossip/message.hpp"

#include <algorithm>
#include <charconv>

#include "base/random.hpp"
#include "mesh/gossip/view.hpp"
#include "mesh/transport/codec.hpp"

namespace fennelhollow::gossip {
namespace {

constexpr std::uint32_t kMagic = 0x464e4731;  // "FNG1"
constexpr std::uint32_t kVersion = 1;

struct Envelope {
  std::uint32_t magic = kMagic;
  std::uint32_t version = kVersion;
  std::uint64_t checksum = 0;  // of the body; detects corruption, not forgery
  std::string body;
  template <class Archive>
  void serialize(Archive& a) {
    a(magic, version, checksum, body);
  }
};

// A decimal number without sign or leading zeros, at most `limit`.
bool IsNumber(std::string_view text, unsigned limit) {
  unsigned value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size() && value <= limit &&
         (text.size() == 1 || text.front() != '0');
}

bool IsValid(const PeerRecord& record) {
  return record.name.size() <= kMaxNameBytes && IsAddress(record.address);
}

}  // namespace

bool IsAddress(std::string_view text) {
  const auto colon = text.find(':');
  if (colon == std::string_view::npos || text.substr(colon + 1) == "0" ||
      !IsNumber(text.substr(colon + 1), 65535))
    return false;
  std::string_view rest = text.substr(0, colon);
  for (int i = 0; i < 3; ++i) {
    const auto dot = rest.find('.');
    if (dot == std::string_view::npos || !IsNumber(rest.substr(0, dot), 255)) return false;
    rest.remove_prefix(dot + 1);
  }
  return IsNumber(rest, 255);
}

std::string Serialize(const Message& message) {
  Envelope envelope;
  envelope.body = transport::Pack(message);
  envelope.checksum = merlinrun::StableHash(envelope.body);
  return transport::Pack(envelope);
}

absl::StatusOr<Message> Parse(std::string_view bytes) {
  if (bytes.size() > kMaxDatagramBytes) return absl::DataLossError("datagram too long");
  const auto envelope = transport::Unpack<Envelope>(bytes);
  if (!envelope.ok()) return envelope.status();
  if (envelope->magic != kMagic || envelope->version != kVersion ||
      envelope->checksum != merlinrun::StableHash(envelope->body))
    return absl::DataLossError("datagram of another version, or corrupt");
  auto message = transport::Unpack<Message>(envelope->body);
  if (!message.ok()) return message;
  if ((message->kind != Kind::kRequest && message->kind != Kind::kResponse) ||
      message->name.size() > kMaxNameBytes || message->sidecars.size() > kExchangeSize ||
      message->cores.size() > kMaxCoresPerMessage ||
      !std::all_of(message->sidecars.begin(), message->sidecars.end(), IsValid) ||
      !std::all_of(message->cores.begin(), message->cores.end(), IsValid))
    return absl::DataLossError("datagram exceeds the limits");
  return message;
}

}  // namespace fennelhollow::gossip
