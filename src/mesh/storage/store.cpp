#include "mesh/storage/store.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "mesh/consensus/message.hpp"
#include "mesh/storage/file.hpp"
#include "mesh/storage/lmdb_record.hpp"
#include "mesh/storage/record.hpp"

namespace fennelhollow::storage {

namespace {

namespace fs = std::filesystem;

constexpr std::size_t kSlots = 2;
// The size limit covers the slots and as many renamed corrupt files.
constexpr std::size_t kMaxFiles = 4;

bool Exists(const std::string& path) {
  std::error_code ignored;
  return fs::exists(path, ignored);
}

// A body that cannot be decoded, such as one of another format, counts as corrupt.
absl::Status CheckBody(const Record& record) {
  if (transport::Unpack<PersistentState>(record.body).ok()) return absl::OkStatus();
  return absl::DataLossError("a record cannot be decoded");
}

// Renames a corrupt file to *.bad, replacing an earlier one, so that at most one per file is kept.
void SetAside(const std::string& path, const absl::Status& reason) {
  LOG(WARNING) << "storage: " << path << ": " << reason.message();
  std::error_code error;
  fs::rename(path, path + ".bad", error);
}

}  // namespace

struct Store::Impl {
  // What a file holds. kEmpty: intact and never written.
  enum class Content { kMissing, kEmpty, kRecord, kCorrupt };

  Impl(std::string directory, std::size_t max_bytes)
      : folder(std::move(directory)),
        max_file_bytes(max_bytes / kMaxFiles),
        paths{folder + "/slot0.record", folder + "/slot1.record"},
        lmdb_paths{folder + "/slot0.mdb", folder + "/slot1.mdb"} {}

  absl::StatusOr<std::string> ReadSynced(const std::string& path) const {
    // A record written before a crash may be readable but not synced. Without this sync, the next power
    // failure could lose it after it has been used.
    if (absl::Status status = SyncFile(path); !status.ok()) return status;
    return ReadFile(path, max_file_bytes);
  }

  absl::StatusOr<Content> LoadSlot(std::size_t i) {
    if (!Exists(paths[i])) return Content::kMissing;
    const auto file = ReadSynced(paths[i]);
    if (!file.ok()) return file.status();
    if (file->empty()) return Content::kEmpty;
    const auto record = DecodeRecord(*file);
    const absl::Status status = record.ok() ? CheckBody(*record) : record.status();
    if (!status.ok()) {
      SetAside(paths[i], status);
      return Content::kCorrupt;
    }
    sequences[i] = record->sequence;
    return Content::kRecord;
  }

  // Keeps the record of an LMDB file if it is the newest so far.
  absl::StatusOr<Content> LoadLmdb(const std::string& path) {
    if (!Exists(path)) return Content::kMissing;
    const auto file = ReadSynced(path);
    if (!file.ok()) return file.status();
    if (file->empty()) return Content::kEmpty;
    auto record = ReadLmdbRecord(*file);
    absl::Status status = record.status();
    if (status.ok() && record->has_value()) status = CheckBody(**record);
    if (!status.ok()) {
      SetAside(path, status);
      return Content::kCorrupt;
    }
    if (!record->has_value()) return Content::kEmpty;
    if (!lmdb_record || (*record)->sequence > lmdb_record->sequence) lmdb_record = **std::move(record);
    return Content::kRecord;
  }

  // Loads the slots or, before their first write, the LMDB files of an earlier version. kDataLoss: something
  // had been written, and nothing of it is intact.
  absl::Status Load() {
    Contents slots{}, lmdb{};
    for (std::size_t i = 0; i < kSlots; ++i) {
      const auto content = LoadSlot(i);
      if (!content.ok()) return absl::UnavailableError(content.status().message());
      slots[i] = *content;
    }
    lmdb_files_present = Exists(lmdb_paths[0]) || Exists(lmdb_paths[1]);
    if (Holds(slots, Content::kRecord)) return absl::OkStatus();
    for (std::size_t i = 0; i < kSlots; ++i) {
      const auto content = LoadLmdb(lmdb_paths[i]);
      if (!content.ok()) return absl::UnavailableError(content.status().message());
      lmdb[i] = *content;
    }
    if (lmdb_record) return absl::OkStatus();
    return IsLoss(slots) || IsLoss(lmdb)
               ? absl::DataLossError("no intact record in the store; it has been reset")
               : absl::OkStatus();
  }

  // Creates missing files. Both are empty or intact afterwards.
  absl::Status CreateSlots() {
    for (const std::string& path : paths)
      if (absl::Status status = CreateFile(path); !status.ok()) return status;
    if (absl::Status status = SyncDirectory(folder); !status.ok()) return status;
    slots_created = true;
    return absl::OkStatus();
  }

  absl::Status WriteSlot(std::size_t i, std::uint64_t sequence, std::string_view file) {
    if (absl::Status status = WriteFileSynced(paths[i], file); !status.ok()) return status;
    sequences[i] = sequence;
    return absl::OkStatus();
  }

