// The recording of a sidecar must match what the clients and servers observed.
#include <filesystem>
#include <iterator>

#include "fixture.hpp"
#include "record/format.hpp"

namespace merlinrun::rig {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

class RecordTest : public RigTest {
 protected:
  RecordTest() : folder_(::testing::TempDir() + "record-" + std::to_string(::getpid())) {
    std::filesystem::create_directory(folder_);
    record = folder_ + "/record.toml";
    std::ofstream(record) << "file = '" << folder_
                          << "/requests.rec'\nmost_mb = 4\nsalt = 'pepper-and-more-salt'\n";
  }
  ~RecordTest() override { std::filesystem::remove_all(folder_); }
  const std::string folder_;
};

TEST_F(RecordTest, HoldsEveryRequestWithItsOutcome) {
  Build(3);
  TrafficGenerator traffic(env->classes, 600, 7);
  HttpClient http(env->io, env->loop, env->checker, traffic, sidecar->address(), "h");
  http.Start();
  const auto diameter = Client(traffic, 4);
  ASSERT_TRUE(env->RunUntil([&] { return traffic.remaining() == 0 && http.idle() && diameter->idle(); }));
  ASSERT_TRUE(env->RunUntil([&] { return sidecar->active_requests() == 0; }));
  sidecar = nullptr;
  std::ifstream in(folder_ + "/requests.rec", std::ios::binary);
  const auto read = record::ParseRecording(std::string((std::istreambuf_iterator<char>(in)), {}));
  ASSERT_TRUE(std::holds_alternative<record::Recording>(read)) << std::get<std::string>(read);
  const auto& recording = std::get<record::Recording>(read);
  EXPECT_EQ(recording.lost_records, 0U);
  EXPECT_EQ(recording.records.size(), 600U);
  std::map<std::string, std::uint64_t> served;
  std::uint64_t over_diameter = 0;
  for (const record::Record& r : recording.records) {
    if (r.disposition == record::Disposition::kServed) ++served[recording.header.classes.at(r.request_class)];
    over_diameter += r.protocol;
    EXPECT_GT(r.duration, 0);
    EXPECT_LT(r.duration, r.budget);
  }
  for (const auto& [name, row] : env->checker.Summary()) EXPECT_EQ(served[name], row.served) << name;
  EXPECT_GT(over_diameter, 0U);
  EXPECT_LT(over_diameter, 600U);
}

TEST_F(RecordTest, AnInvalidSettingsFileFailsTheStart) {
  std::ofstream(record, std::ios::trunc)
      << "file = '/nonexistent/x'\nmost_mb = 4\nsalt = 'pepper-and-more-salt'\n";
  EXPECT_THROW(Build(1), net::ConfigError);
}

}  // namespace
}  // namespace merlinrun::rig
