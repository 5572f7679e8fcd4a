// The judge of the soak sees what it is there for.
#include <catch2/catch.hpp>

#include "rig/soak/ledger.hpp"

namespace fennelhollow::rig::soak {
namespace {

struct TwoVersions {
  TwoVersions() {
    ledger.OnSent(3, 0, {});
    ledger.OnAcknowledged(3);
    ledger.OnSent(10, 3, {"added-10"});
    ledger.OnAcknowledged(10);
  }
  Clock::time_point now = Clock::now();
  Ledger ledger;
};

TEST_CASE("a read of an older version is a fault once the newer one is due, and not before") {
  TwoVersions run;
  run.ledger.OnRead("core-1", run.now + kApply / 2, 3, {});
  CHECK(run.ledger.faults().empty());
  run.ledger.OnRead("core-1", run.now + 2 * kApply, 3, {});
  CHECK(run.ledger.faults().size() == 1);
}

TEST_CASE("a read of what was not sent under its version is a fault") {
  TwoVersions run;
  run.ledger.OnRead("core-1", run.now, 10, {"added-10"});
  CHECK(run.ledger.faults().empty());
  run.ledger.OnRead("core-1", run.now, 10, {"added-11"});
  CHECK(run.ledger.faults().size() == 1);
  run.ledger.OnRead("core-1", run.now, 11, {"added-10"});
  CHECK(run.ledger.faults().size() == 2);
}

TEST_CASE("two changes acknowledged on top of the same version are a fault, one acknowledged twice is none") {
  TwoVersions run;
  run.ledger.OnAcknowledged(10);
  CHECK(run.ledger.faults().empty());
  run.ledger.OnSent(11, 3, {"added-11"});
  run.ledger.OnAcknowledged(11);
  CHECK(run.ledger.faults().size() == 1);
}

TEST_CASE("an acknowledged change that is refused when it is sent again is a fault, silence is none") {
  TwoVersions run;
  for (const unsigned status : {200U, 0U, 503U, 307U, 408U, 429U}) run.ledger.OnRepeated(10, status);
  CHECK(run.ledger.faults().empty());
  run.ledger.OnRepeated(10, 412);
  CHECK(run.ledger.faults().size() == 1);
}

TEST_CASE("an unsafe request that runs twice, or runs though it was refused, is a fault") {
  TwoVersions run;
  for (const char* id : {"once", "twice", "refused", "refused and ran", "unknown"})
    run.ledger.OnUnsafeSent(id);
  run.ledger.OnUnsafeRefused("refused");
  run.ledger.OnUnsafeRefused("refused and ran");
  run.ledger.CheckRuns({{"once", 1}, {"twice", 2}, {"refused and ran", 1}, {"a safe one", 3}});
  CHECK(run.ledger.faults().size() == 2);
}

}  // namespace
}  // namespace fennelhollow::rig::soak
