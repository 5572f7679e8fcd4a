#include "mesh/memory/buffer_account.hpp"

#include <utility>

namespace fennelhollow::memory {
namespace {

// Shares of the process's memory, as divisors.
constexpr std::size_t kSmallDivisor = 16, kLargeDivisor = 2;

}  // namespace

BufferAccount::Limits BufferAccount::LimitsFor(std::size_t memory_bytes) {
  return {memory_bytes / kSmallDivisor, memory_bytes / kLargeDivisor};
}

bool BufferCharge::Set(BufferAccount& account, std::size_t bytes) {
  if (bytes == bytes_) return true;
  if (bytes == 0) {
    Release();
    return true;
  }
  const BufferAccount::Pool pool = BufferAccount::PoolFor(bytes);
  merlinrun::net::MemoryBudget& budget =
      pool == BufferAccount::Pool::kSmall ? account.small_ : account.large_;
  const bool same_pool = bytes_ > 0 && pool == BufferAccount::PoolFor(bytes_);
  if (same_pool && bytes > bytes_) {
    if (!reservation_.Grow(budget, bytes)) return false;
  } else if (same_pool) {
    reservation_.Reserve(budget, bytes);
  } else {
    merlinrun::net::MemoryReservation moved;
    if (!moved.Reserve(budget, bytes)) return false;
    reservation_ = std::move(moved);
  }
  bytes_ = bytes;
  return true;
}

void BufferCharge::Release() {
  reservation_ = {};
  bytes_ = 0;
}

}  // namespace fennelhollow::memory
