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
constexpr std::size_t kSlots = 2;
// The size limit covers the slots and as many renamed corrupt files.
constexpr std::size_t kMaxFiles = 4;

struct Header {
  std::uint64_t magic = kMagic;
  std::uint64_t sequence = 0;  // increases with each write
  std::uint64_t size = 0;
  std::uint64_t checksum = 0;
};

std::uint64_t ChecksumOf(const Header& header, std::string_view body) {
  return merlinrun::MixBits(merlinrun::StableHash(body) ^ merlinrun::MixBits(header.sequence) ^ header.size);
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

absl::Status SyncDirectory(const std::string& folder) {
  const int fd = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) return StatusOf(errno, "directory");
  const int code = fsync(fd) == 0 ? 0 : errno;
  close(fd);
  return code == 0 ? absl::OkStatus() : StatusOf(code, "sync of the directory");
}

// One record in its own LMDB environment, so that an interrupted commit cannot damage the other slot.
class Slot {
 public:
  Slot(std::string path, std::size_t max_bytes) : path_(std::move(path)), max_bytes_(max_bytes) {}
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
    mdb_env_set_mapsize(env_, max_bytes_ / page * page);
    int code = mdb_env_open(env_, path_.c_str(), MDB_NOSUBDIR | MDB_NOLOCK | MDB_NOTLS | MDB_NORDAHEAD, 0600);
    // A record written before a crash may be readable but not synced. Without this sync, the next power
    // failure could lose it after it has been used.
    if (code == 0) code = mdb_env_sync(env_, 1);
    if (code == 0 && !IsComplete()) code = MDB_CORRUPTED;
    MDB_txn* txn = nullptr;
    if (code == 0) code = mdb_txn_begin(env_, nullptr, MDB_RDONLY, &txn);
    if (code == 0) code = mdb_dbi_open(txn, nullptr, 0, &dbi_);
    if (txn != nullptr) mdb_txn_abort(txn);
    if (code == 0) return absl::OkStatus();
    Close();
    return StatusOf(code, "open");
  }

  // The sequence number and body of the record; sequence 0: the slot is empty.
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
      valid = header.magic == kMagic && header.sequence > 0 && header.size == body.size() &&
              header.checksum == ChecksumOf(header, body);
    }
    mdb_txn_abort(txn);
    if (code == MDB_NOTFOUND) return std::pair<std::uint64_t, std::string>{0, ""};
    if (code != 0) return StatusOf(code, "read");
    if (!valid) return absl::DataLossError("checksum mismatch in a record");
    return std::pair<std::uint64_t, std::string>{header.sequence, std::move(body)};
  }

  absl::Status Write(std::uint64_t sequence, std::string_view body) {
    MDB_txn* txn = nullptr;
    int code = mdb_txn_begin(env_, nullptr, 0, &txn);
    if (code != 0) return StatusOf(code, "write");
    Header header;
    header.sequence = sequence;
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
    // LMDB writes the meta page through an O_DSYNC descriptor; this store does not rely on that alone.
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

  // Reading a truncated file through the mapping would raise SIGBUS.
  bool IsComplete() const {
    MDB_envinfo info{};
    MDB_stat stat{};
    struct stat file {};
    if (mdb_env_info(env_, &info) != 0 || mdb_env_stat(env_, &stat) != 0) return false;
    if (::stat(path_.c_str(), &file) != 0) return false;
    return info.me_last_pgno < max_bytes_ / stat.ms_psize &&
           static_cast<std::size_t>(file.st_size) >= (info.me_last_pgno + 1) * stat.ms_psize;
  }

  std::string path_;
  std::size_t max_bytes_;
  MDB_env* env_ = nullptr;
  MDB_dbi dbi_ = 0;
};

}  // namespace

struct Store::Impl {
  Impl(std::string in, std::size_t max_bytes)
      : folder(std::move(in)),
        slots{Slot(folder + "/slot0.mdb", max_bytes / kMaxFiles),
              Slot(folder + "/slot1.mdb", max_bytes / kMaxFiles)} {}

  // Replaces the slot by an empty one.
  absl::Status Recreate(std::size_t i) {
    Slot& slot = slots[i];
    sequences[i] = 0;
    slot.Close();
    std::error_code error;
    fs::remove(slot.path(), error);
    if (absl::Status status = slot.Open(); !status.ok()) return status;
    return SyncDirectory(folder);
  }

