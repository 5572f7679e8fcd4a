#include "mesh/storage/file.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace fennelhollow::storage {
namespace {

constexpr mode_t kFileMode = 0600;

class Descriptor {
 public:
  Descriptor(const std::string& path, int flags) : fd_(::open(path.c_str(), flags | O_CLOEXEC, kFileMode)) {}
  ~Descriptor() {
    if (fd_ >= 0) ::close(fd_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int get() const { return fd_; }
  bool valid() const { return fd_ >= 0; }

 private:
  const int fd_;
};

absl::Status WriteAll(int fd, std::string_view bytes) {
  std::size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t n =
        ::pwrite(fd, bytes.data() + written, bytes.size() - written, static_cast<off_t>(written));
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) return FileError(errno, "write");
    if (n == 0) return FileError(ENOSPC, "write");
    written += static_cast<std::size_t>(n);
  }
  return absl::OkStatus();
}

}  // namespace

absl::Status FileError(int error, const char* operation) {
  const std::string text = std::string(operation) + ": " + std::strerror(error);
  if (error == ENOSPC || error == EDQUOT || error == EFBIG) return absl::ResourceExhaustedError(text);
  if (error == ENOENT) return absl::NotFoundError(text);
  return absl::UnavailableError(text);
}

absl::StatusOr<std::string> ReadFile(const std::string& path, std::size_t max_bytes) {
  const Descriptor file(path, O_RDONLY);
  if (!file.valid()) return FileError(errno, "open");
  struct stat info = {};
  if (::fstat(file.get(), &info) != 0) return FileError(errno, "stat");
  std::string bytes(std::min(static_cast<std::size_t>(info.st_size), max_bytes), '\0');
  std::size_t read = 0;
  while (read < bytes.size()) {
    const ssize_t n = ::pread(file.get(), bytes.data() + read, bytes.size() - read, static_cast<off_t>(read));
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) return FileError(errno, "read");
    if (n == 0) break;
    read += static_cast<std::size_t>(n);
  }
  bytes.resize(read);
  return bytes;
}

absl::Status WriteFileSynced(const std::string& path, std::string_view bytes) {
  const Descriptor file(path, O_WRONLY);
  if (!file.valid()) return FileError(errno, "open");
  if (absl::Status status = WriteAll(file.get(), bytes); !status.ok()) return status;
  if (::fdatasync(file.get()) != 0) return FileError(errno, "sync");
  return absl::OkStatus();
}

absl::Status CreateFile(const std::string& path) {
  const Descriptor file(path, O_WRONLY | O_CREAT);
  return file.valid() ? absl::OkStatus() : FileError(errno, "open");
}

absl::Status SyncFile(const std::string& path) {
  const Descriptor file(path, O_RDONLY);
  if (!file.valid()) return FileError(errno, "open");
  return ::fsync(file.get()) == 0 ? absl::OkStatus() : FileError(errno, "sync");
}

absl::Status SyncDirectory(const std::string& path) {
  const Descriptor directory(path, O_RDONLY | O_DIRECTORY);
  if (!directory.valid()) return FileError(errno, "open the directory");
  if (::fsync(directory.get()) != 0) return FileError(errno, "sync of the directory");
  return absl::OkStatus();
}

}  // namespace fennelhollow::storage
