#include "mesh/node/tombstone_writer.hpp"

#include <glog/logging.h>

#include <memory>
#include <utility>

#include "mesh/storage/record_file.hpp"
#include "mesh/transport/codec.hpp"

namespace fennelhollow::node {
namespace {

constexpr char kFileName[] = "/tombstones.record";
constexpr std::size_t kMaxFileBytes = std::size_t{8} * 1024 * 1024;
constexpr Micros kRetryInterval = 1'000'000;
// Leaves the disk to the store in between.
constexpr Micros kWriteInterval = 200'000;

struct TombstoneFile {
  std::vector<registry::Server> servers;
  template <class Archive>
  void serialize(Archive& a) {
    a(servers);
  }
};

absl::StatusOr<std::vector<registry::Server>> ReadFile(const std::string& path) {
  const auto body = storage::ReadRecordFile(path, kMaxFileBytes);
  if (!body.ok()) return body.status();
  auto file = transport::Unpack<TombstoneFile>(*body);
  if (!file.ok()) return file.status();
  return std::move(file->servers);
}

}  // namespace

absl::StatusOr<std::vector<registry::Server>> ReadTombstones(const std::string& directory) {
  auto servers = ReadFile(directory + kFileName);
  if (absl::IsNotFound(servers.status())) return std::vector<registry::Server>{};
  return servers;
}

void TombstoneWriter::Update(Micros now, const registry::Tombstones& tombstones) {
  if (writing_ || tombstones.version() == written_version_ || now < next_write_at_) return;
  const auto status = std::make_shared<absl::Status>();
  writing_ = disk_worker_.Run(
      [status, path = directory_ + kFileName, body = transport::Pack(TombstoneFile{tombstones.All()})] {
        *status = storage::ReplaceRecordFile(path, body);
      },
      [this, status](const absl::Status& ran) { OnWritten(ran.ok() ? *status : ran); });
  version_in_progress_ = tombstones.version();
  next_write_at_ = now + (failing_ ? kRetryInterval : kWriteInterval);
}

void TombstoneWriter::OnWritten(const absl::Status& status) {
  writing_ = false;
  if (status.ok()) written_version_ = version_in_progress_;
  if (!status.ok() != std::exchange(failing_, !status.ok()))
    LOG(WARNING) << "tombstones: writes "
                 << (status.ok() ? std::string("succeed again") : "fail: " + status.ToString());
  if (status.ok()) on_written_(written_version_);
}

}  // namespace fennelhollow::node
