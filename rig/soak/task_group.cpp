#include "rig/soak/task_group.hpp"

#include <boost/asio/co_spawn.hpp>
#include <exception>
#include <utility>

#include "rig/mesh/http.hpp"

namespace fennelhollow::rig::soak {
namespace {

constexpr milliseconds kPollInterval{5};

std::string TextOf(const std::exception_ptr& error) {
  try {
    std::rethrow_exception(error);
  } catch (const std::exception& exception) {
    return exception.what();
  } catch (...) {
    return "unknown";
  }
}

}  // namespace

void TaskGroup::Spawn(const std::string& name, asio::awaitable<void> task) {
  ++running_;
  asio::co_spawn(io_, std::move(task), [this, name](const std::exception_ptr& error) {
    --running_;
    if (error) checker_.ReportViolation(name + " ended with an exception: " + TextOf(error));
  });
}

asio::awaitable<void> TaskGroup::Wait() {
  while (running_ > 0) co_await Sleep(io_, kPollInterval);
}

}  // namespace fennelhollow::rig::soak
