// Tests recordings: round trip, damaged files, and that full or slow disks delay no requests.
#include "record/recorder.hpp"

#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <mutex>
#include <new>
#include <random>
#include <thread>

namespace merlinrun::record {
namespace {

constexpr const char* kSalt = "0123456789abcdef";

Header ExampleHeader() { return {7, 1'700'000'000'000'000, {"sim-lookup", "number-port"}}; }

std::vector<Record> RandomRecords(std::size_t count) {
  std::mt19937_64 random(5);
  std::vector<Record> out;
  for (std::size_t i = 0; i < count; ++i) {
    Record record;
    record.arrival_time = static_cast<Micros>(i * 1000 + random() % 100'000);
    record.budget = static_cast<Micros>(random() % 6'000'000);
    record.duration = static_cast<Micros>(random() % 3'000'000);
    record.request_class = static_cast<std::uint32_t>(random() % 2);
    record.attempts = static_cast<std::uint32_t>(random() % 5);
    record.disposition = static_cast<Disposition>(random() % 4);
    record.protocol = static_cast<std::uint8_t>(random() % 2);
    record.is_retry = random() % 2 == 0;
    record.id = random() | 1;
    record.key = random() % 2 == 0 ? 0 : random() | 1;
    out.push_back(record);
  }
  return out;
}

std::string EncodeRecording(const std::vector<Record>& records, std::size_t records_per_block) {
  std::string out = EncodeHeader(ExampleHeader());
  BlockWriter block;
  for (const Record& record : records) {
    block.Add(record);
    if (block.count() == records_per_block) out += block.Take(2);
  }
  if (block.count() > 0) out += block.Take(0);
  return out;
}

std::string ErrorOf(const std::string& bytes) {
  const auto read = ParseRecording(bytes);
  const auto* const error = std::get_if<std::string>(&read);
  return error == nullptr ? "" : *error;
}

TEST(FormatTest, RoundTrip) {
  const auto records = RandomRecords(1'000);
  const std::string bytes = EncodeRecording(records, 300);
  const auto read = ParseRecording(bytes);
  ASSERT_TRUE(std::holds_alternative<Recording>(read)) << std::get<std::string>(read);
  const auto& recording = std::get<Recording>(read);
  EXPECT_EQ(recording.header.classes, ExampleHeader().classes);
  EXPECT_EQ(recording.header.start_time_us, ExampleHeader().start_time_us);
  EXPECT_EQ(recording.lost_records, 6U);
  ASSERT_EQ(recording.records.size(), records.size());
  for (std::size_t i = 0; i < records.size(); ++i) {
    EXPECT_EQ(recording.records[i].arrival_time, records[i].arrival_time);
    EXPECT_EQ(recording.records[i].budget, records[i].budget);
    EXPECT_EQ(recording.records[i].duration, records[i].duration);
    EXPECT_EQ(recording.records[i].request_class, records[i].request_class);
    EXPECT_EQ(recording.records[i].attempts, records[i].attempts);
    EXPECT_EQ(recording.records[i].disposition, records[i].disposition);
    EXPECT_EQ(recording.records[i].protocol, records[i].protocol);
    EXPECT_EQ(recording.records[i].is_retry, records[i].is_retry);
    EXPECT_EQ(recording.records[i].id, records[i].id);
    EXPECT_EQ(recording.records[i].key, records[i].key);
  }
  EXPECT_LT(bytes.size(), 32 * records.size());
}

TEST(FormatTest, ForeignFilesAreRejected) {
  EXPECT_EQ(ErrorOf(""), "no recording of this project");
  EXPECT_EQ(ErrorOf("PK\3\4 something else"), "no recording of this project");
  std::string next = EncodeRecording(RandomRecords(3), 3);
  next[8] = 2;
  EXPECT_EQ(ErrorOf(next), "a recording of version 2, and this program reads 1");
}

// A file truncated anywhere but at the end of a block, or changed anywhere, is rejected.
TEST(FormatTest, TruncatedAndDamagedFilesAreRejected) {
  const std::string whole = EncodeRecording(RandomRecords(20), 10);
  int good = 0;
  for (std::size_t size = 0; size < whole.size(); ++size)
    good += ErrorOf(whole.substr(0, size)).empty() ? 1 : 0;
  EXPECT_EQ(good, 2);  // after the header, and after the first block
  for (std::size_t at = 0; at < whole.size(); ++at) {
    std::string damaged = whole;
    damaged[at] = static_cast<char>(damaged[at] ^ 0x10);
    EXPECT_NE(ErrorOf(damaged), "") << at;
  }
  EXPECT_EQ(ErrorOf(whole.substr(0, whole.size() - 1)).substr(0, 21), "it is cut off at byte");
}

TEST(FormatTest, HashesDependOnTheSalt) {
  const Hasher one(kSalt);
  EXPECT_EQ(one("+16045550123"), Hasher(kSalt)("+16045550123"));
  EXPECT_NE(one("+16045550123"), one("+16045550124"));
  EXPECT_NE(one("+16045550123"), Hasher("fedcba9876543210")("+16045550123"));
}

TEST(RecordingSettingsTest, ErrorsAreReportedInOneLine) {
  const auto error = [](const std::string& text) {
    const auto read = ParseRecordingSettings(text, "r.toml");
    const auto* const wrong = std::get_if<std::string>(&read);
    return wrong == nullptr ? "" : *wrong;
  };
  EXPECT_EQ(error("file = 'x'\nmost_mb = 1\nsalt = '0123456789abcdef'\n"), "");
  EXPECT_EQ(error("file = 'x'\nmost_mb = 0\nsalt = '0123456789abcdef'\n"),
            "r.toml:2:11: most_mb: a whole number from 1 to 1048576 is needed");
  EXPECT_EQ(error("salt = 'short'\n"), "r.toml:1:8: salt: at least 16 bytes are needed");
  EXPECT_EQ(error("files = 'x'\n"), "r.toml:1:9: 'files' is unknown or of the wrong kind");
  EXPECT_NE(error("file = 'x'\n").find("file, salt and most_mb are needed"), std::string::npos);
  EXPECT_NE(error("file = \n").find("r.toml:1:"), std::string::npos);
}

class RecorderTest : public ::testing::Test {
 protected:
  RecorderTest() : path_(::testing::TempDir() + "recording-" + std::to_string(::getpid())) {}
  ~RecorderTest() override { std::remove(path_.c_str()); }
  std::variant<Recording, std::string> Read() const {
    std::ifstream in(path_, std::ios::binary);
    return ParseRecording(std::string((std::istreambuf_iterator<char>(in)), {}));
  }
  const std::string path_;
};

TEST_F(RecorderTest, WritesACompleteFileReadableOnlyByItsUser) {
  {
    Recorder recorder(OpenFile(path_, 1 << 20), ExampleHeader(), kSalt, 1'000);
    for (int i = 0; i < 500; ++i) {
      Record record;
      record.arrival_time = 1'000 + 10 * i;
      recorder.Add(1'000 + 10 * i, record, "r-" + std::to_string(i), "");
    }
  }
  const auto read = Read();
  ASSERT_TRUE(std::holds_alternative<Recording>(read)) << std::get<std::string>(read);
  EXPECT_EQ(std::get<Recording>(read).records.size(), 500U);
  EXPECT_EQ(std::get<Recording>(read).records[3].arrival_time, 30);
  EXPECT_EQ(std::get<Recording>(read).records[3].id, Hasher(kSalt)("r-3"));
  struct stat status {};
  ASSERT_EQ(::stat(path_.c_str(), &status), 0);
  EXPECT_EQ(status.st_mode & 0777, 0600U);
}

TEST_F(RecorderTest, RespectsTheSizeLimitAndReportsLostRecords) {
  constexpr std::uint64_t kMaxSize = 100'000;
  constexpr int kRecords = 20'000;
  {
    Recorder recorder(OpenFile(path_, kMaxSize), ExampleHeader(), kSalt, 0);
    for (int i = 0; i < kRecords; ++i) recorder.Add(i, Record(), std::to_string(i), "");
  }
  struct stat status {};
  ASSERT_EQ(::stat(path_.c_str(), &status), 0);
  EXPECT_LE(static_cast<std::uint64_t>(status.st_size), kMaxSize);
  const auto read = Read();
  ASSERT_TRUE(std::holds_alternative<Recording>(read)) << std::get<std::string>(read);
  EXPECT_GT(std::get<Recording>(read).records.size(), 1'000U);
  EXPECT_EQ(std::get<Recording>(read).records.size() + std::get<Recording>(read).lost_records, 1U * kRecords);
}

// /dev/full fails every write, like a full disk.
TEST_F(RecorderTest, AFullDiskAtTheStartIsReported) {
  try {
    Recorder recorder(OpenFile("/dev/full", 1 << 20), ExampleHeader(), kSalt, 0);
    FAIL();
  } catch (const std::runtime_error& error) {
    EXPECT_STREQ(error.what(), "the recording's header can't be written");
  }
  EXPECT_THROW(OpenFile("/nonexistent/folder/file", 1 << 20), std::runtime_error);
}

// A file whose writes block until `go` is set.
class BlockingFile : public RecordingFile {
 public:
  struct State {
    std::mutex mutex;
    std::condition_variable changed;
    bool go = false;
    int written = 0;
  };
  explicit BlockingFile(std::shared_ptr<State> state) : state_(std::move(state)) {}
  bool Append(std::string_view) override {
    std::unique_lock<std::mutex> lock(state_->mutex);
    if (state_->written++ > 0) state_->changed.wait(lock, [this] { return state_->go; });
    return true;
  }

 private:
  const std::shared_ptr<State> state_;
};

TEST_F(RecorderTest, ASlowDiskDoesNotBlockAndDroppedRecordsAreCounted) {
  const auto state = std::make_shared<BlockingFile::State>();
  constexpr std::uint64_t kRecords = 100'000;
  std::uint64_t lost = 0;
  {
    Recorder recorder(std::make_unique<BlockingFile>(state), ExampleHeader(), kSalt, 0);
    for (std::uint64_t i = 0; i < kRecords; ++i) recorder.Add(0, Record(), std::to_string(i), "");
    lost = recorder.lost();  // all were added while no block was written
    EXPECT_EQ(recorder.recorded(), 0U);
  }
  EXPECT_GT(lost, kRecords / 4);
  EXPECT_LT(lost, kRecords);
  const std::lock_guard<std::mutex> lock(state->mutex);
  state->go = true;
  state->changed.notify_all();
}

// A file whose writes run out of memory after the header.
class ThrowingFile : public RecordingFile {
 public:
  bool Append(std::string_view) override {
    if (header_written_) throw std::bad_alloc();
    return header_written_ = true;
  }

 private:
  bool header_written_ = false;
};

TEST_F(RecorderTest, AnExceptionWhileWritingLosesRecordsAndNotTheProcess) {
  Recorder recorder(std::make_unique<ThrowingFile>(), ExampleHeader(), kSalt, 0);
  constexpr std::uint64_t kRecords = 20'000;
  for (std::uint64_t i = 0; i < kRecords; ++i) recorder.Add(0, Record(), std::to_string(i), "");
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (recorder.lost() == 0 && std::chrono::steady_clock::now() < deadline) std::this_thread::yield();
  EXPECT_GT(recorder.lost(), 0U);
  EXPECT_EQ(recorder.recorded(), 0U);
}

}  // namespace
}  // namespace merlinrun::record
