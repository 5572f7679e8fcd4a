// The consistency checker of the soak test detects each kind of violation.
#include <catch2/catch.hpp>

#include "rig/soak/consistency_checker.hpp"

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

}  // namespace
}  // namespace fennelhollow::rig::soak
