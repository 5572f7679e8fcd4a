// The codec between own processes: cereal, and one plain error for what can't be read.
#ifndef FENNELHOLLOW_MESH_TRANSPORT_CODEC_HPP_
#define FENNELHOLLOW_MESH_TRANSPORT_CODEC_HPP_

#include <absl/status/statusor.h>

#include <algorithm>
#include <bit>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <cstring>
#include <ostream>
#include <streambuf>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace fennelhollow::transport {

// The first frame on every link, from who dialled; one listener takes all kinds of links.
enum class Purpose : std::uint8_t { kProxy = 1, kControl = 2, kCore = 3 };
inline constexpr std::uint32_t kVersion = 2;
struct Hello {
  std::uint32_t magic = 0x464e4831;  // "FNH1"
  std::uint32_t version = kVersion;
  Purpose purpose = Purpose::kProxy;
  std::string from;               // node name
  std::string address;            // its internal address, ip:port
  std::uint64_t incarnation = 0;  // drawn at its start
  template <class Archive>
  void serialize(Archive& a) {
    a(magic, version, purpose, from, address, incarnation);
  }
};
// Whether it is from a program that speaks as this one does.
inline bool IsCompatible(const Hello& hello) {
  return hello.magic == Hello{}.magic && hello.version == kVersion;
}

// Reads what cereal's PortableBinaryOutputArchive wrote. Guards against frames that claim more than they
// bring: cereal's own input makes room for a claimed length before it has read a byte.
class Reader : public cereal::InputArchive<Reader, cereal::AllowEmptyClassElision> {
 public:
  explicit Reader(std::string_view bytes) : InputArchive(this), remaining_(bytes) {
    unsigned char little = 0;
    ReadBytes(&little, 1);
    if (little > 1) throw cereal::Exception("neither byte order");
    swap_ = (little == 1) != (std::endian::native == std::endian::little);
  }
  std::size_t remaining() const { return remaining_.size(); }

  void ReadBytes(void* to, std::size_t n) {
    Require(n);
    if (n > 0) std::memcpy(to, remaining_.data(), n);
    remaining_.remove_prefix(n);
  }
  template <class T>
  void ReadNumber(T& value) {
    unsigned char bytes[sizeof(T)];
    ReadBytes(bytes, sizeof bytes);
    if (swap_) std::reverse(bytes, bytes + sizeof bytes);
    if constexpr (std::is_same_v<T, bool>) {
      if (bytes[0] > 1) throw cereal::Exception("neither true nor false");
      value = bytes[0] == 1;
    } else {
      std::memcpy(&value, bytes, sizeof bytes);
    }
  }
  // A count of what takes a byte each at least.
  std::size_t ReadCount() {
    std::uint64_t count = 0;
    ReadNumber(count);
    Require(count);
    return static_cast<std::size_t>(count);
  }

 private:
  void Require(std::uint64_t n) const {
    if (n > remaining_.size()) throw cereal::Exception("more is claimed than has come");
  }
  std::string_view remaining_;
  bool swap_ = false;
};

// The names are cereal's.
template <class T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(Reader& a, T& value) {
  a.ReadNumber(value);
}
template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(Reader& a, cereal::NameValuePair<T>& pair) {
  a(pair.value);
}
template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(Reader& a, cereal::SizeTag<T>& tag) {
  tag.size = a.ReadCount();
}
inline void CEREAL_LOAD_FUNCTION_NAME(Reader& a, std::string& text) {
  text.resize(a.ReadCount());
  a.ReadBytes(text.data(), text.size());
}
// Grows with what has come: an element may take far more room here than in the frame.
template <class T, class Allocator>
void CEREAL_LOAD_FUNCTION_NAME(Reader& a, std::vector<T, Allocator>& list) {
  list.clear();
  for (std::size_t left = a.ReadCount(); left > 0; --left) a(list.emplace_back());
}

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
  T value{};
  try {
    Reader reader(bytes);
    reader(value);
    if (reader.remaining() > 0) return absl::DataLossError("a frame has more bytes than it should");
  } catch (const std::exception&) {  // cereal's own, and length errors of what it fills
    return absl::DataLossError("a frame can't be read");
  }
  return value;
}

}  // namespace fennelhollow::transport

// What writes for it; cereal asks when it loads enumerations.
template <>
struct cereal::traits::detail::get_output_from_input<fennelhollow::transport::Reader> {
  using type = cereal::PortableBinaryOutputArchive;
};

#endif  // FENNELHOLLOW_MESH_TRANSPORT_CODEC_HPP_
