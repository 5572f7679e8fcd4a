#include "rig/soak/operators.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

namespace fennelhollow::rig::soak {
namespace {

constexpr milliseconds kCallWithin{1000}, kReadWithin{1000};
constexpr milliseconds kFirstPause{50}, kLongestPause{400};
constexpr milliseconds kGiveUpAfter{25'000};
constexpr milliseconds kBeginWithin{15'000};
constexpr milliseconds kReadEvery{300};
constexpr int kChangePauseMs = 900;  // drawn up to this
constexpr int kOperators = 2;
constexpr int kRedirects = 2;
// An operator hears nothing of so many of the answers, and sends the same call again.
constexpr double kAnswersLost = 0.2;
constexpr double kRepeatTaken = 0.1;
constexpr std::size_t kMostAdded = 10;
// Of these, so many of the newest are in no change's way.
constexpr std::size_t kLasting = 4;
constexpr const char* kReadPath = "/-/Configuration.Read";

// As operators add routes: no aim, no priority, no timeout.
nlohmann::json AddedRoute(const std::string& name) {
  return ConfigurationItem("routes", name,
                           {{"host", kHost},
                            {"pathPrefix", "/" + name + "/"},
                            {"kind", "safe"},
                            {"service", kPlanService},
                            {"attempts", 2}});
}

Ledger::Routes SetOf(const std::vector<std::string>& names) { return {names.begin(), names.end()}; }

// The text before the path of an absolute address, without its scheme: ip:port.
std::string HostOf(const std::string& location) {
  const auto begin = location.find("//");
  if (begin == std::string::npos) return {};
  return location.substr(begin + 2, location.find('/', begin + 2) - begin - 2);
}

}  // namespace

Operators::Operators(asio::io_context& io, Cluster& cluster, Ledger& ledger, std::uint64_t seed)
    : io_(io), cluster_(cluster), ledger_(ledger), random_(seed) {}

asio::awaitable<bool> Operators::Begin() {
  Change first;
  first.version = 3;
  first.path = "/-/Configuration.Replace";
  first.body = FirstConfiguration().dump();
  const Ledger::Routes no_added_routes;
  ledger_.OnSent(first.version, first.base, no_added_routes);
  const auto until = Clock::now() + kBeginWithin;
  while (Clock::now() < until) {
    const unsigned status = co_await Call(first, random_() % cluster_.cores());
    if (status == 200) {
      OnTaken(first);
      co_return true;
    }
    co_await Sleep(io_, kFirstPause);
  }
  co_return false;
}

void Operators::Start() {
  for (int i = 0; i < kOperators; ++i) asio::co_spawn(io_, Operate(i), asio::detached);
  for (std::size_t i = 0; i < cluster_.cores(); ++i) asio::co_spawn(io_, ReadOn(i), asio::detached);
}

Operators::Known Operators::KnownAfter(const Change& change) { return {change.version, change.added}; }

void Operators::OnTaken(const Change& change) {
  ledger_.OnAcknowledged(change.version);
  last_acknowledged_ = Clock::now();
  if (change.version > newest_.version) newest_ = {change.version, change.added};
}

std::vector<std::string> Operators::LastingRoutes() const {
  const auto& added = newest_.added;
  return {added.end() - static_cast<std::ptrdiff_t>(std::min(added.size(), kLasting)), added.end()};
}

Operators::Change Operators::NextChange(const Known& base, int number) {
  Change change;
  change.base = base.version;
  // In uneven steps, and never the other operator's number.
  change.version = (base.version / 10 + 1 + static_cast<std::int64_t>(random_() % 2)) * 10 + number;
  change.added = base.added;
  const std::string name = "added-" + std::to_string(change.version);
  change.added.push_back(name);
  nlohmann::json body = {{"version", change.version},
                         {"baseVersion", change.base},
                         {"upsert", {{"resourceList", {AddedRoute(name)}}}}};
  if (change.added.size() > kMostAdded) {
    body["remove"] = {{"routes", {change.added.front()}}};
    change.added.erase(change.added.begin());
  }
  change.path = "/-/Configuration.Modify";
  change.body = body.dump();
  return change;
}

asio::awaitable<void> Operators::Operate(int number) {
  ++running_;
  std::optional<Known> known = newest_;
  while (!stopped_) {
    co_await Sleep(io_, milliseconds(random_() % kChangePauseMs));
    if (!known) known = co_await ReadFromAny();
    if (!known) continue;
    const Change change = NextChange(*known, number);
    ledger_.OnSent(change.version, change.base, SetOf(change.added));
    const Outcome outcome = co_await Send(change);
    known.reset();
    if (outcome == Outcome::kTaken) known = KnownAfter(change);
  }
  --running_;
}

asio::awaitable<Operators::Outcome> Operators::Send(const Change& change) {
  const auto until = Clock::now() + kGiveUpAfter;
  milliseconds pause = kFirstPause;
  bool taken = false;  // an answer said so, whether it was heard or not
  while (Clock::now() < until && !stopped_) {
    const unsigned status = co_await Call(change, random_() % cluster_.cores());
    const bool heard = Unit() >= kAnswersLost;
    if (taken) ledger_.OnRepeated(change.version, status);
    if (status == 200) {
      taken = true;
      OnTaken(change);
      if (heard && Unit() >= kRepeatTaken) co_return Outcome::kTaken;
    } else if (heard && status / 100 == 4 && status != 408 && status != 429) {
      co_return taken ? Outcome::kTaken : Outcome::kRefused;
    }
    co_await Sleep(io_, pause);
    pause = std::min(2 * pause, kLongestPause);
  }
  co_return taken ? Outcome::kTaken : Outcome::kUnclear;
}

asio::awaitable<unsigned> Operators::Call(const Change& change, std::size_t core) {
  std::string at = cluster_.node(core).control().Text();
  for (int i = 0; i <= kRedirects; ++i) {
    const auto colon = at.rfind(':');
    if (colon == std::string::npos) co_return 0;
    Address address;
    address.ip = at.substr(0, colon);
    address.port = static_cast<std::uint16_t>(std::stoi(at.substr(colon + 1)));
    Caller caller(io_, address);
    const auto answer =
        co_await caller.Call(MakeRequest(http::verb::post, change.path, at, change.body), kCallWithin);
    if (!answer) co_return 0;
    if (answer->result_int() != 307) co_return answer->result_int();
    at = HostOf(std::string((*answer)[http::field::location]));
  }
  co_return 0;
}

asio::awaitable<std::optional<Operators::Known>> Operators::ReadFrom(std::size_t core) {
  Caller caller(io_, cluster_.node(core).control());
  const auto sent = Clock::now();
  const auto answer =
      co_await caller.Call(MakeRequest(http::verb::get, kReadPath, caller.address().Text()), kReadWithin);
  if (!answer || answer->result_int() != 200) co_return std::nullopt;
  const auto read = nlohmann::json::parse(answer->body(), nullptr, false);
  if (!read.is_object()) {
    ledger_.Fault(cluster_.node(core).name() + " answered a read with what is no configuration");
    co_return std::nullopt;
  }
  Known known;
  known.version = read.value("version", std::int64_t{0});
  for (const auto& item : read.value("resourceList", nlohmann::json::array())) {
    const std::string name = item["metadata"].value("name", "");
    if (name.rfind("added-", 0) == 0) known.added.push_back(name);
  }
  // Names end with the version that added them.
  std::sort(known.added.begin(), known.added.end(), [](const std::string& a, const std::string& b) {
    return a.size() != b.size() ? a.size() < b.size() : a < b;
  });
  ledger_.OnRead(cluster_.node(core).name(), sent, known.version, SetOf(known.added));
  co_return known;
}

asio::awaitable<std::optional<Operators::Known>> Operators::ReadFromAny() {
  co_return co_await ReadFrom(random_() % cluster_.cores());
}

asio::awaitable<void> Operators::ReadOn(std::size_t core) {
  ++running_;
  while (!stopped_) {
    co_await Sleep(io_, kReadEvery);
    co_await ReadFrom(core);
  }
  --running_;
}

}  // namespace fennelhollow::rig::soak
