// Numbers in the byte order of the store's files.
#ifndef FENNELHOLLOW_MESH_STORAGE_LITTLE_ENDIAN_HPP_
#define FENNELHOLLOW_MESH_STORAGE_LITTLE_ENDIAN_HPP_

#include <cstddef>
#include <string>
#include <string_view>

namespace fennelhollow::storage {

// The unsigned number at `offset`, which must lie within `bytes`.
template <class T>
T ReadLittleEndian(std::string_view bytes, std::size_t offset) {
  T value = 0;
  for (std::size_t i = sizeof(T); i > 0; --i)
    value = static_cast<T>(value << 8 | static_cast<unsigned char>(bytes[offset + i - 1]));
  return value;
}

template <class T>
void AppendLittleEndian(std::string& to, T value) {
  for (std::size_t i = 0; i < sizeof(T); ++i) to.push_back(static_cast<char>(value >> (8 * i) & 0xff));
}

}  // namespace fennelhollow::storage

#endif  // FENNELHOLLOW_MESH_STORAGE_LITTLE_ENDIAN_HPP_