  // Opens the existing slot. kDataLoss: it is corrupt.
  absl::Status Load(std::size_t i) {
    if (absl::Status status = slots[i].Open(); !status.ok()) return status;
    const auto record = slots[i].Read();
    if (!record.ok()) return record.status();
    // A record in an unknown format counts as corrupt.
    if (record->first > 0 && !transport::Unpack<PersistentState>(record->second).ok())
      return absl::DataLossError("a record cannot be decoded");
    sequences[i] = record->first;
    return absl::OkStatus();
  }

  // Renames a corrupt slot to *.bad, replacing an earlier one, so that at most one per slot is kept.
  void SetAside(std::size_t i) {
    std::error_code error;
    slots[i].Close();
    fs::rename(slots[i].path(), slots[i].path() + ".bad", error);
  }

  absl::Status WriteTo(std::size_t i, std::uint64_t sequence, const std::string& body) {
    Slot& slot = slots[i];
    absl::Status status =
        slot.open() ? slot.Write(sequence, body) : absl::UnavailableError("the slot is closed");
    if (!status.ok()) {
      // A failed commit or a fragmented map may persist, so recreate this slot. The other slot has a valid
      // record.
      if (const absl::Status recreated = Recreate(i); !recreated.ok()) {
        slot.Close();
        return absl::IsResourceExhausted(status) ? status : recreated;
      }
      status = slot.Write(sequence, body);
    }
    if (status.ok()) sequences[i] = sequence;
    return status;
  }

  std::size_t newest() const { return sequences[1] > sequences[0] ? 1 : 0; }

  std::string folder;
  std::array<Slot, kSlots> slots;
  std::array<std::uint64_t, kSlots> sequences{};  // of the record in each slot; 0 = empty
};

Store::Store(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Store::~Store() = default;

absl::StatusOr<std::unique_ptr<Store>> Store::Open(const std::string& folder, std::size_t max_bytes) {
  std::error_code error;
  if (fs::create_directories(folder, error)) {
    if (const absl::Status status = SyncDirectory(fs::path(folder).parent_path()); !status.ok())
      return status;
  }
  if (error) return absl::UnavailableError("directory: " + error.message());
  auto impl = std::make_unique<Impl>(folder, max_bytes);
  std::array<bool, kSlots> usable{};
  bool any_corrupt = false;
  for (std::size_t i = 0; i < kSlots; ++i) {
    if (!fs::exists(impl->slots[i].path(), error)) continue;
    const absl::Status status = impl->Load(i);
    usable[i] = status.ok();
    if (status.ok()) continue;
    if (!absl::IsDataLoss(status)) return absl::UnavailableError(status.message());
    LOG(WARNING) << "storage: " << impl->slots[i].path() << ": " << status.message();
    impl->SetAside(i);
    any_corrupt = true;
  }
  const bool any_record = impl->sequences[impl->newest()] > 0;
  for (std::size_t i = 0; i < kSlots; ++i) {
    if (usable[i]) continue;
    // On a full disk the other slot is still readable.
    if (const absl::Status status = impl->Recreate(i); !status.ok() && !any_record) return status;
  }
  if (any_corrupt && !any_record)
    return absl::DataLossError("no intact record in the store; it has been reset");
  return std::unique_ptr<Store>(new Store(std::move(impl)));
}

absl::StatusOr<std::optional<PersistentState>> Store::Read() {
  const std::size_t newest = impl_->newest();
  if (impl_->sequences[newest] == 0) return std::optional<PersistentState>();
  const auto record = impl_->slots[newest].Read();
  if (!record.ok()) return record.status();
  auto durable = transport::Unpack<PersistentState>(record->second);
  if (!durable.ok()) return durable.status();
  return std::optional<PersistentState>(*std::move(durable));
}

// Writes the older slot first: the newer one keeps the last completed write until the new record is synced.
absl::Status Store::Write(const PersistentState& durable) {
  const std::string body = transport::Pack(durable);
  const std::size_t newest = impl_->newest();
  const std::uint64_t sequence = impl_->sequences[newest] + 1;
  for (const std::size_t i : {1 - newest, newest}) {
    if (absl::Status status = impl_->WriteTo(i, sequence, body); !status.ok()) return status;
  }
  return absl::OkStatus();
}

}  // namespace fennelhollow::storage
