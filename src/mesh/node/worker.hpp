// A thread beside the loop, for what blocks (the disk) or takes long (checks of large JSON).
#ifndef FENNELHOLLOW_MESH_NODE_WORKER_HPP_
#define FENNELHOLLOW_MESH_NODE_WORKER_HPP_

#include <cstddef>
#include <functional>
#include <memory>

#include "net/protocol.hpp"

namespace fennelhollow::node {

// Its functions are for the loop's thread. The thread never calls Asio, which is built without locks: it
// wakes the loop through a pipe.
class Worker {
 public:
  // Throws boost::system::system_error or std::system_error if there is no pipe or thread to be had.
  explicit Worker(merlinrun::net::asio::io_context& io, std::size_t most = 64);
  // Waits for the work under way; what is queued behind it is dropped, and no `done` is called any more.
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  // Calls `work` on the thread, in the order of the calls, then `done` in a turn of the loop. `work` may not
  // throw. False, and neither is called: `most` are on their way already.
  bool Run(std::function<void()> work, std::function<void()> done);
  std::size_t pending() const;  // not done yet

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace fennelhollow::node

#endif  // FENNELHOLLOW_MESH_NODE_WORKER_HPP_
