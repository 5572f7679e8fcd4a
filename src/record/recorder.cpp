#include "record/recorder.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstring>
#include <deque>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <utility>

#include "config/toml_error.hpp"

namespace merlinrun::record {
namespace {

// A block is passed to the writer when it has this size, or this age when the next record is added.
constexpr std::size_t kBlockSize = std::size_t{32} << 10;
constexpr Micros kMaxBlockAge = 1'000'000;
// Further blocks are dropped.
constexpr std::size_t kMaxPendingBlocks = 32;
// Reserved at the end of the file for empty blocks, which only report lost records.
constexpr std::uint64_t kReservedBytes = 64;
// How long the shutdown waits for a slow disk.
constexpr auto kShutdownTimeout = std::chrono::seconds(1);

class File : public RecordingFile {
 public:
  File(const std::string& path, std::uint64_t max_size)
      : max_size_(max_size), file_(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600)) {
    if (file_ < 0) throw std::runtime_error(path + ": can't be written: " + std::strerror(errno));
  }
  ~File() override { ::close(file_); }
  File(const File&) = delete;
  File& operator=(const File&) = delete;

  bool Append(std::string_view bytes) override {
    const std::uint64_t limit = bytes.size() > kReservedBytes ? max_size_ - kReservedBytes : max_size_;
    if (size_ + bytes.size() > limit) return false;
    std::string_view rest = bytes;
    while (!rest.empty()) {
      const ssize_t written = ::write(file_, rest.data(), rest.size());
      if (written < 0 && errno == EINTR) continue;
      if (written <= 0) return RemovePartialWrite();
      rest.remove_prefix(static_cast<std::size_t>(written));
    }
    size_ += bytes.size();
    return true;
  }

 private:
  bool RemovePartialWrite() {
    const auto valid_size = static_cast<off_t>(size_);
    if (::ftruncate(file_, valid_size) != 0 || ::lseek(file_, valid_size, SEEK_SET) != valid_size)
      size_ = max_size_;  // writes nothing more
    return false;
  }
  const std::uint64_t max_size_;
  const int file_;
  std::uint64_t size_ = 0;
};

using config::FormatTomlError;

}  // namespace

std::variant<RecordingSettings, std::string> ParseRecordingSettings(std::string_view text,
                                                                    const std::string& file) {
  constexpr std::int64_t kMaxMegabytes = 1 << 20;
  constexpr std::size_t kMinSaltBytes = 16;  // shorter salts can be guessed, and then the hashed ids
  try {
    const toml::table root = toml::parse(text, file);
    RecordingSettings out;
    for (const auto& [key, node] : root) {
      if (key == "file" && node.is_string()) {
        out.file = node.value_or(std::string());
      } else if (key == "salt" && node.is_string()) {
        out.salt = node.value_or(std::string());
        if (out.salt.size() < kMinSaltBytes)
          return FormatTomlError(node.source(), file, "salt: at least 16 bytes are needed");
      } else if (key == "most_mb" && node.is_integer()) {
        const auto megabytes = node.value_or(std::int64_t{0});
        if (megabytes < 1 || megabytes > kMaxMegabytes)
          return FormatTomlError(node.source(), file, "most_mb: a whole number from 1 to 1048576 is needed");
        out.max_bytes = static_cast<std::uint64_t>(megabytes) << 20;
      } else {
        return FormatTomlError(node.source(), file,
                               "'" + std::string(key.str()) + "' is unknown or of the wrong kind");
      }
    }
    if (out.file.empty() || out.salt.empty() || out.max_bytes == 0)
      return FormatTomlError(root.source(), file, "file, salt and most_mb are needed");
    return out;
  } catch (const toml::parse_error& error) {
    return FormatTomlError(error.source(), file, error.description());
  }
}

std::unique_ptr<RecordingFile> OpenFile(const std::string& path, std::uint64_t max_size) {
  return std::make_unique<File>(path, max_size);
}

// Shared by the loop's thread and the writer's, which may outlive the recorder.
struct Recorder::Shared {
  struct Block {
    BlockWriter records;
    std::uint32_t count = 0;
  };
  std::unique_ptr<RecordingFile> output;  // only used by the writer's thread after the start
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<Block> pending;
  bool stopping = false;
  bool stopped = false;
  std::uint64_t recorded = 0;
  std::uint64_t lost = 0;
  std::uint64_t lost_reported = 0;  // reported in a written block
};

Recorder::Recorder(std::unique_ptr<RecordingFile> output, const Header& header, std::string_view salt,
                   Micros now)
    : hash_(salt), start_time_(now), shared_(std::make_shared<Shared>()) {
  if (!output->Append(EncodeHeader(header)))
    throw std::runtime_error("the recording's header can't be written");
  shared_->output = std::move(output);
  std::thread(Write, shared_).detach();
}

Recorder::~Recorder() {
  FlushBlock();
  std::unique_lock<std::mutex> lock(shared_->mutex);
  shared_->stopping = true;
  shared_->changed.notify_all();
  shared_->changed.wait_for(lock, kShutdownTimeout, [this] { return shared_->stopped; });
}

void Recorder::Add(Micros now, Record record, std::string_view id, std::string_view key) {
  if (block_.count() == 0) block_start_ = now;
  record.arrival_time -= start_time_;
  record.id = hash_(id);
  record.key = key.empty() ? 0 : hash_(key);
  block_.Add(record);
  if (block_.size() >= kBlockSize || now - block_start_ >= kMaxBlockAge) FlushBlock();
}

void Recorder::FlushBlock() {
  if (block_.count() == 0) return;
  const std::lock_guard<std::mutex> lock(shared_->mutex);  // never held during I/O
  const std::uint32_t count = block_.count();
  if (shared_->pending.size() >= kMaxPendingBlocks)
    shared_->lost += count;
  else
    shared_->pending.push_back({std::move(block_), count});
  block_ = BlockWriter();
  shared_->changed.notify_all();
}

// False if the block could not be written. An exception that left the writer's thread would end the process.
bool Recorder::Append(Shared& shared, BlockWriter& records, std::uint64_t unreported) noexcept {
  try {
    return shared.output->Append(records.Take(unreported));
  } catch (const std::exception&) {
    return false;
  }
}

void Recorder::Write(const std::shared_ptr<Shared>& shared) {
  std::unique_lock<std::mutex> lock(shared->mutex);
  for (;;) {
    shared->changed.wait(lock, [&] { return shared->stopping || !shared->pending.empty(); });
    if (shared->pending.empty()) break;
    Shared::Block block = std::move(shared->pending.front());
    shared->pending.pop_front();
    const std::uint64_t lost = shared->lost;
    const std::uint64_t unreported = lost - shared->lost_reported;
    lock.unlock();
    const bool written = Append(*shared, block.records, unreported);
    lock.lock();
    if (written) {
      shared->recorded += block.count;
      shared->lost_reported = lost;
    } else {
      shared->lost += block.count;
    }
  }
  if (const std::uint64_t unreported = shared->lost - shared->lost_reported; unreported > 0) {
    lock.unlock();
    BlockWriter no_records;
    Append(*shared, no_records, unreported);
    lock.lock();
  }
  shared->stopped = true;
  shared->changed.notify_all();
}

std::uint64_t Recorder::recorded() const {
  const std::lock_guard<std::mutex> lock(shared_->mutex);
  return shared_->recorded;
}
std::uint64_t Recorder::lost() const {
  const std::lock_guard<std::mutex> lock(shared_->mutex);
  return shared_->lost;
}

}  // namespace merlinrun::record
