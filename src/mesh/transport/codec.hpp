// Serialization of messages between the mesh's own processes, with cereal, hardened against malformed input.
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

// The first frame on every link, sent by the side that dialled; one listener accepts all kinds of links.
// kProxy: requests between sidecars; kControl: sidecar to core; kCore: between cores.
enum class Purpose : std::uint8_t { kProxy = 1, kControl = 2, kCore = 3 };
inline constexpr std::uint32_t kVersion = 2;
struct Hello {
  std::uint32_t magic = 0x464e4831;  // "FNH1"
  std::uint32_t version = kVersion;
  Purpose purpose = Purpose::kProxy;
  std::string from;               // node name
  std::string address;            // internal address of the sender, ip:port
  std::uint64_t incarnation = 0;  // drawn at random at each start of the process
  template <class Archive>
  void serialize(Archive& a) {
    a(magic, version, purpose, from, address, incarnation);
  }
};
// Whether the sender uses the same protocol version.
inline bool IsCompatible(const Hello& hello) {
  return hello.magic == Hello{}.magic && hello.version == kVersion;
}

// Reads the format of cereal's PortableBinaryOutputArchive. Unlike cereal's own input archive it does not
// allocate memory for a claimed length before that many bytes are available.
class Reader : public cereal::InputArchive<Reader, cereal::AllowEmptyClassElision> {
 public:
  explicit Reader(std::string_view bytes) : InputArchive(this), remaining_(bytes) {
    unsigned char byte_order = 0;
    ReadBytes(&byte_order, 1);
    if (byte_order > 1) throw cereal::Exception("invalid byte order mark");
    swap_ = (byte_order == 1) != (std::endian::native == std::endian::little);
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
      if (bytes[0] > 1) throw cereal::Exception("invalid bool");
      value = bytes[0] == 1;
    } else {
      std::memcpy(&value, bytes, sizeof bytes);
    }
  }
  // A count of elements that take at least one byte each.
  std::size_t ReadCount() {
    std::uint64_t count = 0;
    ReadNumber(count);
    Require(count);
    return static_cast<std::size_t>(count);
  }

 private:
  void Require(std::uint64_t n) const {
    if (n > remaining_.size()) throw cereal::Exception("length exceeds the frame");
  }
  std::string_view remaining_;
  bool swap_ = false;
};

// Names required by cereal.
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
// Grows element by element instead of allocating for the claimed count: an element may need far more memory
// than it takes bytes in the frame.
template <class T, class Allocator>
void CEREAL_LOAD_FUNCTION_NAME(Reader& a, std::vector<T, Allocator>& list) {
  list.clear();
  for (std::size_t remaining_count = a.ReadCount(); remaining_count > 0; --remaining_count)
    a(list.emplace_back());
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

// kDataLoss if malformed or of the wrong length.
template <class T>
absl::StatusOr<T> Unpack(std::string_view bytes) {
  T value{};
  try {
    Reader reader(bytes);
    reader(value);
    if (reader.remaining() > 0) return absl::DataLossError("trailing bytes in frame");
  } catch (const std::exception&) {  // of cereal, and length errors of containers
    return absl::DataLossError("malformed frame");
  }
  return value;
}

// The number that a packed message begins with, by which its kind is told; 0 if there is none.
inline std::uint64_t PeekNumber(std::string_view bytes) {
  std::uint64_t number = 0;
  try {
    Reader reader(bytes);
    reader(number);
  } catch (const cereal::Exception&) {
    return 0;
  }
  return number;
}

}  // namespace fennelhollow::transport

// The matching output archive; required by cereal to load enumerations.
template <>
struct cereal::traits::detail::get_output_from_input<fennelhollow::transport::Reader> {
  using type = cereal::PortableBinaryOutputArchive;
};

#endif  // FENNELHOLLOW_MESH_TRANSPORT_CODEC_HPP_
