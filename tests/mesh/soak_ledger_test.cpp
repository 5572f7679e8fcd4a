// The consistency checker of the soak test detects each kind of violation.
#include <catch2/catch.hpp>

#include "rig/soak/consistency_checker.hpp"
#include "rig/soak/response_checker.hpp"

namespace fennelhollow::rig::soak {
namespace {

struct TwoVersions {
  TwoVersions() {
    checker.OnSent(3, 0, {});
    checker.OnAcknowledged(3);
    checker.OnSent(10, 3, {"added-10"});
    checker.OnAcknowledged(10);
  }
  Clock::time_point now = Clock::now();
  ConsistencyChecker checker;
};

TEST_CASE("a stale read is a violation only after the apply timeout") {
  TwoVersions run;
  run.checker.OnRead("core-1", run.now + kApplyTimeout / 2, 3, {});
  CHECK(run.checker.violations().empty());
  run.checker.OnRead("core-1", run.now + 2 * kApplyTimeout, 3, {});
  CHECK(run.checker.violations().size() == 1);
}

TEST_CASE("a read of a configuration that was never sent is a violation") {
  TwoVersions run;
  run.checker.OnRead("core-1", run.now, 10, {"added-10"});
  CHECK(run.checker.violations().empty());
  run.checker.OnRead("core-1", run.now, 10, {"added-11"});
  CHECK(run.checker.violations().size() == 1);
  run.checker.OnRead("core-1", run.now, 11, {"added-10"});
  CHECK(run.checker.violations().size() == 2);
}

TEST_CASE("two changes acknowledged on the same base are a violation, one acknowledged twice is not") {
  TwoVersions run;
  run.checker.OnAcknowledged(10);
  CHECK(run.checker.violations().empty());
  run.checker.OnSent(11, 3, {"added-11"});
  run.checker.OnAcknowledged(11);
  CHECK(run.checker.violations().size() == 1);
}

TEST_CASE("refusing an acknowledged change on a repeat is a violation, silence is not") {
  TwoVersions run;
  for (const unsigned status : {200U, 0U, 503U, 307U, 408U, 429U}) run.checker.OnResent(10, status);
  CHECK(run.checker.violations().empty());
  run.checker.OnResent(10, 412);
  CHECK(run.checker.violations().size() == 1);
}

TEST_CASE("an unsafe request that runs twice or after a refusal is a violation") {
  TwoVersions run;
  for (const char* id : {"once", "twice", "refused", "refused and ran", "unknown"})
    run.checker.OnUnsafeSent(id);
  run.checker.OnUnsafeRefused("refused");
  run.checker.OnUnsafeRefused("refused and ran");
  run.checker.CheckExecutions({{"once", 1}, {"twice", 2}, {"refused and ran", 1}, {"a safe one", 3}});
  CHECK(run.checker.violations().size() == 2);
}

struct Responses {
  // A request on a process that got SIGTERM at `start`, sent and ended at these times after it.
  Exchange After(milliseconds sent, milliseconds ended, unsigned status, bool from_server = false) const {
    return {"id", "sidecar-1", start + sent, start + ended, milliseconds(10'000), status, from_server, start};
  }
  std::size_t ViolationsOf(const Exchange& exchange) {
    responses.OnEnded(exchange);
    responses.CheckUnanswered();
    return checker.violations().size();
  }
  Clock::time_point start = Clock::now();
  ConsistencyChecker checker;
  ExecutionCounts runs;
  ResponseChecker responses{checker, runs, milliseconds(6000)};
};

TEST_CASE("giving up a request is excused only late in the grace period, if it was sent early in it") {
  using std::chrono::seconds;
  CHECK(Responses().ViolationsOf(Responses().After(seconds(2), seconds(5), 504)) == 0);
  CHECK(Responses().ViolationsOf(Responses().After(milliseconds(3050), milliseconds(5300), 504)) == 1);
  CHECK(Responses().ViolationsOf(Responses().After(seconds(2), seconds(4), 504)) == 1);
  CHECK(Responses().ViolationsOf(Responses().After(seconds(2), seconds(4), 504, true)) == 0);
}

TEST_CASE("a response of the sidecar's own at the request's deadline is no violation") {
  Responses test;
  auto exchange = test.After(milliseconds(0), milliseconds(9960), 504);
  exchange.terminated_at.reset();
  CHECK(test.ViolationsOf(exchange) == 0);
  exchange.ended -= milliseconds(1000);
  CHECK(test.ViolationsOf(exchange) == 1);
}

TEST_CASE("a closed connection or a refusal is a violation only if the request has run") {
  const unsigned status = GENERATE(0U, 503U);
  Responses test;
  const auto exchange = test.After(milliseconds(3500), milliseconds(4000), status);
  CHECK(test.ViolationsOf(exchange) == 0);
  test.runs["id"] = 1;
  CHECK(test.ViolationsOf(exchange) == 1);
}

TEST_CASE("a missing response is a violation at the deadline") {
  Responses test;
  CHECK(test.ViolationsOf(test.After(milliseconds(0), milliseconds(10'500), 0)) == 1);
}

}  // namespace
}  // namespace fennelhollow::rig::soak
