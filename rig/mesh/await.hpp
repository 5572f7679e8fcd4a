// Runs a coroutine to its end from code that is none.
#ifndef FENNELHOLLOW_RIG_MESH_AWAIT_HPP_
#define FENNELHOLLOW_RIG_MESH_AWAIT_HPP_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <optional>
#include <utility>

namespace fennelhollow::rig {

// Runs `io` until `task` has ended. Returns its result or throws its exception.
template <class T>
T Await(boost::asio::io_context& io, boost::asio::awaitable<T> task) {
  std::optional<T> result;
  std::exception_ptr failure;
  boost::asio::co_spawn(io, std::move(task), [&](std::exception_ptr error, T value) {
    failure = error;
    result = std::move(value);
  });
  io.restart();
  while (!result) io.run_one();
  if (failure) std::rethrow_exception(failure);
  return *std::move(result);
}

}  // namespace fennelhollow::rig

#endif  // FENNELHOLLOW_RIG_MESH_AWAIT_HPP_
