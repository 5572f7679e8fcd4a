// The codec between own processes: cereal, and one plain error for what can't be read.
#ifndef FENNELHOLLOW_MESH_FRAMES_CODEC_HPP_
#define FENNELHOLLOW_MESH_FRAMES_CODEC_HPP_

#include <absl/status/statusor.h>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <istream>
#include <ostream>
#include <streambuf>
#include <string>
#include <string_view>

namespace fennelhollow::frames {

// The first frame on every link, from who dialled; one listener takes all kinds of links.
enum class Purpose : std::uint8_t { kHop = 1, kControl = 2, kCore = 3 };
inline constexpr std::uint32_t kVersion = 1;
struct Hello {
  std::uint32_t magic = 0x464e4831;  // "FNH1"
  std::uint32_t version = kVersion;
  Purpose purpose = Purpose::kHop;
  std::string from;        // node name
  std::string address;     // its internal address, ip:port
  std::uint64_t life = 0;  // drawn at its start
  template <class Archive>
  void serialize(Archive& a) {
    a(magic, version, purpose, from, address, life);
  }
};

template <class T>
std::string Pack(const T& value) {
  struct Buffer : std::streambuf {
    std::string out;
    std::streamsize xsputn(const char* s, std::streamsize n) override {
      out.append(s, static_cast<std::size_t>(n));
      return n;
    }
    int_type overflow(int_type c) override {
      if (c != traits_type::eof()) out.push_back(static_cast<char>(c));
      return c;
    }
  } buffer;
  std::ostream stream(&buffer);
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(value);
  }
  return std::move(buffer.out);
}

// kDataLoss: too short, too long, or claims more than has come.
template <class T>
absl::StatusOr<T> Unpack(std::string_view bytes) {
  struct Buffer : std::streambuf {
    explicit Buffer(std::string_view b) {
      char* p = const_cast<char*>(b.data());
      setg(p, p, p + b.size());
    }
  } buffer(bytes);
  std::istream stream(&buffer);
  T value{};
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    archive(value);
  } catch (const std::exception&) {  // cereal's own, and length errors of what it fills
    return absl::DataLossError("a frame can't be read");
  }
  if (buffer.in_avail() > 0) return absl::DataLossError("a frame has more bytes than it should");
  return value;
}

}  // namespace fennelhollow::frames

#endif  // FENNELHOLLOW_MESH_FRAMES_CODEC_HPP_
