#include "rig/soak/response_checker.hpp"

#include <utility>

namespace fennelhollow::rig::soak {
namespace {

// A request that is sent later than this after SIGTERM must not be given up, however long its server takes.
constexpr milliseconds kLastExcusedSend{3000};
// Others may be given up in the last part of the grace period: its sixth.
constexpr int kExcusedPart = 6;
// A response of the sidecar's own is due this long before the deadline, so that it arrives in time.
constexpr milliseconds kDeadlineMargin{250};

std::int64_t Milliseconds(Clock::duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

}  // namespace

bool ResponseChecker::Ran(const std::string& id) const {
  const auto found = runs_.find(id);
  return found != runs_.end() && found->second > 0;
}

bool ResponseChecker::IsExcused(const Exchange& exchange) const {
  if (exchange.ended >= exchange.sent + exchange.deadline - kDeadlineMargin) return true;
  if (!exchange.terminated_at) return false;
  return exchange.sent <= *exchange.terminated_at + kLastExcusedSend &&
         exchange.ended >= *exchange.terminated_at + grace_period_ - grace_period_ / kExcusedPart;
}

void ResponseChecker::Report(const Exchange& exchange, const std::string& what) {
  std::string after_signal = "not signalled";
  if (exchange.terminated_at)
    after_signal =
        "sent " + std::to_string(Milliseconds(exchange.sent - *exchange.terminated_at)) + " ms after SIGTERM";
  checker_.ReportViolation(exchange.sidecar + ", request " + exchange.id + " (" + after_signal + ", ended " +
                           std::to_string(Milliseconds(exchange.ended - exchange.sent)) +
                           " ms later): " + what);
}

void ResponseChecker::OnEnded(const Exchange& exchange) {
  ++checked_;
  if (exchange.status == 0) return unanswered_.push_back(exchange);
  if (exchange.from_server || exchange.status < 500 || IsExcused(exchange)) return;
  if (exchange.status != 503)
    return Report(exchange, "given up with " + std::to_string(exchange.status) + " before its deadline");
  if (exchange.terminated_at && Ran(exchange.id)) Report(exchange, "refused although a server has run it");
}

void ResponseChecker::CheckUnanswered() {
  for (const Exchange& exchange : std::exchange(unanswered_, {})) {
    if (exchange.ended >= exchange.sent + exchange.deadline)
      Report(exchange, "no response at its deadline");
    else if (Ran(exchange.id) && !IsExcused(exchange))
      Report(exchange, "it has run, and the connection ended without a response");
  }
}

}  // namespace fennelhollow::rig::soak
