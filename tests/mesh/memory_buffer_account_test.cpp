#include <catch2/catch.hpp>
#include <utility>

#include "mesh/memory/buffer_account.hpp"

namespace fennelhollow::memory {
namespace {

using Pool = BufferAccount::Pool;
constexpr std::size_t kSmall = kSmallChargeBytes;
constexpr std::size_t kLarge = 10 * kSmallChargeBytes;

// Guards against ordinary requests that find no memory beside connections that buffer much.
TEST_CASE("large charges leave the small pool alone") {
  BufferAccount account({.small = 2 * kSmall, .large = 2 * kLarge});
  BufferCharge first, second, third, small;
  REQUIRE(first.Set(account, kLarge));
  REQUIRE(second.Set(account, kLarge));
  CHECK_FALSE(third.Set(account, kLarge));
  CHECK(third.bytes() == 0);
  CHECK(small.Set(account, kSmall));
  CHECK(account.charged(Pool::kSmall) == kSmall);
  CHECK(account.charged(Pool::kLarge) == 2 * kLarge);
  CHECK(account.IsWithinLimits());
}

TEST_CASE("a charge grows, shrinks, moves between the pools and is released") {
  BufferAccount account({.small = kSmall, .large = kLarge});
  {
    BufferCharge charge;
    REQUIRE(charge.Set(account, 100));
    REQUIRE(charge.Set(account, kLarge));
    CHECK(account.charged(Pool::kSmall) == 0);
    CHECK_FALSE(charge.Set(account, kLarge + 1));
    CHECK(charge.bytes() == kLarge);  // unchanged
    REQUIRE(charge.Set(account, kSmall + 1));
    CHECK(account.charged(Pool::kLarge) == kSmall + 1);
    REQUIRE(charge.Set(account, kSmall));
    CHECK(account.charged(Pool::kLarge) == 0);
    BufferCharge moved = std::move(charge);
    CHECK(moved.bytes() == kSmall);
    CHECK(charge.bytes() == 0);
    CHECK(account.charged(Pool::kSmall) == kSmall);
    REQUIRE(moved.Set(account, 0));
    CHECK(account.charged(Pool::kSmall) == 0);
    REQUIRE(moved.Set(account, 1));
  }
  CHECK(account.charged(Pool::kSmall) == 0);
}

TEST_CASE("the pools of a process leave room for the rest of its memory") {
  constexpr std::size_t kMemory = std::size_t{256} << 20;
  const BufferAccount::Limits limits = BufferAccount::LimitsFor(kMemory);
  CHECK(limits.small > 0);
  CHECK(limits.small + limits.large < kMemory * 2 / 3);
}

}  // namespace
}  // namespace fennelhollow::memory
