// Tests of the adapter: protocol, invalid input and independence of instances.
#include <gtest/gtest.h>

#include <random>
#include <string>
#include <utility>
#include <vector>

#include "host.hpp"

namespace merlinrun::drill {
namespace {

const char kSettings[] =
    "allowed.cancel=true allowed.max_attempts=5 allowed.max_retry_after_us=2000000 allowed.retry_after=true "
    "azs=east,west grades.count=2 grades.0.name=look grades.0.aim_us=1000000 grades.0.hard_limit_us=3000000 "
    "grades.0.importance=1.0 grades.0.repeat=idempotent grades.1.name=pay grades.1.aim_us=1000000 "
    "grades.1.hard_limit_us=3000000 grades.1.repeat=deduplicated grades.1.group=cell "
    "grades.1.window_us=5000000 "
    "host_types=big,small membership_mode=subscribe my_zone=west quantum_us=5000 rank=1 "
    "rules.ask_within_us=9000000 rules.cold_from=0.3 rules.drain_grace_us=500000 rules.fall_us=2000000 "
    "rules.overload_factor=4.0 rules.warm_after_us=8000000 siblings=4 tenants.count=1 tenants.0.name=acme "
    "some.unknown.key=whatever";

std::vector<std::string> Provision(const std::string& name, const std::string& seed = "42") {
  return {"PROVISION " + name + " " + seed + " " + kSettings, "TABLE 3 2",
          "ROW big east 1 - 0 10.0.0.1:80 healthy", "ROW small west 1.5 100 - 10.0.0.2:80 healthy",
          "DISCOVERY " + name + " C 7 3"};
}

// Returns the reply to one batch.
std::string Batch(Host& host, std::int64_t now, const std::vector<std::string>& lines) {
  host.ProcessLine("BEGIN_BATCH " + std::to_string(now));
  for (const std::string& line : lines) EXPECT_FALSE(host.ProcessLine(line)) << line;
  EXPECT_TRUE(host.ProcessLine("COMMIT"));
  return host.reply();
}

TEST(Wire, AnswersAnEmptyBatch) {
  Host host;
  EXPECT_EQ(Batch(host, 5, {}), "DONE\n");
}

TEST(Wire, ForwardsARequestUntilItSucceeds) {
  Host host;
  const std::string start = Batch(host, 10, Provision("sidecar/1"));
  EXPECT_EQ(start.substr(0, 16), "SLEEP sidecar/1 ");  // requests the server list after a random delay
  const std::string routed = Batch(host, 20, {"ARRIVAL sidecar/1 r-a 12000 2000000 acme 1 look s-key"});
  EXPECT_EQ(routed.substr(0, 20), "ROUTE sidecar/1 r-a ");
  EXPECT_EQ(Batch(host, 40, {"RESOLVED sidecar/1 r-a 0 10.0.0.1:80 success 20 1 busy_reqs:3,pending:1"}),
            "DONE\n");
}

TEST(Wire, AcceptsEveryEvent) {
  Host host;
  Batch(host, 10, Provision("sidecar/1"));
  const std::string reply =
      Batch(host, 20,
            {"ARRIVAL sidecar/1 r-a - 2000000 - 0 pay -", "HEADERS sidecar/1 r-a 0 10.0.0.1:80 9",
             "TIMED_OUT_CLIENT sidecar/1 r-a", "ECHO sidecar/1 10.0.0.1:80 success 5 -",
             "MESSAGE sidecar/1 3 68692037", "MESSAGE sidecar/1 3 -", "DUE sidecar/1 99", "TABLE 3 1",
             "ROW big east - - 0 10.0.0.3:80 cordoned", "DISCOVERY sidecar/1 D 8 3", "TABLE 3 0",
             "DISCOVERY sidecar/1 F 9 3", "DISCOVERY sidecar/1 X - -"});
  EXPECT_NE(reply.find("ROUTE sidecar/1 r-a"), std::string::npos);
  for (const char* outcome :
       {"success", "failure", "overloaded", "timed_out", "unreachable", "broken", "withdrawn", "void"})
    Batch(host, 30, {"RESOLVED sidecar/1 r-a 0 10.0.0.1:80 " + std::string(outcome) + " 9 1 -"});
}

TEST(Wire, AListPageCanBeReusedWithinABatch) {
  Host host;
  auto lines = Provision("sidecar/1");
  auto more = Provision("sidecar/2");
  more[2] = "ROW big east 1 - 0 10.9.9.9:80 healthy";
  more[3] = "ROW big east 1 - 0 10.9.9.8:80 healthy";
  lines.insert(lines.end(), more.begin(), more.end());
  Batch(host, 10, lines);
  const std::string one = Batch(host, 20, {"ARRIVAL sidecar/1 r-a - 2000000 - 0 look -"});
  const std::string two = Batch(host, 20, {"ARRIVAL sidecar/2 r-b - 2000000 - 0 look -"});
  EXPECT_NE(one.find("10.0.0."), std::string::npos);
  EXPECT_NE(two.find("10.9.9."), std::string::npos);
}

TEST(Wire, AnInstanceCanRestartWithinABatch) {
  Host host;
  Batch(host, 10, Provision("sidecar/1"));
  Batch(host, 20, {"ARRIVAL sidecar/1 r-a - 2000000 - 0 look -"});
  std::vector<std::string> lines = {"DOWN sidecar/1"};
  for (const std::string& line : Provision("sidecar/1", "43")) lines.push_back(line);
  lines.push_back("RESOLVED sidecar/1 r-a 0 10.0.0.1:80 overloaded 9 0 -");
  const std::string reply = Batch(host, 30, lines);
  EXPECT_EQ(reply.find("r-a"), std::string::npos);
}

TEST(Wire, InvalidSettingsAreFatalForTheInstance) {
  Host host;
  EXPECT_EQ(Batch(host, 10, {"PROVISION sidecar/1 5 grades.count=0"}),
            "FATAL sidecar/1 settings: no request classes\nDONE\n");
}

TEST(Wire, ErrorsNameTheLineAndTheVerb) {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"ARRIVAL sidecar/1 r-a x 1 - 0 look -", "line 7: ARRIVAL: cost_us 'x': not a whole number"},
      {"ARRIVAL sidecar/1 r-a 1 -1 - 0 look -", "line 7: ARRIVAL: budget_us '-1': negative"},
      {"ARRIVAL sidecar/1 r-a 1 9223372036854775807 - 0 look -",
       "line 7: ARRIVAL: budget_us '9223372036854775807': out of range"},
      {"ARRIVAL sidecar/1 r-a 1 1 - 0 nothing -", "line 7: ARRIVAL: class 'nothing': not in the settings"},
      {"ARRIVAL sidecar/1 r-a 1 1 - 0", "line 7: ARRIVAL: qos: missing"},
      {"ARRIVAL sidecar/9 r-a 1 1 - 0 look -", "line 7: ARRIVAL: no such instance"},
      {"ARRIVAL car/1 r-a 1 1 - 0 look -", "line 7: ARRIVAL: sidecar: not sidecar/NUMBER"},
      {"RESOLVED sidecar/1 r-a 0 s odd 9 1 -", "line 7: RESOLVED: outcome 'odd': unknown"},
      {"RESOLVED sidecar/1 r-a 0 s success 9 2 -", "line 7: RESOLVED: settled '2': not 1 or 0"},
      {"DUE sidecar/1 99999999999999999999999",
       "line 7: DUE: ref '99999999999999999999999': not a whole number from 0"},
      {"DUE sidecar/1 5 6", "line 7: DUE: line '6': more than it should hold"},
      {"DISCOVERY sidecar/1 D 3 16", "line 7: DISCOVERY: page: outside 0 to 15"},
      {"DISCOVERY sidecar/1 Q 3 1", "line 7: DISCOVERY: kind: not D, F, C or X"},
      {"ROW a b 1 - 0 s healthy", "line 7: ROW: outside a list"},
      {"BEGIN_BATCH 50", "line 7: BEGIN_BATCH: a batch is open already"},
      {"HELLO", "line 7: HELLO: unknown verb"},
      {"", "line 7: : verb: empty"},
  };
  for (const auto& [line, expected] : cases) {
    Host host;
    host.ProcessLine("BEGIN_BATCH 10");
    for (const std::string& good : Provision("sidecar/1")) host.ProcessLine(good);
    try {
      host.ProcessLine(line);
      ADD_FAILURE() << "accepted: " << line;
    } catch (const WireError& error) {
      EXPECT_EQ(std::string(error.what()), expected);
    }
  }
}

