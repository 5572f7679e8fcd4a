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

bool BufferAccount::ChargeOrReclaim(BufferCharge& charge, std::size_t bytes) {
  while (!charge.Set(*this, bytes)) {
    if (!Reclaim(PoolFor(bytes), &charge)) return false;
  }
  return true;
}

bool BufferAccount::Reclaim(Pool pool, const BufferCharge* except) {
  Holder* highest_ranked = nullptr;
  Duration highest_rank{0};
  for (Holder* holder : holders_) {
    const std::optional<Duration> rank = holder->HighestRank(pool, except);
    if (!rank || (highest_ranked != nullptr && *rank <= highest_rank)) continue;
    highest_ranked = holder;
    highest_rank = *rank;
  }
  if (highest_ranked == nullptr) return false;
  highest_ranked->EndHighestRanked(pool, except);
  return true;
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
