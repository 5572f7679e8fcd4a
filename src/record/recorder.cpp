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

// A block is handed to the writer when it is so big, or so old when the next record comes.
constexpr std::size_t kBlock = std::size_t{32} << 10;
constexpr Micros kMostAge = 1'000'000;
// Blocks that wait for the disk. At 300 requests a second they are half an hour; one more is lost.
constexpr std::size_t kMostWaiting = 32;
// The file's last bytes are kept for the blocks that tell nothing but how much was lost.
constexpr std::uint64_t kLastWord = 64;
// How long the end of the sidecar waits for a slow disk. Guards against a planned end that never comes.
constexpr auto kFarewell = std::chrono::seconds(1);

class File : public Disk {
 public:
  File(const std::string& path, std::uint64_t most)
      : most_(most), file_(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600)) {
    if (file_ < 0) throw std::runtime_error(path + ": can't be written: " + std::strerror(errno));
  }
  ~File() override { ::close(file_); }
  File(const File&) = delete;
  File& operator=(const File&) = delete;

  bool Append(std::string_view bytes) override {
    const std::uint64_t most = bytes.size() > kLastWord ? most_ - kLastWord : most_;
    if (size_ + bytes.size() > most) return false;
    std::string_view rest = bytes;
    while (!rest.empty()) {
      const ssize_t written = ::write(file_, rest.data(), rest.size());
      if (written < 0 && errno == EINTR) continue;
      if (written <= 0) return Undo();
      rest.remove_prefix(static_cast<std::size_t>(written));
    }
    size_ += bytes.size();
    return true;
  }

 private:
  bool Undo() {
    const auto whole = static_cast<off_t>(size_);
    if (::ftruncate(file_, whole) != 0 || ::lseek(file_, whole, SEEK_SET) != whole)
      size_ = most_;  // no more of it
    return false;
  }
  const std::uint64_t most_;
  const int file_;
  std::uint64_t size_ = 0;
};

using config::FormatTomlError;

}  // namespace

std::variant<RecordingSettings, std::string> ParseRecordingSettings(std::string_view text,
                                                                    const std::string& file) {
  constexpr std::int64_t kMostMegabytes = 1 << 20;
  constexpr std::size_t kLeastSalt = 16;  // bytes: less can be guessed, and with it the ids
  try {
    const toml::table root = toml::parse(text, file);
    RecordingSettings out;
    for (const auto& [key, node] : root) {
      if (key == "file" && node.is_string()) {
        out.file = node.value_or(std::string());
      } else if (key == "salt" && node.is_string()) {
        out.salt = node.value_or(std::string());
        if (out.salt.size() < kLeastSalt)
          return FormatTomlError(node.source(), file, "salt: at least 16 bytes are needed");
      } else if (key == "most_mb" && node.is_integer()) {
        const auto megabytes = node.value_or(std::int64_t{0});
        if (megabytes < 1 || megabytes > kMostMegabytes)
          return FormatTomlError(node.source(), file, "most_mb: a whole number from 1 to 1048576 is needed");
        out.most_bytes = static_cast<std::uint64_t>(megabytes) << 20;
      } else {
        return FormatTomlError(node.source(), file,
                               "'" + std::string(key.str()) + "' is unknown or of the wrong kind");
      }
    }
    if (out.file.empty() || out.salt.empty() || out.most_bytes == 0)
      return FormatTomlError(root.source(), file, "file, salt and most_mb are needed");
    return out;
  } catch (const toml::parse_error& error) {
    return FormatTomlError(error.source(), file, error.description());
  }
}

std::unique_ptr<Disk> OpenFile(const std::string& path, std::uint64_t most) {
  return std::make_unique<File>(path, most);
}

// What the loop's thread and the writer's have in common. The writer keeps it alive, should it outlast the
// recorder.
struct Recorder::Shared {
  struct Block {
    BlockWriter records;
    std::uint32_t count = 0;
  };
  std::unique_ptr<Disk> disk;  // the writer's alone once it runs
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<Block> waiting;
  bool ending = false;
  bool ended = false;
  std::uint64_t recorded = 0;
  std::uint64_t lost = 0;
  std::uint64_t lost_told = 0;  // of them, those that a block has told
};

Recorder::Recorder(std::unique_ptr<Disk> disk, const Header& header, std::string_view salt, Micros now)
    : hash_(salt), began_(now), shared_(std::make_shared<Shared>()) {
  if (!disk->Append(EncodeHeader(header)))
    throw std::runtime_error("the recording's header can't be written");
  shared_->disk = std::move(disk);
  std::thread(Write, shared_).detach();
}

Recorder::~Recorder() {
  HandOver();
  std::unique_lock<std::mutex> lock(shared_->mutex);
  shared_->ending = true;
  shared_->changed.notify_all();
  shared_->changed.wait_for(lock, kFarewell, [this] { return shared_->ended; });
}

void Recorder::Add(Micros now, Record record, std::string_view id, std::string_view key) {
  if (block_.count() == 0) block_began_ = now;
  record.arrival_time -= began_;
  record.id = hash_(id);
  record.key = key.empty() ? 0 : hash_(key);
  block_.Add(record);
  if (block_.size() >= kBlock || now - block_began_ >= kMostAge) HandOver();
}

void Recorder::HandOver() {
  if (block_.count() == 0) return;
  const std::lock_guard<std::mutex> lock(shared_->mutex);  // held by either side for a few instructions only
  const std::uint32_t count = block_.count();
  if (shared_->waiting.size() >= kMostWaiting)
    shared_->lost += count;
  else
    shared_->waiting.push_back({std::move(block_), count});
  block_ = BlockWriter();
  shared_->changed.notify_all();
}

void Recorder::Write(const std::shared_ptr<Shared>& shared) {
  std::unique_lock<std::mutex> lock(shared->mutex);
  for (;;) {
    shared->changed.wait(lock, [&] { return shared->ending || !shared->waiting.empty(); });
    if (shared->waiting.empty()) break;
    Shared::Block block = std::move(shared->waiting.front());
    shared->waiting.pop_front();
    const std::uint64_t lost = shared->lost;
    const std::uint64_t untold = lost - shared->lost_told;
    lock.unlock();
    const bool written = shared->disk->Append(block.records.Take(untold));
    lock.lock();
    if (written) {
      shared->recorded += block.count;
      shared->lost_told = lost;
    } else {
      shared->lost += block.count;
    }
  }
  if (const std::uint64_t untold = shared->lost - shared->lost_told; untold > 0) {
    lock.unlock();
    shared->disk->Append(BlockWriter().Take(untold));
    lock.lock();
  }
  shared->ended = true;
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
