#include "mesh/node/node.hpp"

#include <boost/system/system_error.hpp>
#include <new>
#include <system_error>

#include "net/listen.hpp"

namespace fennelhollow::node {
namespace {

bool IsTransient(const std::exception& error) {
  if (const auto* from_asio = dynamic_cast<const boost::system::system_error*>(&error))
    return merlinrun::net::IsTransient(from_asio->code());
  if (const auto* from_system = dynamic_cast<const std::system_error*>(&error))
    return merlinrun::net::IsTransient(from_system->code());
  return dynamic_cast<const std::bad_alloc*>(&error) != nullptr;
}

}  // namespace

absl::Status StartFailure(const std::exception& error) {
  return IsTransient(error) ? absl::UnavailableError(error.what())
                            : absl::FailedPreconditionError(error.what());
}

}  // namespace fennelhollow::node
