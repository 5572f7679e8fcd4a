// What one kind of request gets of a full server beside others, whatever their aims and priorities are.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <random>
#include <vector>

#include "mesh/ingress/admission_queue.hpp"

namespace fennelhollow::ingress {
namespace {

constexpr Micros kMillisecond = 1000;
constexpr Micros kSecond = 1000 * kMillisecond;

// One kind of request as an outbound sidecar describes it to the last hop.
struct Kind {
  double per_second = 0;
  Micros aim = 300 * kMillisecond;
  int priority = 1;
  Micros Due() const {
    return aim + static_cast<Micros>(0.25 * static_cast<double>(aim) * static_cast<double>(priority));
  }
  Micros MostWait() const { return std::max<Micros>(aim / 10, 40 * kMillisecond); }
};

struct Outcome {
  int asked = 0, passed = 0;
  int spans = 0, starved_spans = 0;  // that the running check of the least share saw
  double Share() const { return asked == 0 ? 1 : static_cast<double>(passed) / asked; }
};

// One server of `slots` slots, each run taking 50 to 150 ms, for `seconds`.
std::vector<Outcome> Play(const std::vector<Kind>& kinds, int slots, int seconds, unsigned seed) {
  std::mt19937 random(seed);
  const auto exponential = [&](double per_second) {
    return static_cast<Micros>(std::exponential_distribution<double>(per_second)(random) * kSecond);
  };
  const auto run_time = [&] {
    return std::uniform_int_distribution<Micros>(50 * kMillisecond, 150 * kMillisecond)(random);
  };
  AdmissionQueue queue({0, 2});
  std::vector<Outcome> out(kinds.size());
  std::map<Ticket, std::size_t> kind_of;
  std::multimap<Micros, Ticket> ends;
  std::vector<Micros> next(kinds.size());
  for (std::size_t i = 0; i < kinds.size(); ++i) next[i] = exponential(kinds[i].per_second);
  queue.OnSpan([&](const FlowInterval& span) {
    Outcome& outcome = out[static_cast<std::size_t>(std::stoi(span.flow.route.substr(6)))];
    ++outcome.spans;
    outcome.starved_spans += !span.ReceivedMinimumShare();
  });
  std::uint64_t number = 0;
  const auto pass = [&](Micros now, const Ticket& ticket) {
    ++out[kind_of.at(ticket)].passed;
    ends.emplace(now + run_time(), ticket);
  };
  const auto pump = [&](Micros now) {
    queue.Overdue(now);
    while (const auto ticket = queue.Next(now)) pass(now, *ticket);
  };
  for (Micros now = 0; now < seconds * kSecond;) {
    const auto arrival = std::min_element(next.begin(), next.end());
    if (!ends.empty() && ends.begin()->first <= *arrival) {
      now = ends.begin()->first;
      queue.OnDone(now, ends.begin()->second);
      ends.erase(ends.begin());
      pump(now);
      continue;
    }
    now = *arrival;
    const auto i = static_cast<std::size_t>(arrival - next.begin());
    *arrival += exponential(kinds[i].per_second);
    const Ticket ticket{1, ++number};
    kind_of[ticket] = i;
    ++out[i].asked;
    AdmissionQueue::Attempt attempt;
    attempt.ticket = ticket;
    attempt.server = "server";
    attempt.slots = slots;
    attempt.flow = {"route " + std::to_string(i), kinds[i].priority};
    attempt.due = now + kinds[i].Due();
    attempt.until = now + kinds[i].MostWait();
    const auto decision = queue.OnAttempt(now, attempt);
    if (decision == AdmissionQueue::Decision::kPass) pass(now, ticket);
    pump(now);
  }
  return out;
}

// Incident CONFIG: requests on added routes, which name no aim (1,000 ms), were refused five times in six
// while those beside them with 300 ms were served.
TEST_CASE("a rare kind of request with a long aim has its share of a full server") {
  const double load = GENERATE(1.0, 1.1, 1.5, 2.5);  // of what 18 slots serve: 180 a second
  const Micros aim = GENERATE(400, 1000, 5000) * kMillisecond;
  const int priority = GENERATE(0, 2, 9);
  INFO("load " << load << ", aim " << aim << ", priority " << priority);
  const auto out = Play({{180 * load, 300 * kMillisecond, 1}, {3, aim, priority}}, 18, 60, 1);
  CHECK(out[1].Share() > 0.9);
}

TEST_CASE(
    "a rare kind of request has its share of a server with few slots, whose runs take longer than it may "
    "wait") {
  const int slots = GENERATE(1, 2, 4);
  const double load = GENERATE(1.1, 1.5, 2.5);
  const Micros aim = GENERATE(300, 1000) * kMillisecond;
  const unsigned seed = GENERATE(range(1u, 6u));
  INFO("slots " << slots << ", load " << load << ", aim " << aim << ", seed " << seed);
  const auto out = Play({{10 * load * slots, 300 * kMillisecond, 1}, {0.5, aim, 4}}, slots, 600, seed);
  // It may have to be turned away a few times before it waits for longer.
  CHECK(out[1].Share() > 0.4);
  for (const Outcome& outcome : out) CHECK(outcome.starved_spans == 0);
}

TEST_CASE("each of several kinds has a least share of a full server, however much the others ask for") {
  const unsigned seed = GENERATE(range(1u, 101u));
  INFO("seed " << seed);
  std::mt19937 random(seed);
  std::vector<Kind> kinds(2 + random() % 5);
  double demand = 0;
  for (Kind& kind : kinds) {
    kind.per_second = 5 + static_cast<double>(random() % 200);
    kind.aim = static_cast<Micros>(50 << random() % 7) * kMillisecond;
    kind.priority = static_cast<int>(random() % 4);
    demand += kind.per_second;
  }
  const auto out = Play(kinds, 18, 30, seed);
  // A tenth of an even share of 180 a second, or all that it asks for.
  const double least = 0.1 * 180 / static_cast<double>(kinds.size());
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    INFO("kind " << i << ": aim " << kinds[i].aim << ", priority " << kinds[i].priority << ", "
                 << kinds[i].per_second << " a second of " << demand);
    CHECK(out[i].passed / 30.0 >= 0.8 * std::min(least, kinds[i].per_second));
    CHECK(out[i].starved_spans == 0);
  }
}

}  // namespace
}  // namespace fennelhollow::ingress