TEST(Wire, AMissingLoadValueIsAbsent) {
  const LoadReport load = ParseLoad("busy_reqs:3,svc_ms:1.5,cpu_share:-,novel:9");
  EXPECT_EQ(load.busy, 3.0);
  EXPECT_EQ(load.service_ms, 1.5);
  EXPECT_FALSE(load.cpu || load.waiting || load.served_per_s || load.failed_per_s);
  EXPECT_FALSE(ParseLoad("-").busy);
  for (const char* bad : {"busy_reqs:x", "busy_reqs:nan", "busy_reqs:inf", "busy_reqs:-1", "busy_reqs", ":3"})
    EXPECT_THROW(ParseLoad(bad), WireError) << bad;
}

TEST(Wire, PeerMessagesAreHexEncoded) {
  EXPECT_EQ(ParseHex("6869"), "hi");
  EXPECT_EQ(ParseHex("-"), "");
  EXPECT_THROW(ParseHex("686"), WireError);
  EXPECT_THROW(ParseHex("6g"), WireError);
}

TEST(Wire, PassesOnEverySetting) {
  const Settings s =
      ParseSettings(
          "allowed.conn_idle_us=5 allowed.dial_timeout_us=6 allowed.open_cap=7 allowed.cpu_us_per_s=8 "
          "allowed.cpu_us_per_request=9.5 callers.marks_retry=true telemetry.via=answers "
          "telemetry.fields=busy_reqs,svc_ms weights=live domain.warm_keys=true rules.late_shedding=true "
          "rules.settle_after_doubt_us=10 costs.handshake=0.1 costs.probe=0.2 costs.peer=0.3 "
          "costs.membership_mode=0.4 costs.moves=0.5 costs.origin=0.6 goal.whole=0.7 "
          "goal.worst_window=0.8 goal.worst_class=0.9 goal.worst_tenant=0.25 grades.count=1 grades.0.name=a "
          "grades.0.repeat=idempotent grades.0.sequential=true")
          .settings;
  EXPECT_EQ(s.connection_idle_timeout, 5);
  EXPECT_EQ(s.dial_timeout, 6);
  EXPECT_EQ(s.max_open_requests, 7);
  EXPECT_EQ(s.cpu_per_s, 8);
  EXPECT_EQ(s.cpu_per_request, 9.5);
  EXPECT_TRUE(s.clients_mark_retries);
  EXPECT_EQ(s.load_reporting, Settings::LoadReporting::kInResponses);
  EXPECT_EQ(s.report_fields, (std::vector<std::string>{"busy_reqs", "svc_ms"}));
  EXPECT_EQ(s.weights, Settings::Weights::kLive);
  EXPECT_TRUE(s.warm_keys);
  EXPECT_TRUE(s.refused_may_have_run);
  EXPECT_EQ(s.hold_after_uncertain_outcome, 10);
  EXPECT_EQ(s.cost_handshake, 0.1);
  EXPECT_EQ(s.cost_probe, 0.2);
  EXPECT_EQ(s.cost_peer_traffic, 0.3);
  EXPECT_EQ(s.cost_discovery, 0.4);
  EXPECT_EQ(s.cost_moves, 0.5);
  EXPECT_EQ(s.cost_origin, 0.6);
  EXPECT_EQ(s.goal_total, 0.7);
  EXPECT_EQ(s.goal_worst_window, 0.8);
  EXPECT_EQ(s.goal_worst_class, 0.9);
  EXPECT_EQ(s.goal_worst_tenant, 0.25);
  EXPECT_TRUE(s.classes[0].sequential);
}

