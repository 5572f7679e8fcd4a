// A small file that holds one checked record and is replaced whole: either the old or the new content is
// there after a crash.
#ifndef FENNELHOLLOW_MESH_STORAGE_RECORD_FILE_HPP_
#define FENNELHOLLOW_MESH_STORAGE_RECORD_FILE_HPP_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace fennelhollow::storage {

// The body of the record. kNotFound: there is no file; kDataLoss: it is damaged; kUnavailable: disk error.
absl::StatusOr<std::string> ReadRecordFile(const std::string& path, std::size_t max_bytes);
// Returns once the record is synced under its name, in an existing directory. Blocks on disk I/O.
absl::Status ReplaceRecordFile(const std::string& path, std::string_view body);

}  // namespace fennelhollow::storage

#endif  // FENNELHOLLOW_MESH_STORAGE_RECORD_FILE_HPP_
