// Diameter's requests and answers as the core holds them.
#ifndef MERLINRUN_DIAMETER_IO_MESSAGES_HPP_
#define MERLINRUN_DIAMETER_IO_MESSAGES_HPP_

#include <string>
#include <utility>

#include "core/request_manager.hpp"
#include "diameter/application.hpp"
#include "diameter/codec.hpp"
#include "net/memory_budget.hpp"

namespace merlinrun::diameter {

// Diameter's number among the fronts (ServerInfo::fronts); HTTP's is 0.
inline constexpr int kDiameterProtocol = 1;

struct RequestMessage : core::Message {
  diameter::Message message;
  std::string from;  // the peer that it came from
  AvpId deadline;    // the AVP to be told how much time is left
  net::MemoryReservation charge;
};

struct AnswerMessage : core::Message {
  explicit AnswerMessage(diameter::Message answer) : message(std::move(answer)) {}
  diameter::Message message;
};

}  // namespace merlinrun::diameter

#endif  // MERLINRUN_DIAMETER_IO_MESSAGES_HPP_
