#include <glog/logging.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "base/random.hpp"
#include "mesh/storage/record_file.hpp"
#include "mesh/storage/store.hpp"

namespace {

using namespace fennelhollow::storage;
namespace fs = std::filesystem;

const bool quiet = (FLAGS_minloglevel = 3, true);
constexpr std::size_t kMaxBytes = std::size_t{16} << 20;

struct TestDirectory {
  TestDirectory() : path(fs::temp_directory_path() / ("storage_" + std::to_string(getpid()))) {
    fs::remove_all(path);
  }
  ~TestDirectory() { fs::remove_all(path); }
  std::string slot(int i) const { return (path / ("slot" + std::to_string(i) + ".record")).string(); }
  static std::string lmdb_file(int i) { return "slot" + std::to_string(i) + ".mdb"; }
  std::size_t files() const {
    return static_cast<std::size_t>(std::distance(fs::directory_iterator(path), fs::directory_iterator()));
  }
  fs::path path;
};

PersistentState StateOf(std::uint64_t n) {
  PersistentState d;
  d.storage_id = 7;
  d.promised_term = n;
  d.accepted = {
      n, n + 1, {"a", "b"}, {0, 7}, {"a"}, {0}, "state" + std::to_string(n) + std::string(10000, 'x')};
  return d;
}

void RequireStored(const std::string& folder, std::uint64_t n) {
  auto store = Store::Open(folder, kMaxBytes);
  REQUIRE(store.ok());
  const auto read = (*store)->Read();
  REQUIRE(read.ok());
  REQUIRE(read->has_value());
  const PersistentState expected = StateOf(n);
  const PersistentState& actual = **read;
  REQUIRE((actual.storage_id == expected.storage_id && actual.promised_term == n));
  REQUIRE((actual.accepted.term == n && actual.accepted.index == n + 1 &&
           actual.accepted.state == expected.accepted.state));
  REQUIRE((actual.accepted.voters == expected.accepted.voters &&
           actual.accepted.voter_storage_ids == expected.accepted.voter_storage_ids));
  REQUIRE((actual.accepted.previous_voters == expected.accepted.previous_voters &&
           actual.accepted.previous_voter_storage_ids == expected.accepted.previous_voter_storage_ids));
}

void WriteStates(const std::string& folder, std::uint64_t n) {
  auto store = Store::Open(folder, kMaxBytes);
  REQUIRE(store.ok());
  for (std::uint64_t i = 1; i <= n; ++i) REQUIRE((*store)->Write(StateOf(i)).ok());
}

std::string ReadAll(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

TEST_CASE("the last written state is read, also after reopening") {
  TestDirectory f;
  {
    auto store = Store::Open(f.path, kMaxBytes);
    REQUIRE(store.ok());
    const auto none = (*store)->Read();
    REQUIRE((none.ok() && !none->has_value()));
  }
  WriteStates(f.path, 1);
  RequireStored(f.path, 1);
  WriteStates(f.path, 50);
  RequireStored(f.path, 50);
  WriteStates(f.path, 51);
  RequireStored(f.path, 51);
}

// A power loss during the fifth write: each page of the file is old, new or torn, and the file may be
// truncated.
TEST_CASE("after an interrupted write the new or the previous state is read, and writes succeed") {
  TestDirectory f;
  WriteStates(f.path, 4);  // the third is in slot 0
  const std::string before = ReadAll(f.slot(0));
  const std::string other = ReadAll(f.slot(1));
  WriteStates(f.path, 1);  // the fifth, over the third
  const std::string after = ReadAll(f.slot(0));
  merlinrun::Random random(1);
  int fourth = 0;
  for (int i = 0; i < 60; ++i) {
    const bool all_but_one = i % 2 == 0;
    std::string torn = random.Unit() < 0.5 ? before : after;
    torn.resize(std::max(before.size(), after.size()));
    const std::size_t page = random.Below(torn.size() / 4096) * 4096;
    for (std::size_t at = 0; at < torn.size(); at += 4096) {
      const std::size_t cut = at == page ? random.Below(4097) : all_but_one || random.Unit() < 0.5 ? 4096 : 0;
      for (std::size_t b = at; b < std::min(at + 4096, torn.size()); ++b) {
        torn[b] =
            b - at < cut ? (b < after.size() ? after[b] : '\0') : (b < before.size() ? before[b] : '\0');
      }
    }
    std::ofstream(f.slot(0), std::ios::binary | std::ios::trunc)
        << torn.substr(0, i % 10 == 9 ? page : torn.size());
    std::ofstream(f.slot(1), std::ios::binary | std::ios::trunc) << other;
    {
      auto store = Store::Open(f.path, kMaxBytes);
      REQUIRE(store.ok());
      const auto read = (*store)->Read();
      REQUIRE((read.ok() && read->has_value()));
      const std::uint64_t actual = (*read)->promised_term;
      REQUIRE((actual == 4 || actual == 1));
      fourth += actual == 4 ? 1 : 0;
      REQUIRE((*store)->Write(StateOf(6)).ok());
    }
    RequireStored(f.path, 6);
  }
  REQUIRE((fourth > 5 && fourth < 55));  // both outcomes occurred
}

// A completed write must not be lost by damage to one file.
TEST_CASE("a completed write is read with either file removed, overwritten or truncated") {
  for (const std::uint64_t writes : {1, 2, 5, 6}) {
    for (const int damaged_slot : {0, 1}) {
      for (const char damage : {'r', 'g', 'c'}) {  // removed, garbage, truncated
        TestDirectory f;
        WriteStates(f.path, writes);
        const std::string intact = ReadAll(f.slot(damaged_slot));
        if (damage == 'r') fs::remove(f.slot(damaged_slot));
        if (damage == 'g') std::ofstream(f.slot(damaged_slot), std::ios::trunc) << std::string(20000, 'g');
        if (damage == 'c')
          std::ofstream(f.slot(damaged_slot), std::ios::trunc) << intact.substr(0, intact.size() / 2);
        RequireStored(f.path, writes);
        WriteStates(f.path, 7);
        RequireStored(f.path, 7);
      }
    }
  }
}

TEST_CASE(
    "two corrupt slots are reported as data loss and renamed, the store is empty then, and renamed files are "
    "bounded") {
  TestDirectory f;
  for (int round = 0; round < 3; ++round) {
    WriteStates(f.path, 3);
    for (const int i : {0, 1}) std::ofstream(f.slot(i), std::ios::trunc) << std::string(20000, 'g');
    REQUIRE(absl::IsDataLoss(Store::Open(f.path, kMaxBytes).status()));
    auto store = Store::Open(f.path, kMaxBytes);
    REQUIRE(store.ok());
    REQUIRE(!(*store)->Read()->has_value());
    REQUIRE(f.files() == 4);
  }
}

TEST_CASE("a write beyond the size limit fails, and the previous state stays readable") {
  TestDirectory f;
  WriteStates(f.path, 2);
  auto store = Store::Open(f.path, kMaxBytes);
  PersistentState large = StateOf(3);
  large.accepted.state.assign(kMaxBytes, 'x');
  for (int i = 0; i < 3; ++i) REQUIRE(absl::IsResourceExhausted((*store)->Write(large)));
  REQUIRE((*store)->Read()->value().promised_term == 2);
  store->reset();
  RequireStored(f.path, 2);
  store = Store::Open(f.path, kMaxBytes);
  for (std::uint64_t i = 0; i < 40; ++i) {  // sizes that fragment the file
    large = StateOf(4 + i);
    large.accepted.state.assign(100'000 + i * 7919 % 900'000, 'y');
    REQUIRE((*store)->Write(large).ok());
  }
  std::uintmax_t bytes = 0;
  for (const auto& file : fs::directory_iterator(f.path)) bytes += file.file_size();
  REQUIRE(bytes <= kMaxBytes);
}

// LMDB files as versions up to 0.3 wrote them: of a store with five writes, and of one without any.
void CopyLmdbFiles(const TestDirectory& to, const char* which) {
  fs::create_directories(to.path);
  for (const int i : {0, 1})
    fs::copy_file(fs::path(STORAGE_TEST_DATA) / which / to.lmdb_file(i), to.path / to.lmdb_file(i),
                  fs::copy_options::overwrite_existing);
}

TEST_CASE("a store of an earlier version is read, and replaced at the first write") {
  TestDirectory f;
  CopyLmdbFiles(f, "lmdb_written");
  RequireStored(f.path, 5);
  RequireStored(f.path, 5);
  WriteStates(f.path, 6);
  for (const int i : {0, 1}) REQUIRE_FALSE(fs::exists(f.path / f.lmdb_file(i)));
  RequireStored(f.path, 6);
}

TEST_CASE("a store of an earlier version that was never written is empty") {
  TestDirectory f;
  CopyLmdbFiles(f, "lmdb_empty");
  auto store = Store::Open(f.path, kMaxBytes);
  REQUIRE(store.ok());
  REQUIRE(!(*store)->Read()->has_value());
}

TEST_CASE("the record of an interrupted write is in both files after a start") {
  for (const int written : {0, 1}) {
    TestDirectory f;
    WriteStates(f.path, 4);
    const std::string fourth = ReadAll(f.slot(1 - written));
    WriteStates(f.path, 5);
    std::ofstream(f.slot(1 - written), std::ios::binary | std::ios::trunc) << fourth;
    RequireStored(f.path, 5);
    fs::remove(f.slot(written));
    RequireStored(f.path, 5);
  }
}

TEST_CASE("a first write that was interrupted leaves an empty store, not a lost one") {
  TestDirectory f;
  WriteStates(f.path, 1);
  const std::string first = ReadAll(f.slot(1));
  std::ofstream(f.slot(1), std::ios::binary | std::ios::trunc) << first.substr(0, first.size() / 2);
  std::ofstream(f.slot(0), std::ios::binary | std::ios::trunc).flush();
  auto store = Store::Open(f.path, kMaxBytes);
  REQUIRE(store.ok());
  REQUIRE(!(*store)->Read()->has_value());
}

// Replaces one to three sectors by zeros, noise or another sector.
void DamageSectors(const std::string& path, merlinrun::Random& random) {
  constexpr std::size_t kSectorBytes = 512;
  std::string file = ReadAll(path);
  const std::size_t sectors = file.size() / kSectorBytes;
  for (std::size_t i = 1 + random.Below(3); i > 0; --i) {
    const std::size_t at = random.Below(sectors) * kSectorBytes;
    const std::size_t kind = random.Below(3);
    const std::string other = file.substr(random.Below(sectors) * kSectorBytes, kSectorBytes);
    for (std::size_t b = 0; b < kSectorBytes; ++b)
      file[at + b] = kind == 0 ? '\0' : kind == 1 ? static_cast<char>(random.Next()) : other[b];
  }
  std::ofstream(path, std::ios::binary | std::ios::trunc) << file;
}

TEST_CASE("damaged sectors never end the process or give a state that was not written") {
  constexpr int kRounds = 200;
  merlinrun::Random random(67);
  TestDirectory f;
  WriteStates(f.path, 5);
  const std::array<std::string, 2> written = {ReadAll(f.slot(0)), ReadAll(f.slot(1))};
  for (const bool earlier_version : {true, false}) {
    int read_again = 0;
    for (int round = 0; round < kRounds; ++round) {
      fs::remove_all(f.path);
      if (earlier_version) CopyLmdbFiles(f, "lmdb_written");
      fs::create_directories(f.path);
      for (const int i : {0, 1}) {
        const std::string path = earlier_version ? (f.path / f.lmdb_file(i)).string() : f.slot(i);
        if (!earlier_version) std::ofstream(path, std::ios::binary) << written[static_cast<std::size_t>(i)];
        if (round % 2 == 0 || i == 0) DamageSectors(path, random);
      }
      auto store = Store::Open(f.path, kMaxBytes);
      REQUIRE((store.ok() || absl::IsDataLoss(store.status())));
      if (!store.ok()) continue;
      const auto state = (*store)->Read();
      REQUIRE((state.ok() && state->has_value()));
      REQUIRE((*state)->promised_term == 5);
      ++read_again;
    }
    REQUIRE(read_again >= kRounds / 2);
  }
}

TEST_CASE("a record file: missing, replaced by a shorter record, damaged") {
  const TestDirectory directory;
  fs::create_directories(directory.path);
  const std::string path = (directory.path / "names.record").string();
  CHECK(absl::IsNotFound(ReadRecordFile(path, kMaxBytes).status()));
  REQUIRE(ReplaceRecordFile(path, std::string(5000, 'x')).ok());
  REQUIRE(ReplaceRecordFile(path, "short").ok());
  CHECK(ReadRecordFile(path, kMaxBytes).value() == "short");
  CHECK(directory.files() == 1);
  std::ofstream(path, std::ios::binary | std::ios::in | std::ios::out).seekp(33).put('y');
  CHECK(absl::IsDataLoss(ReadRecordFile(path, kMaxBytes).status()));
  CHECK_FALSE(ReplaceRecordFile((directory.path / "none" / "names.record").string(), "x").ok());
}

}  // namespace
