#include "mesh/storage/record.hpp"

#include "base/random.hpp"
#include "mesh/storage/little_endian.hpp"

namespace fennelhollow::storage {
namespace {

constexpr std::uint64_t kMagic = 0x3144524f43455246ULL;  // "FRECORD1"
constexpr std::size_t kMagicAt = 0, kSequenceAt = 8, kSizeAt = 16, kChecksumAt = 24;

}  // namespace

std::uint64_t RecordChecksum(std::uint64_t sequence, std::string_view body) {
  return merlinrun::MixBits(merlinrun::StableHash(body) ^ merlinrun::MixBits(sequence) ^ body.size());
}

std::string EncodeRecord(std::uint64_t sequence, std::string_view body) {
  std::string file;
  file.reserve(kRecordHeaderBytes + body.size());
  AppendLittleEndian(file, kMagic);
  AppendLittleEndian(file, sequence);
  AppendLittleEndian(file, std::uint64_t{body.size()});
  AppendLittleEndian(file, RecordChecksum(sequence, body));
  file.append(body);
  return file;
}

absl::StatusOr<Record> DecodeRecord(std::string_view file) {
  if (file.size() < kRecordHeaderBytes) return absl::DataLossError("the record's header is cut short");
  if (ReadLittleEndian<std::uint64_t>(file, kMagicAt) != kMagic) return absl::DataLossError("no record");
  const auto sequence = ReadLittleEndian<std::uint64_t>(file, kSequenceAt);
  const auto size = ReadLittleEndian<std::uint64_t>(file, kSizeAt);
  if (size > file.size() - kRecordHeaderBytes) return absl::DataLossError("the record is cut short");
  const std::string_view body = file.substr(kRecordHeaderBytes, static_cast<std::size_t>(size));
  const auto checksum = ReadLittleEndian<std::uint64_t>(file, kChecksumAt);
  if (sequence == 0 || checksum != RecordChecksum(sequence, body))
    return absl::DataLossError("checksum mismatch in a record");
  return Record{sequence, std::string(body)};
}

}  // namespace fennelhollow::storage
