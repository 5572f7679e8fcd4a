// Diameter requests and answers as core messages.
#ifndef MERLINRUN_DIAMETER_IO_MESSAGES_HPP_
#define MERLINRUN_DIAMETER_IO_MESSAGES_HPP_

#include <string>
#include <utility>

#include "core/request_manager.hpp"
#include "diameter/application.hpp"
#include "diameter/codec.hpp"
#include "net/memory_budget.hpp"

namespace merlinrun::diameter {

// Protocol number of Diameter (ServerInfo::protocols); HTTP's is 0.
inline constexpr int kDiameterProtocol = 1;

struct RequestMessage : core::Message {
  diameter::Message message;
  std::string from;  // peer that sent it
  AvpId deadline;    // the AVP that carries the remaining time
  net::MemoryReservation charge;
};

struct AnswerMessage : core::Message {
  explicit AnswerMessage(diameter::Message answer) : message(std::move(answer)) {}
  diameter::Message message;
};

}  // namespace merlinrun::diameter

#endif  // MERLINRUN_DIAMETER_IO_MESSAGES_HPP_
