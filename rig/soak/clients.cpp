#include "rig/soak/clients.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

namespace fennelhollow::rig::soak {
namespace {

constexpr int kClientsPerSidecar = 8;
constexpr milliseconds kPause{10}, kPauseAfterFailure{50};
constexpr milliseconds kDeadline{2000};
constexpr double kOrderShare = 0.3, kAddedShare = 0.05;  // of all requests

}  // namespace

Clients::Clients(asio::io_context& io, Cluster& cluster, const Operators& operators,
                 ConsistencyChecker& checker, std::uint64_t seed)
    : io_(io), cluster_(cluster), operators_(operators), checker_(checker), random_(seed) {}

void Clients::Start() {
  for (std::size_t i = 0; i < cluster_.sidecars(); ++i)
    for (int j = 0; j < kClientsPerSidecar; ++j) asio::co_spawn(io_, RunClient(i), asio::detached);
}

void Clients::Measure() {
  measured_ = {};
  measurement_ = ++measurements_;
}

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
  Request request = ShopRequest(unsafe, path, id, kDeadline);
  if (unsafe) checker_.OnUnsafeSent(id);
  const std::uint64_t measurement = measurement_;
  const auto answer = co_await connection.Call(std::move(request), kDeadline);
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
