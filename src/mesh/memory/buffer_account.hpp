// Accounts for the memory of all buffers that peers of this process can fill. Performs no I/O; not
// thread-safe.
#ifndef FENNELHOLLOW_MESH_MEMORY_BUFFER_ACCOUNT_HPP_
#define FENNELHOLLOW_MESH_MEMORY_BUFFER_ACCOUNT_HPP_

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "mesh/memory/peer_activity.hpp"
#include "net/memory_budget.hpp"

namespace fennelhollow::memory {

// A connection with at most this many buffered bytes is charged to the small pool, which holds what ordinary
// requests and responses take; others are charged to the large pool. However many connections fill the large
// pool, the small one is left to the others.
inline constexpr std::size_t kSmallChargeBytes = std::size_t{16} * 1024;

// What a header field takes besides its text.
inline constexpr std::size_t kFieldOverheadBytes = 64;

class BufferCharge;

// Must outlive its charges and its holders.
class BufferAccount {
 public:
  enum class Pool { kSmall, kLarge };
  // Has charges, and can end the connection behind one of them.
  class Holder {
   public:
    virtual ~Holder() = default;
    // The highest rank for memory (see RankForMemory) among its connections that are charged to `pool`,
    // without the one whose charge is `except`; nullopt: none of them gives way.
    virtual std::optional<Duration> HighestRank(Pool pool, const BufferCharge* except) const = 0;
    // Ends that connection, which returns its charge at once.
    virtual void EndHighestRanked(Pool pool, const BufferCharge* except) = 0;
  };
  struct Limits {  // in bytes
    std::size_t small = 0, large = 0;
  };
  // The shares of a process that may take `memory_bytes`: what is left is for everything else, such as the
  // tables, the allocator's overhead, and bytes on their way through a link.
  static Limits LimitsFor(std::size_t memory_bytes);

  explicit BufferAccount(const Limits& limits)
      : small_(limits.small), large_(limits.large), limits_(limits) {}

  static Pool PoolFor(std::size_t bytes) { return bytes <= kSmallChargeBytes ? Pool::kSmall : Pool::kLarge; }
  std::size_t charged(Pool pool) const {
    return pool == Pool::kSmall ? small_.reserved() : large_.reserved();
  }
  const Limits& limits() const { return limits_; }
  // Changes the charge to `bytes`. While the pool is exhausted, the connection that has waited longest for
  // its peer, of all holders, is ended in its favor. False, and unchanged, if none gives way.
  bool ChargeOrReclaim(BufferCharge& charge, std::size_t bytes);
  void AddHolder(Holder& holder) { holders_.push_back(&holder); }
  void RemoveHolder(Holder& holder) { std::erase(holders_, &holder); }

  bool IsWithinLimits() const {
    return small_.reserved() <= limits_.small && large_.reserved() <= limits_.large;
  }

 private:
  friend class BufferCharge;
  // False if none gives way.
  bool Reclaim(Pool pool, const BufferCharge* except);

  merlinrun::net::MemoryBudget small_, large_;
  const Limits limits_;
  std::vector<Holder*> holders_;
};

// What one connection or attempt is charged; released on destruction.
class BufferCharge {
 public:
  BufferCharge() = default;
  BufferCharge(BufferCharge&& other) noexcept
      : reservation_(std::move(other.reservation_)), bytes_(std::exchange(other.bytes_, 0)) {}
  BufferCharge& operator=(BufferCharge&& other) noexcept {
    reservation_ = std::move(other.reservation_);
    bytes_ = std::exchange(other.bytes_, 0);
    return *this;
  }
  // Changes the charge to `bytes`. False, and unchanged, if the pool of that size is exhausted; a smaller
  // charge never fails, unless it moves to the small pool.
  bool Set(BufferAccount& account, std::size_t bytes);
  void Release();
  std::size_t bytes() const { return bytes_; }
  BufferAccount::Pool pool() const { return BufferAccount::PoolFor(bytes_); }

 private:
  merlinrun::net::MemoryReservation reservation_;
  std::size_t bytes_ = 0;
};

}  // namespace fennelhollow::memory

#endif  // FENNELHOLLOW_MESH_MEMORY_BUFFER_ACCOUNT_HPP_
