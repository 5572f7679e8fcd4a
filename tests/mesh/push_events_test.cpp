#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "mesh/push/events.hpp"

namespace fennelhollow::push {
namespace {

using nlohmann::json;
using registry::State;

json ReadJson(const EventLog& events, std::uint64_t epoch, std::uint64_t since) {
  return json::parse(events.Read(epoch, since));
}

TEST_CASE("the event log is bounded and counts the events it dropped") {
  EventLog events(7, 1'000'000);
  CHECK_FALSE(events.HasNewer(7, 0));
  CHECK(ReadJson(events, 7, 0) == json{{"epoch", 7}, {"next", 1}, {"lost", 0}, {"events", json::array()}});
  std::vector<std::int64_t> versions;  // reference model: every event ever added
  std::mt19937 random(20261202);
  for (int turn = 0; turn < 60; ++turn) {
    for (auto n = random() % 80; n > 0; --n) {
      versions.push_back(static_cast<std::int64_t>(random()));
      events.Add(1'000'000 + 1000 * static_cast<Micros>(versions.size()),
                 ConfigurationEvent{versions.back(), 9});
    }
    const std::uint64_t next = versions.size() + 1;
    REQUIRE(events.next() == next);
    const std::uint64_t first_retained = next <= EventLog::kMaxRetained ? 1 : next - EventLog::kMaxRetained;
    for (const std::uint64_t since : {std::uint64_t{0}, std::uint64_t{1}, random() % next, next - 1, next}) {
      const json read = ReadJson(events, 7, since);
      const std::uint64_t first_requested = std::max<std::uint64_t>(since, 1),
                          from = std::max(first_requested, first_retained);
      CHECK(read["lost"] == from - first_requested);
      REQUIRE(read["events"].size() == std::min<std::uint64_t>(next - from, EventLog::kMaxPerRead));
      CHECK(read["next"] == from + read["events"].size());
      CHECK(events.HasNewer(7, since) == !read["events"].empty());
      std::uint64_t number = from;
      for (const json& event : read["events"]) {
        CHECK(event == json{{"number", number},
                            {"atMs", number},
                            {"kind", "configuration"},
                            {"version", versions[number - 1]},
                            {"entry", 9}});
        ++number;
      }
    }
  }
  CHECK(versions.size() > 2 * EventLog::kMaxRetained);
}

TEST_CASE("another epoch or a future number is read from the first event") {
  EventLog events(~std::uint64_t{0}, 0);
  CHECK(events.epoch() == (std::uint64_t{1} << 53) - 1);
  CHECK(EventLog(0, 0).epoch() == 1);
  CHECK(EventLog(std::uint64_t{1} << 53, 0).epoch() == 1);
  events.Add(0, LeaderEvent{"10.0.0.1:1", 3});
  events.Add(0, VotersEvent{{"10.0.0.1:1", "10.0.0.2:1"}, 4});
  CHECK(ReadJson(events, 5, 3)["events"].size() == 2);
  CHECK(ReadJson(events, events.epoch(), 4)["events"].size() == 2);
  CHECK(events.HasNewer(5, 3));
  CHECK_FALSE(events.HasNewer(events.epoch(), 3));
  CHECK_FALSE(events.HasNewer(0, 3));
  const json voters = ReadJson(events, 0, 2)["events"][0];
  CHECK(voters["members"] == json{"10.0.0.1:1", "10.0.0.2:1"});
}

TEST_CASE("changes between snapshots become events") {
  EventLog events(1, 0);
  SnapshotWatcher watcher;
  registry::Snapshot snapshot;
  std::uint64_t since = 1;
  const auto observe = [&] {
    ++snapshot.revision;
    watcher.OnSnapshot(0, snapshot, events);
    std::string out;
    const json read = ReadJson(events, 1, since);
    for (const json& e : read["events"]) {
      out += e["kind"] == "server"
                 ? e.value("id", "") + "/" + e.value("service", "") + "@" + e.value("sidecar", "")
                 : e.value("name", "");
      out += "=" + e.value("state", "") + " ";
    }
    since = events.next();
    return out;
  };
  const auto server = [](std::string id, State state, std::string sidecar) {
    registry::Server out;
    out.id = id;
    out.service = "shop";
    out.state = state;
    out.sidecar_address = sidecar;
    return out;
  };
  CHECK(observe().empty());
  snapshot.sidecars = {{"n1", 1, "h1", "", ""}};
  snapshot.servers = {server("a", State::kReady, "h1"), server("b", State::kReady, "h\xff"),
                      server("c", State::kGone, "h1")};
  CHECK(observe() == "n1=joined a/shop@n1=ready b/shop@h\xef\xbf\xbd=ready ");
  snapshot.servers[0].cold_remaining_ms = 5;
  CHECK(observe().empty());
  snapshot.servers[0].state = State::kDraining;
  CHECK(observe() == "a/shop@n1=draining ");
  snapshot.servers = {server("a", State::kGone, "h1")};  // c was gone before
  snapshot.sidecars[0].incarnation = 2;
  CHECK(observe().find("b/shop@") != std::string::npos);
  snapshot.servers.clear();
  snapshot.sidecars.clear();
  CHECK(observe() == "n1=left ");
  const std::uint64_t before = events.next();
  snapshot.sidecars = {{"n2", 1, "h2", "", ""}};
  watcher.OnSnapshot(0, snapshot, events);  // same revision: ignored
  CHECK(events.next() == before);
}

}  // namespace
}  // namespace fennelhollow::push
