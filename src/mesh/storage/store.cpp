#include "mesh/storage/store.hpp"

#include <fcntl.h>
#include <glog/logging.h>
#include <lmdb.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <string_view>
#include <utility>

#include "base/random.hpp"
#include "mesh/consensus/message.hpp"

namespace fennelhollow::storage {

namespace {

namespace fs = std::filesystem;

constexpr std::uint64_t kMagic = 0x46484241524f3031ULL;  // "FHBARO01"
constexpr int kSlots = 2;
// Two slots and as many files set aside share the folder.
constexpr std::size_t kShares = 4;

struct Header {
  std::uint64_t magic = kMagic;
  std::uint64_t number = 0;  // rises with each write
  std::uint64_t size = 0;
  std::uint64_t checksum = 0;
};

std::uint64_t ChecksumOf(const Header& header, std::string_view body) {
  return merlinrun::Mixed(merlinrun::HashOf(body) ^ merlinrun::Mixed(header.number) ^ header.size);
}

absl::Status StatusOf(int code, const char* what) {
  const std::string text = std::string(what) + ": " + mdb_strerror(code);
  if (code == ENOSPC || code == EDQUOT || code == MDB_MAP_FULL) return absl::ResourceExhaustedError(text);
  if (code == MDB_CORRUPTED || code == MDB_INVALID || code == MDB_PAGE_NOTFOUND ||
      code == MDB_VERSION_MISMATCH || code == MDB_BAD_TXN || code == MDB_PANIC || code == MDB_INCOMPATIBLE) {
    return absl::DataLossError(text);
  }
  return absl::UnavailableError(text);
}

absl::Status SyncFolder(const std::string& folder) {
  const int fd = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) return StatusOf(errno, "folder");
  const int code = fsync(fd) == 0 ? 0 : errno;
  close(fd);
  return code == 0 ? absl::OkStatus() : StatusOf(code, "sync of the folder");
}

// One record in an LMDB environment of its own, so that a commit that was cut short can't harm the other
// slot.
class Slot {
 public:
  Slot(std::string path, std::size_t most_bytes) : path_(std::move(path)), most_bytes_(most_bytes) {}
  ~Slot() { Close(); }
  Slot(const Slot&) = delete;
  Slot& operator=(const Slot&) = delete;

  const std::string& path() const { return path_; }

  absl::Status Open() {
    Close();
    if (const int code = mdb_env_create(&env_); code != 0) {
      env_ = nullptr;
      return StatusOf(code, "open");
    }
    const std::size_t page = static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
    mdb_env_set_mapsize(env_, most_bytes_ / page * page);
    int code = mdb_env_open(env_, path_.c_str(), MDB_NOSUBDIR | MDB_NOLOCK | MDB_NOTLS | MDB_NORDAHEAD, 0600);
    // What was read without a sync could be gone after the next loss of power.
    if (code == 0) code = mdb_env_sync(env_, 1);
    if (code == 0 && !Whole()) code = MDB_CORRUPTED;
    MDB_txn* txn = nullptr;
    if (code == 0) code = mdb_txn_begin(env_, nullptr, MDB_RDONLY, &txn);
    if (code == 0) code = mdb_dbi_open(txn, nullptr, 0, &dbi_);
    if (txn != nullptr) mdb_txn_abort(txn);
    if (code == 0) return absl::OkStatus();
    Close();
    return StatusOf(code, "open");
  }

  // The number and body of its record; number 0: it has none yet.
  absl::StatusOr<std::pair<std::uint64_t, std::string>> Read() const {
    MDB_txn* txn = nullptr;
    if (const int code = mdb_txn_begin(env_, nullptr, MDB_RDONLY, &txn); code != 0)
      return StatusOf(code, "read");
    MDB_val key = Key();
    MDB_val value{};
    const int code = mdb_get(txn, dbi_, &key, &value);
    Header header;
    std::string body;
    bool valid = false;
    if (code == 0 && value.mv_size >= sizeof header) {
      std::memcpy(&header, value.mv_data, sizeof header);
      body.assign(static_cast<const char*>(value.mv_data) + sizeof header, value.mv_size - sizeof header);
      valid = header.magic == kMagic && header.number > 0 && header.size == body.size() &&
              header.checksum == ChecksumOf(header, body);
    }
    mdb_txn_abort(txn);
    if (code == MDB_NOTFOUND) return std::pair<std::uint64_t, std::string>{0, ""};
    if (code != 0) return StatusOf(code, "read");
    if (!valid) return absl::DataLossError("a record's checksum is wrong");
    return std::pair<std::uint64_t, std::string>{header.number, std::move(body)};
  }

  absl::Status Write(std::uint64_t number, std::string_view body) {
    MDB_txn* txn = nullptr;
    int code = mdb_txn_begin(env_, nullptr, 0, &txn);
    if (code != 0) return StatusOf(code, "write");
    Header header;
    header.number = number;
    header.size = body.size();
    header.checksum = ChecksumOf(header, body);
    MDB_val key = Key();
    MDB_val value{sizeof header + body.size(), nullptr};
    code = mdb_put(txn, dbi_, &key, &value, MDB_RESERVE);
    if (code != 0) {
      mdb_txn_abort(txn);
      return StatusOf(code, "write");
    }
    std::memcpy(value.mv_data, &header, sizeof header);
    std::memcpy(static_cast<char*>(value.mv_data) + sizeof header, body.data(), body.size());
    code = mdb_txn_commit(txn);
    // The commit's last page went through a descriptor for synchronous writes, which promises nothing here.
    if (code == 0) code = mdb_env_sync(env_, 1);
    return code == 0 ? absl::OkStatus() : StatusOf(code, "write");
  }

