#include <catch2/catch.hpp>

#include "mesh/node/shutdown_schedule.hpp"

namespace fennelhollow::node {
namespace {

using merlinrun::Micros;
constexpr Micros kSecond = 1'000'000;
constexpr Micros kRequestedAt = 100 * kSecond;

TEST_CASE("the points in time of a shutdown are in order and end within any grace period") {
  const Micros grace_period = GENERATE(0, 1, 3, 6, 30) * kSecond;
  INFO(grace_period);
  const ShutdownSchedule schedule(kRequestedAt, grace_period);
  CHECK(schedule.leave_at >= kRequestedAt);
  CHECK(schedule.clients_moved_at >= schedule.leave_at);
  CHECK(schedule.earliest_exit_at >= schedule.clients_moved_at);
  CHECK(schedule.finish_at >= schedule.clients_moved_at);
  CHECK(schedule.latest_exit_at >= schedule.finish_at);
  CHECK(schedule.latest_exit_at >= schedule.earliest_exit_at);
  CHECK(schedule.latest_exit_at <= kRequestedAt + grace_period);
}

TEST_CASE(
    "late requests are refused before half of the grace period, those in flight are given up in its last "
    "sixth") {
  const ShutdownSchedule schedule(kRequestedAt, 6 * kSecond);
  CHECK(schedule.clients_moved_at <= kRequestedAt + 5 * kSecond / 2);
  CHECK(schedule.finish_at >= kRequestedAt + 5 * kSecond);
}

}  // namespace
}  // namespace fennelhollow::node
