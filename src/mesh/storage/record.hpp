// The record that a slot file of the store holds: a header with a sequence number and a checksum, then the
// body. Free of I/O.
#ifndef FENNELHOLLOW_MESH_STORAGE_RECORD_HPP_
#define FENNELHOLLOW_MESH_STORAGE_RECORD_HPP_

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace fennelhollow::storage {

struct Record {
  std::uint64_t sequence = 0;  // increases with each write; at least 1
  std::string body;
};

inline constexpr std::size_t kRecordHeaderBytes = 32;

std::uint64_t RecordChecksum(std::uint64_t sequence, std::string_view body);
std::string EncodeRecord(std::uint64_t sequence, std::string_view body);
// The record at the start of `file`; bytes behind it are ignored. kDataLoss if it is damaged or cut short.
absl::StatusOr<Record> DecodeRecord(std::string_view file);

}  // namespace fennelhollow::storage

#endif  // FENNELHOLLOW_MESH_STORAGE_RECORD_HPP_