  // After a write that was interrupted between the slots, only one holds its record, which may be used from
  // now on: it must survive the loss of that file.
  absl::Status CompleteInterruptedWrite() {
    if (sequences[0] == sequences[1]) return absl::OkStatus();
    const auto file = ReadFile(paths[newest()], max_file_bytes);
    if (!file.ok()) return file.status();
    const auto record = DecodeRecord(*file);
    if (!record.ok()) return record.status();
    return WriteSlot(1 - newest(), record->sequence, EncodeRecord(record->sequence, record->body));
  }

  // A file with bad sectors is replaced by a new one. The other slot has a valid record.
  absl::Status ReplaceSlot(std::size_t i, std::uint64_t sequence, std::string_view file) {
    sequences[i] = 0;
    std::error_code error;
    fs::remove(paths[i], error);
    if (absl::Status status = CreateSlots(); !status.ok()) return status;
    return WriteSlot(i, sequence, file);
  }

  // The LMDB files of an earlier version are out of date once both slots have been written.
  void RemoveLmdbFiles() {
    if (!std::exchange(lmdb_files_present, false)) return;
    lmdb_record.reset();
    std::error_code error;
    bool removed = false;
    for (const std::string& path : lmdb_paths) removed = fs::remove(path, error) || removed;
    if (!removed) return;
    if (const absl::Status status = SyncDirectory(folder); !status.ok())
      LOG(WARNING) << "storage: " << status.message();
  }

  std::size_t newest() const { return sequences[1] > sequences[0] ? 1 : 0; }
  bool has_record() const { return sequences[newest()] > 0 || lmdb_record.has_value(); }

  const std::string folder;
  const std::size_t max_file_bytes;
  const std::array<std::string, kSlots> paths, lmdb_paths;
  std::array<std::uint64_t, kSlots> sequences{};  // of the record in each slot; 0: none
  std::optional<Record> lmdb_record;              // until the slots are written
  bool slots_created = false, lmdb_files_present = false;

 private:
  using Contents = std::array<Content, kSlots>;

  static bool Holds(const Contents& contents, Content content) {
    return contents[0] == content || contents[1] == content;
  }
  // An intact empty file shows that the first write was never completed, as that writes both.
  static bool IsLoss(const Contents& contents) {
    return Holds(contents, Content::kCorrupt) && !Holds(contents, Content::kEmpty);
  }
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
  if (absl::Status status = impl->Load(); !status.ok()) return status;
  // On a full disk the record is still readable.
  absl::Status status = impl->CreateSlots();
  if (!status.ok() && !impl->has_record()) return status;
  if (status.ok()) status = impl->CompleteInterruptedWrite();
  if (!status.ok()) LOG(WARNING) << "storage: " << folder << ": " << status.message();
  if (impl->sequences[impl->newest()] > 0) impl->RemoveLmdbFiles();
  return std::unique_ptr<Store>(new Store(std::move(impl)));
}

absl::StatusOr<std::optional<PersistentState>> Store::Read() {
  if (!impl_->has_record()) return std::optional<PersistentState>();
  const std::size_t newest = impl_->newest();
  std::string body;
  if (impl_->sequences[newest] == 0) {
    body = impl_->lmdb_record->body;
  } else {
    const auto file = ReadFile(impl_->paths[newest], impl_->max_file_bytes);
    if (!file.ok()) return absl::UnavailableError(file.status().message());
    auto record = DecodeRecord(*file);
    if (!record.ok()) return record.status();
    body = std::move(record->body);
  }
  auto durable = transport::Unpack<PersistentState>(body);
  if (!durable.ok()) return durable.status();
  return std::optional<PersistentState>(*std::move(durable));
}

// Writes the older slot first: the newer one keeps the last completed write until the new record is synced.
absl::Status Store::Write(const PersistentState& durable) {
  const std::size_t newest = impl_->newest();
  const std::uint64_t lmdb_sequence = impl_->lmdb_record ? impl_->lmdb_record->sequence : 0;
  const std::uint64_t sequence = std::max(impl_->sequences[newest], lmdb_sequence) + 1;
  const std::string file = EncodeRecord(sequence, transport::Pack(durable));
  if (file.size() > impl_->max_file_bytes)
    return absl::ResourceExhaustedError("the record exceeds the size limit of the store");
  if (!impl_->slots_created) {
    if (absl::Status status = impl_->CreateSlots(); !status.ok()) return status;
  }
  for (const std::size_t i : {1 - newest, newest}) {
    absl::Status status = impl_->WriteSlot(i, sequence, file);
    if (!status.ok() && !absl::IsResourceExhausted(status)) status = impl_->ReplaceSlot(i, sequence, file);
    if (!status.ok()) return status;
  }
  impl_->RemoveLmdbFiles();
  return absl::OkStatus();
}

}  // namespace fennelhollow::storage
