// A worker thread next to the event loop, for blocking (disk I/O) or long work (validation of large JSON).
#ifndef FENNELHOLLOW_MESH_NODE_WORKER_HPP_
#define FENNELHOLLOW_MESH_NODE_WORKER_HPP_

#include <absl/status/status.h>

#include <cstddef>
#include <functional>
#include <memory>

#include "net/protocol.hpp"

namespace fennelhollow::node {

// Call its functions on the loop's thread. The worker thread never calls Asio, which is built without
// locking; it wakes the loop through a pipe.
class Worker {
 public:
  // Called on the loop with the result of a job: kResourceExhausted if it ran out of memory, kInternal if it
  // threw something else.
  using Done = std::function<void(const absl::Status&)>;

  // `name`: of its thread, 15 characters at most. Throws boost::system::system_error or std::system_error if
  // no pipe or thread can be created.
  Worker(merlinrun::net::asio::io_context& io, const char* name, std::size_t max_pending = 64);
  // Waits for the job in progress; queued jobs are dropped, and no `done` is called afterwards.
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  // Runs `work` on the worker thread, in FIFO order, then `done` on the loop. Returns false, and runs
  // neither, if `max_pending` jobs are pending.
  bool Run(std::function<void()> work, Done done);
  std::size_t pending() const;  // jobs whose `done` has not run

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace fennelhollow::node

#endif  // FENNELHOLLOW_MESH_NODE_WORKER_HPP_
