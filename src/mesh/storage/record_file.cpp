#include "mesh/storage/record_file.hpp"

#include <filesystem>

#include "mesh/storage/file.hpp"
#include "mesh/storage/record.hpp"

namespace fennelhollow::storage {
namespace {

constexpr std::uint64_t kSequence = 1;  // there is only one record: nothing to compare it with

}  // namespace

absl::StatusOr<std::string> ReadRecordFile(const std::string& path, std::size_t max_bytes) {
  const auto file = ReadFile(path, max_bytes);
  if (!file.ok()) return file.status();
  auto record = DecodeRecord(*file);
  if (!record.ok()) return record.status();
  return std::move(record->body);
}

absl::Status ReplaceRecordFile(const std::string& path, std::string_view body) {
  const std::string written = path + ".new";
  // A longer one may be left of an earlier try.
  std::error_code error;
  std::filesystem::remove(written, error);
  if (absl::Status status = CreateFile(written); !status.ok()) return status;
  if (absl::Status status = WriteFileSynced(written, EncodeRecord(kSequence, body)); !status.ok())
    return status;
  std::filesystem::rename(written, path, error);
  if (error) return FileError(error.value(), "rename");
  return SyncDirectory(std::filesystem::path(path).parent_path());
}

}  // namespace fennelhollow::storage