  void Close() {
    if (env_ != nullptr) mdb_env_close(env_);
    env_ = nullptr;
  }

  bool open() const { return env_ != nullptr; }

 private:
  static MDB_val Key() {
    static char name[] = "durable";
    return {sizeof name - 1, name};
  }

  // A file shorter than its own page count would end the process when it is read through the mapping.
  bool Whole() const {
    MDB_envinfo info{};
    MDB_stat stat{};
    struct stat file {};
    if (mdb_env_info(env_, &info) != 0 || mdb_env_stat(env_, &stat) != 0) return false;
    if (::stat(path_.c_str(), &file) != 0) return false;
    return info.me_last_pgno < most_bytes_ / stat.ms_psize &&
           static_cast<std::size_t>(file.st_size) >= (info.me_last_pgno + 1) * stat.ms_psize;
  }

  std::string path_;
  std::size_t most_bytes_;
  MDB_env* env_ = nullptr;
  MDB_dbi dbi_ = 0;
};

}  // namespace

struct Store::Impl {
  Impl(std::string in, std::size_t most_bytes)
      : folder(std::move(in)),
        slots{Slot(folder + "/slot0.mdb", most_bytes / kShares),
              Slot(folder + "/slot1.mdb", most_bytes / kShares)} {}

  // An empty slot in the place of whatever is there.
  absl::Status Renew(Slot& slot) {
    slot.Close();
    std::error_code error;
    fs::remove(slot.path(), error);
    if (absl::Status status = slot.Open(); !status.ok()) return status;
    return SyncFolder(folder);
  }

  std::string folder;
  std::array<Slot, kSlots> slots;
  int newest = -1;  // slot of the newest record; -1 = there is none
  std::uint64_t number = 0;
};

Store::Store(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Store::~Store() = default;

absl::StatusOr<std::unique_ptr<Store>> Store::Open(const std::string& folder, std::size_t most_bytes) {
  std::error_code error;
  fs::create_directories(folder, error);
  if (error) return absl::UnavailableError("folder: " + error.message());
  auto impl = std::make_unique<Impl>(folder, most_bytes);
  std::array<bool, kSlots> bad{};
  bool any_bad = false;
  for (int i = 0; i < kSlots; ++i) {
    Slot& slot = impl->slots[static_cast<std::size_t>(i)];
    if (!fs::exists(slot.path(), error)) {
      if (const absl::Status status = impl->Renew(slot); !status.ok()) return status;
      continue;
    }
    absl::Status status = slot.Open();
    if (status.ok()) {
      const auto record = slot.Read();
      status = record.status();
      if (record.ok() && record->first > impl->number) {
        // Readable, too: a record of another format is none.
        if (transport::Unpack<Durable>(record->second).ok()) {
          impl->number = record->first;
          impl->newest = i;
        } else {
          status = absl::DataLossError("a record can't be read");
        }
      }
    }
    if (status.ok()) continue;
    if (!absl::IsDataLoss(status)) return absl::UnavailableError(status.message());
    LOG(WARNING) << "storage: " << slot.path() << ": " << status.message();
    bad[static_cast<std::size_t>(i)] = any_bad = true;
  }
  const bool lost = any_bad && impl->newest < 0;
  for (std::size_t i = 0; i < kSlots; ++i) {
    if (!bad[i]) continue;
    // A write that was cut short and had not returned, if the other slot is whole; else all is lost. The
    // names of what is set aside are the same each time, so that no more than one of each is kept.
    Slot& slot = impl->slots[i];
    slot.Close();
    fs::rename(slot.path(), slot.path() + ".bad", error);
    if (const absl::Status status = impl->Renew(slot); !status.ok()) return status;
  }
  if (lost) return absl::DataLossError("no record of the store can be read; it is empty now");
  return std::unique_ptr<Store>(new Store(std::move(impl)));
}

absl::StatusOr<std::optional<Durable>> Store::Read() {
  if (impl_->newest < 0) return std::optional<Durable>();
  const auto record = impl_->slots[static_cast<std::size_t>(impl_->newest)].Read();
  if (!record.ok()) return record.status();
  auto durable = transport::Unpack<Durable>(record->second);
  if (!durable.ok()) return durable.status();
  return std::optional<Durable>(*std::move(durable));
}

absl::Status Store::Write(const Durable& durable) {
  const int next = impl_->newest == 0 ? 1 : 0;
  Slot& slot = impl_->slots[static_cast<std::size_t>(next)];
  const std::string body = transport::Pack(durable);
  absl::Status status =
      slot.open() ? slot.Write(impl_->number + 1, body) : absl::UnavailableError("slot closed");
  if (!status.ok()) {
    // The slot holds nothing that is needed: begin it anew, as a failed commit or a scattered map may stay
    // so.
    if (const absl::Status renewed = impl_->Renew(slot); !renewed.ok()) {
      slot.Close();
      return absl::IsResourceExhausted(status) ? status : renewed;
    }
    status = slot.Write(impl_->number + 1, body);
    if (!status.ok()) return status;
  }
  impl_->newest = next;
  ++impl_->number;
  return absl::OkStatus();
}

}  // namespace fennelhollow::storage
