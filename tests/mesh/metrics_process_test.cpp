#include <sys/resource.h>

#include <catch2/catch.hpp>
#include <cstdio>

#include "mesh/metrics/process_metrics.hpp"

namespace fennelhollow::metrics {
namespace {

TEST_CASE("the usage of a process follows what it opens and the limits it is given") {
  const ProcessUsage before = ReadProcessUsage();
  CHECK(before.resident_bytes > 0);
  CHECK(before.address_space_bytes >= before.resident_bytes);
  std::FILE* file = std::tmpfile();
  REQUIRE(file != nullptr);
  CHECK(ReadProcessUsage().descriptors == before.descriptors + 1);
  std::fclose(file);
  rlimit limit{};
  REQUIRE(::getrlimit(RLIMIT_FSIZE, &limit) == 0);
  constexpr rlim_t kLimit = 12'345'678;
  limit.rlim_cur = kLimit;
  REQUIRE(::setrlimit(RLIMIT_FSIZE, &limit) == 0);
  CHECK(ReadProcessUsage().file_size_limit == kLimit);
}

}  // namespace
}  // namespace fennelhollow::metrics
