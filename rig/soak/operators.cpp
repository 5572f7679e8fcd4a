#include "rig/soak/operators.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

namespace fennelhollow::rig::soak {
namespace {

constexpr milliseconds kCallTimeout{1000}, kReadTimeout{1000};
constexpr milliseconds kMinBackoff{50}, kMaxBackoff{400};
constexpr milliseconds kGiveUpAfter{25'000};
constexpr milliseconds kBeginTimeout{15'000};
constexpr milliseconds kReadInterval{300};
constexpr int kChangePauseMs = 900, kStormPauseMs = 30;  // upper bounds of a random pause
constexpr int kRouteTimeoutMs = 10'000;
constexpr int kOperators = 2;
constexpr int kRedirects = 2;
// Share of responses that an operator ignores, so that it sends the same call again.
constexpr double kResponseLoss = 0.2;
constexpr double kResendShare = 0.1;
constexpr std::size_t kMaxAddedRoutes = 10;
// Changes remove the oldest routes, never one of these newest ones.
constexpr std::size_t kStableRoutes = 4;
constexpr const char* kReadPath = "/-/Configuration.Read";

// With default target latency, priority and timeout.
nlohmann::json AddedRoute(const std::string& name) {
  return ConfigurationItem("routes", name,
                           {{"host", kHost},
                            {"pathPrefix", "/" + name + "/"},
                            {"kind", "safe"},
                            {"service", kPlanService},
                            {"attempts", 2}});
}

nlohmann::json ConfigurationWithLongTimeouts() {
  nlohmann::json configuration = FirstConfiguration();
  for (auto& item : configuration["resourceList"])
    if (item["resourceKind"] == "routes") item["specification"]["timeoutMs"] = kRouteTimeoutMs;
  return configuration;
}

ConsistencyChecker::Routes SetOf(const std::vector<std::string>& names) {
  return {names.begin(), names.end()};
}

// The ip:port part of an absolute URL.
std::string HostOf(const std::string& location) {
  const auto begin = location.find("//");
  if (begin == std::string::npos) return {};
  return location.substr(begin + 2, location.find('/', begin + 2) - begin - 2);
}

}  // namespace

Operators::Operators(asio::io_context& io, Cluster& cluster, ConsistencyChecker& checker, std::uint64_t seed)
    : io_(io), cluster_(cluster), checker_(checker), random_(seed) {}

asio::awaitable<bool> Operators::ApplyFirstConfiguration() {
  Change first;
  first.version = 3;
  first.path = "/-/Configuration.Replace";
  first.body = ConfigurationWithLongTimeouts().dump();
  const ConsistencyChecker::Routes no_added_routes;
  checker_.OnSent(first.version, first.base, no_added_routes);
  const auto until = Clock::now() + kBeginTimeout;
  while (Clock::now() < until) {
    const unsigned status = co_await Call(first, random_() % cluster_.cores());
    if (status == 200) {
      OnChangeAcknowledged(first);
      co_return true;
    }
    co_await Sleep(io_, kMinBackoff);
  }
  co_return false;
}

void Operators::Start() {
  for (int i = 0; i < kOperators; ++i) asio::co_spawn(io_, RunOperator(i), asio::detached);
  for (std::size_t i = 0; i < cluster_.cores(); ++i) asio::co_spawn(io_, ReadPeriodically(i), asio::detached);
}

Operators::ConfigurationView Operators::ViewAfter(const Change& change) {
  return {change.version, change.added};
}

void Operators::OnChangeAcknowledged(const Change& change) {
  checker_.OnAcknowledged(change.version);
  last_acknowledged_ = Clock::now();
  if (change.version > newest_.version) newest_ = {change.version, change.added};
}

std::vector<std::string> Operators::StableRoutes() const {
  const auto& added = newest_.added;
  return {added.end() - static_cast<std::ptrdiff_t>(std::min(added.size(), kStableRoutes)), added.end()};
}

Operators::Change Operators::NextChange(const ConfigurationView& base, int number) {
  Change change;
  change.base = base.version;
  // Skips version numbers; the last digit is unique to each operator.
  change.version = (base.version / 10 + 1 + static_cast<std::int64_t>(random_() % 2)) * 10 + number;
  change.added = base.added;
  const std::string name = "added-" + std::to_string(change.version);
  change.added.push_back(name);
  nlohmann::json body = {{"version", change.version},
                         {"baseVersion", change.base},
                         {"upsert", {{"resourceList", {AddedRoute(name)}}}}};
  if (change.added.size() > kMaxAddedRoutes) {
    body["remove"] = {{"routes", {change.added.front()}}};
    change.added.erase(change.added.begin());
  }
  change.path = "/-/Configuration.Modify";
  change.body = body.dump();
  return change;
}

asio::awaitable<void> Operators::RunOperator(int number) {
  ++running_;
  std::optional<ConfigurationView> known = newest_;
  while (!stopped_) {
    co_await Sleep(io_, milliseconds(random_() % (storm_ ? kStormPauseMs : kChangePauseMs)));
    if (!known) known = co_await ReadFromAnyCore();
    if (!known) continue;
    const Change change = NextChange(*known, number);
    checker_.OnSent(change.version, change.base, SetOf(change.added));
    const Outcome outcome = co_await Send(change);
    known.reset();
    if (outcome == Outcome::kAcknowledged) known = ViewAfter(change);
  }
  --running_;
}

asio::awaitable<Operators::Outcome> Operators::Send(const Change& change) {
  const auto until = Clock::now() + kGiveUpAfter;
  milliseconds backoff = kMinBackoff;
  bool acknowledged = false;  // even if the response was ignored
  while (Clock::now() < until && !stopped_) {
    const unsigned status = co_await Call(change, random_() % cluster_.cores());
    const bool received = UniformRandom() >= kResponseLoss;
    if (acknowledged) checker_.OnResent(change.version, status);
    if (status == 200) {
      acknowledged = true;
      OnChangeAcknowledged(change);
      if (received && UniformRandom() >= kResendShare) co_return Outcome::kAcknowledged;
    } else if (received && status / 100 == 4 && status != 408 && status != 429) {
      co_return acknowledged ? Outcome::kAcknowledged : Outcome::kRefused;
    }
    co_await Sleep(io_, backoff);
    backoff = std::min(2 * backoff, kMaxBackoff);
  }
  co_return acknowledged ? Outcome::kAcknowledged : Outcome::kUnknown;
}

asio::awaitable<unsigned> Operators::Call(const Change& change, std::size_t core) {
  std::string at = cluster_.node(core).control().Text();
  for (int i = 0; i <= kRedirects; ++i) {
    const auto colon = at.rfind(':');
    if (colon == std::string::npos) co_return 0;
    Address address;
    address.ip = at.substr(0, colon);
    address.port = static_cast<std::uint16_t>(std::stoi(at.substr(colon + 1)));
    HttpConnection connection(io_, address);
    const auto answer =
        co_await connection.Call(MakeRequest(http::verb::post, change.path, at, change.body), kCallTimeout);
    if (!answer) co_return 0;
    if (answer->result_int() != 307) co_return answer->result_int();
    at = HostOf(std::string((*answer)[http::field::location]));
  }
  co_return 0;
}

asio::awaitable<std::optional<Operators::ConfigurationView>> Operators::ReadFrom(std::size_t core) {
  HttpConnection connection(io_, cluster_.node(core).control());
  const auto sent = Clock::now();
  const auto answer = co_await connection.Call(
      MakeRequest(http::verb::get, kReadPath, connection.address().Text()), kReadTimeout);
  if (!answer || answer->result_int() != 200) co_return std::nullopt;
  const auto read = nlohmann::json::parse(answer->body(), nullptr, false);
  if (!read.is_object()) {
    checker_.ReportViolation(cluster_.node(core).name() + " answered a read with an invalid configuration");
    co_return std::nullopt;
  }
  ConfigurationView known;
  known.version = read.value("version", std::int64_t{0});
  for (const auto& item : read.value("resourceList", nlohmann::json::array())) {
    const std::string name = item["metadata"].value("name", "");
    if (name.rfind("added-", 0) == 0) known.added.push_back(name);
  }
  // Names end with the version that added them.
  std::sort(known.added.begin(), known.added.end(), [](const std::string& a, const std::string& b) {
    return a.size() != b.size() ? a.size() < b.size() : a < b;
  });
  checker_.OnRead(cluster_.node(core).name(), sent, known.version, SetOf(known.added));
  co_return known;
}

asio::awaitable<std::optional<Operators::ConfigurationView>> Operators::ReadFromAnyCore() {
  co_return co_await ReadFrom(random_() % cluster_.cores());
}

asio::awaitable<void> Operators::ReadPeriodically(std::size_t core) {
  ++running_;
  while (!stopped_) {
    co_await Sleep(io_, kReadInterval);
    co_await ReadFrom(core);
  }
  --running_;
}

}  // namespace fennelhollow::rig::soak
