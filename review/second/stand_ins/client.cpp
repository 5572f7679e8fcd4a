#include "stand_ins/client.hpp"

#include <cstdlib>

namespace review {
namespace {

using fennelhollow::rig::MakeRequest;
using fennelhollow::rig::Sleep;

// A connection is taken up again while it has rested for less than four fifths of idleTimeoutMs.
constexpr milliseconds kMaxRest{11'000};
// Retry-After is heeded up to this fraction of the remaining time.
constexpr int kRetryAfterDivisor = 3;

bool IsPromise(int status) { return status == 503 || status == 429 || status == 408 || status == 421; }

bool MayTryAgain(const Call& call, int status) {
  return IsPromise(status) || (!call.unsafe && (status == 0 || status >= 500));
}

}  // namespace

std::string NewAttemptId() {
  static std::uint64_t last = 0x5ec0'0000'0000;
  char text[20];
  std::snprintf(text, sizeof text, "%016lx", ++last);
  return text;
}

asio::awaitable<Try> Client::SendOnce(const Call& call, milliseconds left, bool fresh,
                                      milliseconds& retry_after) {
  Try out;
  out.id = NewAttemptId();
  out.sent = Clock::now();
  Request request = MakeRequest(call.unsafe ? http::verb::post : http::verb::get, call.path, call.host,
                                call.unsafe ? "{\"order\":1}" : "");
  request.set("Attempt-Id", out.id);
  request.set("Deadline-Remaining", std::to_string(left.count()));
  if (!call.key.empty()) request.set(http::field::authorization, "Token " + call.key);
  std::shared_ptr<Connection> connection;
  if (fresh) {
    connection = std::make_shared<Connection>(io_, sidecar_);
  } else if (!idle_.empty() && Clock::now() - idle_.back().since < kMaxRest) {
    connection = idle_.back().connection;
    idle_.pop_back();
  } else {
    idle_.clear();  // the others have rested for longer
    connection = std::make_shared<Connection>(io_, sidecar_);
  }
  const auto response = co_await connection->Call(std::move(request), left);
  if (!response) co_return out;
  if (!fresh) idle_.push_back({connection, Clock::now()});
  out.status = static_cast<int>(response->result_int());
  out.seal = std::string((*response)["Server-Seal"]);
  out.body = response->body();
  const std::string seconds((*response)[http::field::retry_after]);
  retry_after = milliseconds(static_cast<std::int64_t>(1000 * std::atof(seconds.c_str())));
  co_return out;
}

asio::awaitable<Try> Client::Send(Call call, std::function<void(const Try&)> on_try) {
  const auto until = Clock::now() + call.deadline;
  for (int further = 0;; ++further) {
    const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now());
    milliseconds retry_after{0};
    Try ended = co_await SendOnce(call, left, further > 0, retry_after);
    on_try(ended);
    const auto rest = std::chrono::duration_cast<milliseconds>(until - Clock::now());
    const milliseconds wait = std::min(retry_after, rest / kRetryAfterDivisor);
    if (!MayTryAgain(call, ended.status) || further >= call.further_tries || rest <= wait + milliseconds(10))
      co_return ended;
    co_await Sleep(io_, wait);
  }
}

}  // namespace review
