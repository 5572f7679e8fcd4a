// Files of the store must never be followed outside their bytes, whatever they hold.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "mesh/storage/lmdb_record.hpp"
#include "mesh/storage/record.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  namespace storage = fennelhollow::storage;
  const std::string_view file(reinterpret_cast<const char*>(data), size);
  const auto record = storage::DecodeRecord(file);
  if (record.ok() && record->body.size() > size) __builtin_trap();
  const auto lmdb = storage::ReadLmdbRecord(file);
  if (lmdb.ok() && lmdb->has_value() && (*lmdb)->body.size() > size) __builtin_trap();
  return 0;
}
