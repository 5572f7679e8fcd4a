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
// Two slots and as many files set aside share the folder.
constexpr std::size_t kShares = 4;

struct Header {
  std::uint64_t magic = kMagic;
  std::uint64_t number = 0;  // rises with each write
  std::uint64_t size = 0;
  std::uint64_t checksum = 0;
};

std::uint64_t ChecksumOf(const Header& header, std::string_view body) {
  return merlinrun::MixBits(merlinrun::StableHash(body) ^ merlinrun::MixBits(header.number) ^ header.size);
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
  absl::Status Renew(std::size_t i) {
    Slot& slot = slots[i];
    numbers[i] = 0;
    slot.Close();
    std::error_code error;
    fs::remove(slot.path(), error);
    if (absl::Status status = slot.Open(); !status.ok()) return status;
    return SyncFolder(folder);
  }

  // Opens what is there. kDataLoss: it can't be trusted.
  absl::Status Load(std::size_t i) {
    if (absl::Status status = slots[i].Open(); !status.ok()) return status;
    const auto record = slots[i].Read();
    if (!record.ok()) return record.status();
    // Readable, too: a record of another format is none.
    if (record->first > 0 && !transport::Unpack<PersistentState>(record->second).ok())
      return absl::DataLossError("a record can't be read");
    numbers[i] = record->first;
    return absl::OkStatus();
  }

  // Out of the way; the names of what is set aside are the same each time, so that no more than one of each
  // is kept.
  void SetAside(std::size_t i) {
    std::error_code error;
    slots[i].Close();
    fs::rename(slots[i].path(), slots[i].path() + ".bad", error);
  }

  absl::Status WriteTo(std::size_t i, std::uint64_t number, const std::string& body) {
    Slot& slot = slots[i];
    absl::Status status = slot.open() ? slot.Write(number, body) : absl::UnavailableError("slot closed");
    if (!status.ok()) {
      // Begun anew, as a failed commit or a scattered map may stay so; the other slot holds what is needed.
      if (const absl::Status renewed = Renew(i); !renewed.ok()) {
        slot.Close();
        return absl::IsResourceExhausted(status) ? status : renewed;
      }
      status = slot.Write(number, body);
    }
    if (status.ok()) numbers[i] = number;
    return status;
  }

  std::size_t newest() const { return numbers[1] > numbers[0] ? 1 : 0; }

  std::string folder;
  std::array<Slot, kSlots> slots;
  std::array<std::uint64_t, kSlots> numbers{};  // of the record in each; 0 = none
};

Store::Store(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Store::~Store() = default;

absl::StatusOr<std::unique_ptr<Store>> Store::Open(const std::string& folder, std::size_t most_bytes) {
  std::error_code error;
  if (fs::create_directories(folder, error)) {
    if (const absl::Status status = SyncFolder(fs::path(folder).parent_path()); !status.ok()) return status;
  }
  if (error) return absl::UnavailableError("folder: " + error.message());
  auto impl = std::make_unique<Impl>(folder, most_bytes);
  std::array<bool, kSlots> usable{};
  bool any_bad = false;
  for (std::size_t i = 0; i < kSlots; ++i) {
    if (!fs::exists(impl->slots[i].path(), error)) continue;
    const absl::Status status = impl->Load(i);
    usable[i] = status.ok();
    if (status.ok()) continue;
    if (!absl::IsDataLoss(status)) return absl::UnavailableError(status.message());
    LOG(WARNING) << "storage: " << impl->slots[i].path() << ": " << status.message();
    impl->SetAside(i);
    any_bad = true;
  }
  const bool any_record = impl->numbers[impl->newest()] > 0;
  for (std::size_t i = 0; i < kSlots; ++i) {
    if (usable[i]) continue;
    // A full disk does not keep what the other slot holds from being read.
    if (const absl::Status status = impl->Renew(i); !status.ok() && !any_record) return status;
  }
  if (any_bad && !any_record)
    return absl::DataLossError("no record of the store can be read; it is empty now");
  return std::unique_ptr<Store>(new Store(std::move(impl)));
}

absl::StatusOr<std::optional<PersistentState>> Store::Read() {
  const std::size_t newest = impl_->newest();
  if (impl_->numbers[newest] == 0) return std::optional<PersistentState>();
  const auto record = impl_->slots[newest].Read();
  if (!record.ok()) return record.status();
  auto durable = transport::Unpack<PersistentState>(record->second);
  if (!durable.ok()) return durable.status();
  return std::optional<PersistentState>(*std::move(durable));
}

// The older slot first: the other one holds what was acknowledged last until this one holds the new record.
absl::Status Store::Write(const PersistentState& durable) {
  const std::string body = transport::Pack(durable);
  const std::size_t newest = impl_->newest();
  const std::uint64_t number = impl_->numbers[newest] + 1;
  for (const std::size_t i : {1 - newest, newest}) {
    if (absl::Status status = impl_->WriteTo(i, number, body); !status.ok()) return status;
  }
  return absl::OkStatus();
}

}  // namespace fennelhollow::storage
