#include "mesh/storage/lmdb_record.hpp"

#include <cstdint>
#include <string>

#include "mesh/storage/little_endian.hpp"

namespace fennelhollow::storage {
namespace {

// The layout of LMDB 0.9 on 64-bit little-endian machines: two meta pages, of which the one with the higher
// transaction id is in force, and a B-tree whose only key is on one leaf page.
constexpr std::size_t kPageHeaderBytes = 16, kPageFlagsAt = 10, kPageLowerAt = 12;
constexpr std::uint16_t kLeafPage = 0x02, kOverflowPage = 0x04, kMetaPage = 0x08;
constexpr std::uint32_t kMetaMagic = 0xbeefc0de, kMetaVersion = 1;
constexpr std::size_t kMetaBytes = 136, kMetaMagicAt = 0, kMetaVersionAt = 4, kPageSizeAt = 24, kDepthAt = 78,
                      kRootAt = 112, kTransactionAt = 128;
constexpr std::size_t kNodeHeaderBytes = 8, kNodeFlagsAt = 4, kNodeKeySizeAt = 6;
constexpr std::uint16_t kBigData = 0x01;  // the value is on overflow pages
constexpr std::uint64_t kNoPage = ~std::uint64_t{0};
constexpr std::size_t kMinPageBytes = 256, kMaxPageBytes = 65536;
constexpr std::string_view kKey = "durable";

// The record's header inside the value.
constexpr std::uint64_t kRecordMagic = 0x46484241524f3031ULL;
constexpr std::size_t kValueHeaderBytes = 32, kValueSequenceAt = 8, kValueSizeAt = 16, kValueChecksumAt = 24;

absl::Status Damaged(const char* what) { return absl::DataLossError(std::string("LMDB file: ") + what); }

struct Meta {
  std::size_t page_bytes = 0;
  std::uint64_t depth = 0, root = 0, transaction = 0;
};

std::optional<Meta> ReadMeta(std::string_view file, std::size_t offset) {
  if (offset > file.size() || file.size() - offset < kPageHeaderBytes + kMetaBytes) return std::nullopt;
  if ((ReadLittleEndian<std::uint16_t>(file, offset + kPageFlagsAt) & kMetaPage) == 0) return std::nullopt;
  const std::string_view meta = file.substr(offset + kPageHeaderBytes, kMetaBytes);
  if (ReadLittleEndian<std::uint32_t>(meta, kMetaMagicAt) != kMetaMagic ||
      ReadLittleEndian<std::uint32_t>(meta, kMetaVersionAt) != kMetaVersion)
    return std::nullopt;
  Meta out;
  out.page_bytes = ReadLittleEndian<std::uint32_t>(meta, kPageSizeAt);
  out.depth = ReadLittleEndian<std::uint16_t>(meta, kDepthAt);
  out.root = ReadLittleEndian<std::uint64_t>(meta, kRootAt);
  out.transaction = ReadLittleEndian<std::uint64_t>(meta, kTransactionAt);
  if (out.page_bytes < kMinPageBytes || out.page_bytes > kMaxPageBytes) return std::nullopt;
  return out;
}

// The rest of the file from page `number` on; empty if it lies outside.
std::string_view FromPage(std::string_view file, std::size_t page_bytes, std::uint64_t number) {
  if (number >= file.size() / page_bytes) return {};
  return file.substr(static_cast<std::size_t>(number) * page_bytes);
}

bool HasFlag(std::string_view page, std::uint16_t flag) {
  return page.size() >= kPageHeaderBytes && (ReadLittleEndian<std::uint16_t>(page, kPageFlagsAt) & flag) != 0;
}

// The value of the only node of the leaf page.
absl::StatusOr<std::string_view> ReadValue(std::string_view file, const Meta& meta) {
  const std::string_view leaf = FromPage(file, meta.page_bytes, meta.root).substr(0, meta.page_bytes);
  if (meta.depth != 1 || !HasFlag(leaf, kLeafPage)) return Damaged("no leaf page");
  const std::size_t lower = ReadLittleEndian<std::uint16_t>(leaf, kPageLowerAt);
  if (lower < kPageHeaderBytes + sizeof(std::uint16_t) || lower > leaf.size()) return Damaged("no node");
  const std::size_t at = ReadLittleEndian<std::uint16_t>(leaf, kPageHeaderBytes);
  if (at > leaf.size() || leaf.size() - at < kNodeHeaderBytes) return Damaged("a node outside its page");
  const std::string_view node = leaf.substr(at);
  const std::size_t value_bytes = ReadLittleEndian<std::uint32_t>(node, 0);
  const std::size_t key_bytes = ReadLittleEndian<std::uint16_t>(node, kNodeKeySizeAt);
  if (node.substr(kNodeHeaderBytes, key_bytes) != kKey) return Damaged("another key");
  const std::string_view data = node.substr(kNodeHeaderBytes + key_bytes);
  if ((ReadLittleEndian<std::uint16_t>(node, kNodeFlagsAt) & kBigData) == 0) {
    if (value_bytes > data.size()) return Damaged("a value outside its page");
    return data.substr(0, value_bytes);
  }
  if (data.size() < sizeof(std::uint64_t)) return Damaged("no overflow page");
  const auto number = ReadLittleEndian<std::uint64_t>(data, 0);
  const std::string_view overflow = FromPage(file, meta.page_bytes, number);
  if (!HasFlag(overflow, kOverflowPage) || value_bytes > overflow.size() - kPageHeaderBytes)
    return Damaged("a value outside the file");
  return overflow.substr(kPageHeaderBytes, value_bytes);
}

}  // namespace

absl::StatusOr<std::optional<Record>> ReadLmdbRecord(std::string_view file) {
  const auto first = ReadMeta(file, 0);
  if (!first) return Damaged("no meta page");
  const auto second = ReadMeta(file, first->page_bytes);
  if (!second || second->page_bytes != first->page_bytes) return Damaged("no second meta page");
  const Meta& meta = second->transaction > first->transaction ? *second : *first;
  if (meta.root == kNoPage) return std::optional<Record>();
  const auto value = ReadValue(file, meta);
  if (!value.ok()) return value.status();
  if (value->size() < kValueHeaderBytes || ReadLittleEndian<std::uint64_t>(*value, 0) != kRecordMagic)
    return Damaged("no record");
  const auto sequence = ReadLittleEndian<std::uint64_t>(*value, kValueSequenceAt);
  const std::string_view body = value->substr(kValueHeaderBytes);
  if (sequence == 0 || ReadLittleEndian<std::uint64_t>(*value, kValueSizeAt) != body.size() ||
      ReadLittleEndian<std::uint64_t>(*value, kValueChecksumAt) != RecordChecksum(sequence, body))
    return Damaged("checksum mismatch in its record");
  return std::optional<Record>({sequence, std::string(body)});
}

}  // namespace fennelhollow::storage
