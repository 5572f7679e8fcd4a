#include "rig/soak/clients.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

namespace fennelhollow::rig::soak {
namespace {

// Clients of a sidecar, fewer if many sidecars would make this process the bottleneck.
constexpr std::size_t kMaxClientsPerSidecar = 8, kMaxClients = 96;
constexpr std::size_t kMinClientsPerSidecar = 2;
constexpr milliseconds kPause{10}, kPauseAfterFailure{50};
constexpr milliseconds kShortDeadline{2000}, kLongDeadline{10'000};
constexpr double kLongDeadlineShare = 0.5;               // of all requests
constexpr milliseconds kResponseSlack{500};              // for a response to arrive after its deadline
constexpr double kOrderShare = 0.3, kAddedShare = 0.05;  // of all requests

}  // namespace

Clients::Clients(asio::io_context& io, Cluster& cluster, const Operators& operators,
                 ConsistencyChecker& checker, ResponseChecker& responses, std::uint64_t seed)
    : io_(io),
      cluster_(cluster),
      operators_(operators),
      checker_(checker),
      random_(seed),
      responses_(responses) {}

void Clients::Start() {
  const std::size_t clients =
      std::clamp(kMaxClients / cluster_.sidecars(), kMinClientsPerSidecar, kMaxClientsPerSidecar);
  for (std::size_t i = 0; i < cluster_.sidecars(); ++i)
    for (std::size_t j = 0; j < clients; ++j) asio::co_spawn(io_, RunClient(i), asio::detached);
}

void Clients::Measure() {
  measured_ = {};
  measurement_ = ++measurements_;
}

void Clients::SetChecked(bool checked) { checked_period_ = checked ? ++checked_periods_ : 0; }

Clients::Measured Clients::EndMeasure() {
  measurement_ = 0;
  return measured_;
}

Clients::Kind Clients::Draw() {
  const double drawn = std::uniform_real_distribution<double>()(random_);
  if (drawn < kOrderShare) return Kind::kOrder;
  return drawn < kOrderShare + kAddedShare ? Kind::kAdded : Kind::kPlan;
}

asio::awaitable<void> Clients::RunClient(std::size_t sidecar) {
  ++running_;
  HttpConnection connection(io_, cluster_.sidecar(sidecar).outbound());
  while (!stopped_) {
    const bool answered = co_await SendRequest(connection, sidecar);
    co_await Sleep(io_, answered ? kPause : kPauseAfterFailure);
  }
  --running_;
}

asio::awaitable<std::optional<Response>> Clients::Call(HttpConnection& connection, std::size_t sidecar,
                                                       Exchange exchange, Request request) {
  const std::size_t machine = cluster_.cores() + sidecar;
  const int life = cluster_.life(machine);
  const std::uint64_t checked_period = checked_period_;
  exchange.sent = Clock::now();
  auto response = co_await connection.Call(std::move(request), exchange.deadline + kResponseSlack);
  exchange.ended = Clock::now();
  exchange.status = response ? response->result_int() : 0;
  exchange.from_server = response && !(*response)["Server-Seal"].empty();
  exchange.terminated_at = cluster_.terminated_at(machine, life);
  if (checked_period != 0 && checked_period == checked_period_) responses_.OnEnded(exchange);
  co_return response;
}

asio::awaitable<bool> Clients::SendRequest(HttpConnection& connection, std::size_t sidecar) {
  const auto routes = operators_.StableRoutes();
  Kind kind = Draw();
  if (kind == Kind::kAdded && routes.empty()) kind = Kind::kPlan;
  const bool unsafe = kind == Kind::kOrder;
  const std::string id = AttemptId(++sent_);
  std::string path = unsafe ? "/orders/new" : "/plans/of?dealer=7";
  if (kind == Kind::kAdded) path = "/" + routes[random_() % routes.size()] + "/of";
  // A recently acknowledged route may not be known everywhere yet.
  const bool due = Clock::now() > operators_.last_acknowledged() + kApplyTimeout || kind != Kind::kAdded;
  const bool patient = std::uniform_real_distribution<double>()(random_) < kLongDeadlineShare;
  Exchange exchange;
  exchange.id = id;
  exchange.sidecar = cluster_.sidecar(sidecar).name();
  exchange.deadline = patient ? kLongDeadline : kShortDeadline;
  Request request = ShopRequest(unsafe, path, id, exchange.deadline);
  if (unsafe) checker_.OnUnsafeSent(id);
  const std::uint64_t measurement = measurement_;
  const auto answer = co_await Call(connection, sidecar, exchange, std::move(request));
  const unsigned status = answer ? answer->result_int() : 0;
  const bool success = status / 100 == 2;
  if (success) {
    ++served_;
    if (answer->body() != Server::Body(id) || (*answer)["Server-Seal"] != Server::Seal(id))
      checker_.ReportViolation("a response of " + cluster_.sidecar(sidecar).name() +
                               " does not match request " + id);
  }
  if (unsafe && (status == 503 || status == 429)) checker_.OnUnsafeRefused(id);
  if (measurement != 0 && measurement == measurement_) {
    Tally& tally = kind == Kind::kAdded ? measured_.added : measured_.first;
    ++tally.sent;
    tally.served += success;
    if (status == 404 && due)
      checker_.ReportViolation(cluster_.sidecar(sidecar).name() + " returned 404 for " + path +
                               " although no fault is active");
  }
  co_return answer.has_value();
}

}  // namespace fennelhollow::rig::soak