// Truncated, mutated and random lines are accepted or end in a WireError; sanitizers check the rest.
TEST(Wire, RandomInputDoesNotCrash) {
  std::mt19937_64 random(11);
  const auto below = [&](std::size_t n) { return static_cast<std::size_t>(random() % n); };
  std::vector<std::string> script = {"BEGIN_BATCH 10"};
  for (const std::string& line : Provision("sidecar/1")) script.push_back(line);
  for (const char* line :
       {"ARRIVAL sidecar/1 r-a 12000 2000000 acme 1 look s-key", "ARRIVAL sidecar/1 r-b - 50 - 0 pay -",
        "RESOLVED sidecar/1 r-a 0 10.0.0.1:80 overloaded 20 0 -", "HEADERS sidecar/1 r-b 0 10.0.0.1:80 9",
        "TIMED_OUT_CLIENT sidecar/1 r-b", "ECHO sidecar/1 10.0.0.1:80 success 5 -", "DUE sidecar/1 1",
        "MESSAGE sidecar/1 3 6869", "DISCOVERY sidecar/1 X 3 0", "DOWN sidecar/1", "COMMIT"})
    script.emplace_back(line);
  int rejected = 0;
  int accepted = 0;
  for (int round = 0; round < 6000; ++round) {
    Host host;
    const std::size_t corrupted = below(script.size());
    try {
      for (std::size_t i = 0; i < script.size(); ++i) {
        std::string line = script[i];
        if (i == corrupted) {
          if (round % 3 == 0) line.resize(below(line.size() + 1));
          if (round % 3 == 1)
            for (int k = 0; k < 3 && !line.empty(); ++k)
              line[below(line.size())] = static_cast<char>(below(256));
          if (round % 3 == 2)
            for (char& c : line) c = "0123456789-./ aZ=,\n"[below(19)];
        }
        host.ProcessLine(line);
      }
      ++accepted;
    } catch (const WireError&) {
      ++rejected;
    }
  }
  EXPECT_GT(rejected, 3000);
  EXPECT_GT(accepted, 100);
}

