#include <prometheus/text_serializer.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <string>

#include "mesh/metrics/invariants.hpp"

namespace fennelhollow::metrics {
namespace {

TEST_CASE("a violation is counted under its name, and described only for the first of its kind") {
  prometheus::Registry registry;
  Invariants invariants(registry, Invariants::OnViolation::kCount);
  int described = 0;
  const auto describe = [&] { return "the " + std::to_string(++described) + ". time"; };
  invariants.Check(Invariant::kAdmissionMinimumShare, true, describe);
  CHECK(described == 0);
  for (int i = 0; i < 3; ++i) invariants.Check(Invariant::kAdmissionMinimumShare, false, describe);
  CHECK(described == 1);
  invariants.Check(Invariant::kConfigurationMonotonic, false, describe);
  CHECK(described == 2);
  CHECK(invariants.violations(Invariant::kAdmissionMinimumShare) == 3);
  CHECK(invariants.violations(Invariant::kCommittedEntryMonotonic) == 0);
  const std::string text = prometheus::TextSerializer().Serialize(registry.Collect());
  INFO(text);
  CHECK(text.find("fennelhollow_invariant_violations_total{invariant=\"admission_least_share\"} 3") !=
        std::string::npos);
  CHECK(text.find("{invariant=\"committed_entry_monotonic\"} 0") != std::string::npos);
}

TEST_CASE("with kAbort a violation aborts the process") {
  for (const bool holds : {true, false}) {
    const pid_t child = ::fork();
    REQUIRE(child >= 0);
    if (child == 0) {
      std::signal(SIGABRT, SIG_DFL);  // instead of the test runner's handler
      prometheus::Registry registry;
      Invariants(registry, Invariants::OnViolation::kAbort)
          .Check(Invariant::kConfigurationMonotonic, holds, [] { return std::string("version 3 after 5"); });
      ::_exit(0);
    }
    int status = 0;
    REQUIRE(::waitpid(child, &status, 0) == child);
    CHECK(WIFEXITED(status) == holds);
    CHECK((WIFSIGNALED(status) && WTERMSIG(status) == SIGABRT) == !holds);
  }
}

}  // namespace
}  // namespace fennelhollow::metrics
