// Files of the store: whole reads and synced writes, with errors as statuses.
#ifndef FENNELHOLLOW_MESH_STORAGE_FILE_HPP_
#define FENNELHOLLOW_MESH_STORAGE_FILE_HPP_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace fennelhollow::storage {

// kResourceExhausted: the disk or the allowed file size is used up; kNotFound; else kUnavailable.
absl::Status FileError(int error, const char* operation);

// Reads at most `max_bytes` from the start of the file.
absl::StatusOr<std::string> ReadFile(const std::string& path, std::size_t max_bytes);
// Overwrites the start of an existing file and syncs it. Bytes behind stay.
absl::Status WriteFileSynced(const std::string& path, std::string_view bytes);
// Creates an empty file; an existing one stays as it is.
absl::Status CreateFile(const std::string& path);
absl::Status SyncFile(const std::string& path);
// After it, created, renamed and removed names of the directory last.
absl::Status SyncDirectory(const std::string& path);

}  // namespace fennelhollow::storage

#endif  // FENNELHOLLOW_MESH_STORAGE_FILE_HPP_