// The lines of one instance in a reply.
std::string LinesOf(const std::string& reply, const std::string& name) {
  std::string matching;
  std::size_t at = 0;
  while (at < reply.size()) {
    const std::size_t end = reply.find('\n', at);
    const std::string line = reply.substr(at, end - at);
    if (line.find(" " + name + " ") != std::string::npos) matching += line + "\n";
    at = end + 1;
  }
  return matching;
}

TEST(Wire, InterleavedInstancesAreIndependent) {
  const std::vector<std::string> names = {"sidecar/0", "sidecar/1", "sidecar/2"};
  Host shared_host;
  std::vector<Host> separate_hosts(names.size());
  std::mt19937_64 random(3);
  const auto run_round = [&](std::int64_t now, const std::vector<std::vector<std::string>>& by_name) {
    std::vector<std::string> all;
    for (std::size_t k = 0; k < 12; ++k)  // one line of each instance in turn
      for (const auto& lines : by_name)
        if (k < lines.size()) all.push_back(lines[k]);
    const std::string shared_reply = Batch(shared_host, now, all);
    for (std::size_t i = 0; i < names.size(); ++i)
      EXPECT_EQ(LinesOf(shared_reply, names[i]),
                LinesOf(Batch(separate_hosts[i], now, by_name[i]), names[i]));
    return shared_reply;
  };
  std::vector<std::vector<std::string>> lines;
  std::vector<std::string> start;
  for (std::size_t i = 0; i < names.size(); ++i) {
    start = Provision(names[i], std::to_string(100 + i));
    Batch(separate_hosts[i], 5, start);
    lines.push_back({});
  }
  std::vector<std::string> all;
  for (std::size_t i = 0; i < names.size(); ++i)
    for (const std::string& line : Provision(names[i], std::to_string(100 + i))) all.push_back(line);
  Batch(shared_host, 5, all);
  for (int round = 0; round < 200; ++round) {
    const std::string id = "r-" + std::to_string(round);
    for (std::size_t i = 0; i < names.size(); ++i) {
      lines[i] = {"ARRIVAL " + names[i] + " " + id + " - 900000 - 0 look -"};
      if (round > 0) {
        const char* outcome = random() % 3 == 0 ? "overloaded 900000 0 -" : "success 90000 1 -";
        lines[i].push_back("RESOLVED " + names[i] + " r-" + std::to_string(round - 1) + " 0 s " + outcome);
      }
    }
    run_round(100 + round * 5000, lines);
  }
}

}  // namespace
}  // namespace merlinrun::drill
