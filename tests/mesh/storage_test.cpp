#include <glog/logging.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "base/random.hpp"
#include "mesh/storage/store.hpp"

namespace {

using namespace fennelhollow::storage;
namespace fs = std::filesystem;

const bool quiet = (FLAGS_minloglevel = 3, true);
constexpr std::size_t kMost = std::size_t{16} << 20;

struct Folder {
  Folder() : path(fs::temp_directory_path() / ("storage_" + std::to_string(getpid()))) {
    fs::remove_all(path);
  }
  ~Folder() { fs::remove_all(path); }
  std::string slot(int i) const { return (path / ("slot" + std::to_string(i) + ".mdb")).string(); }
  std::size_t files() const {
    return static_cast<std::size_t>(std::distance(fs::directory_iterator(path), fs::directory_iterator()));
  }
  fs::path path;
};

PersistentState Of(std::uint64_t n) {
  PersistentState d;
  d.storage_id = 7;
  d.promised_term = n;
  d.accepted = {
      n, n + 1, {"a", "b"}, {0, 7}, {"a"}, {0}, "state" + std::to_string(n) + std::string(10000, 'x')};
  return d;
}

void RequireIs(const std::string& folder, std::uint64_t n) {
  auto store = Store::Open(folder, kMost);
  REQUIRE(store.ok());
  const auto read = (*store)->Read();
  REQUIRE(read.ok());
  REQUIRE(read->has_value());
  const PersistentState want = Of(n);
  const PersistentState& have = **read;
  REQUIRE((have.storage_id == want.storage_id && have.promised_term == n));
  REQUIRE((have.accepted.term == n && have.accepted.index == n + 1 &&
           have.accepted.state == want.accepted.state));
  REQUIRE((have.accepted.voters == want.accepted.voters &&
           have.accepted.voter_storage_ids == want.accepted.voter_storage_ids));
  REQUIRE((have.accepted.previous_voters == want.accepted.previous_voters &&
           have.accepted.previous_voter_storage_ids == want.accepted.previous_voter_storage_ids));
}

void WriteTill(const std::string& folder, std::uint64_t n) {
  auto store = Store::Open(folder, kMost);
  REQUIRE(store.ok());
  for (std::uint64_t i = 1; i <= n; ++i) REQUIRE((*store)->Write(Of(i)).ok());
}

std::string ReadAll(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

TEST_CASE("what was written last is read, also after opening again and again") {
  Folder f;
  {
    auto store = Store::Open(f.path, kMost);
    REQUIRE(store.ok());
    const auto none = (*store)->Read();
    REQUIRE((none.ok() && !none->has_value()));
  }
  WriteTill(f.path, 1);
  RequireIs(f.path, 1);
  WriteTill(f.path, 50);
  RequireIs(f.path, 50);
  WriteTill(f.path, 51);
  RequireIs(f.path, 51);
}

// A loss of power in the fifth write: each page of its file is as before, as after, or torn between, and the
// length too.
TEST_CASE("a write that was cut short: its record or the one before it, and the store goes on") {
  Folder f;
  WriteTill(f.path, 4);  // 3 in slot 0
  const std::string before = ReadAll(f.slot(0));
  const std::string other = ReadAll(f.slot(1));
  WriteTill(f.path, 1);  // number 5, over the third
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
      auto store = Store::Open(f.path, kMost);
      REQUIRE(store.ok());
      const auto read = (*store)->Read();
      REQUIRE((read.ok() && read->has_value()));
      const std::uint64_t have = (*read)->promised_term;
      REQUIRE((have == 4 || have == 1));
      fourth += have == 4 ? 1 : 0;
      REQUIRE((*store)->Write(Of(6)).ok());
    }
    RequireIs(f.path, 6);
  }
  REQUIRE((fourth > 5 && fourth < 55));  // both were met
}

// What was acknowledged must not give way to what was before it, whichever file can't be read any more.
TEST_CASE("a record whose write has returned is read with either file lost, spoilt or cut") {
  for (const std::uint64_t writes : {1, 2, 5, 6}) {
    for (const int lost : {0, 1}) {
      for (const char how : {'r', 'g', 'c'}) {
        Folder f;
        WriteTill(f.path, writes);
        const std::string whole = ReadAll(f.slot(lost));
        if (how == 'r') fs::remove(f.slot(lost));
        if (how == 'g') std::ofstream(f.slot(lost), std::ios::trunc) << std::string(20000, 'g');
        if (how == 'c') std::ofstream(f.slot(lost), std::ios::trunc) << whole.substr(0, whole.size() / 2);
        RequireIs(f.path, writes);
        WriteTill(f.path, 7);
        RequireIs(f.path, 7);
      }
    }
  }
}

TEST_CASE("nothing that can be trusted: told, set aside, and empty then, what is set aside stays bounded") {
  Folder f;
  for (int round = 0; round < 3; ++round) {
    WriteTill(f.path, 3);
    for (const int i : {0, 1}) std::ofstream(f.slot(i), std::ios::trunc) << std::string(20000, 'g');
    REQUIRE(absl::IsDataLoss(Store::Open(f.path, kMost).status()));
    auto store = Store::Open(f.path, kMost);
    REQUIRE(store.ok());
    REQUIRE(!(*store)->Read()->has_value());
    REQUIRE(f.files() == 4);
  }
}

TEST_CASE("no room: refused, and what was there stays readable") {
  Folder f;
  WriteTill(f.path, 2);
  auto store = Store::Open(f.path, kMost);
  PersistentState large = Of(3);
  large.accepted.state.assign(kMost, 'x');
  for (int i = 0; i < 3; ++i) REQUIRE(absl::IsResourceExhausted((*store)->Write(large)));
  REQUIRE((*store)->Read()->value().promised_term == 2);
  store->reset();
  RequireIs(f.path, 2);
  store = Store::Open(f.path, kMost);
  for (std::uint64_t i = 0; i < 40; ++i) {  // sizes that leave holes
    large = Of(4 + i);
    large.accepted.state.assign(100'000 + i * 7919 % 900'000, 'y');
    REQUIRE((*store)->Write(large).ok());
  }
  std::uintmax_t bytes = 0;
  for (const auto& file : fs::directory_iterator(f.path)) bytes += file.file_size();
  REQUIRE(bytes <= kMost);
}

}  // namespace
