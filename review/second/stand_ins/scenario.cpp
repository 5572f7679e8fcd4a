#include "stand_ins/scenario.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace review {
namespace {

constexpr std::size_t kCores = 3;
constexpr milliseconds kStartTimeout{15'000};
constexpr milliseconds kListDelay{1'500};  // until the list of servers has reached all sidecars

constexpr milliseconds kProbePause{20};

constexpr double kStarvedFraction = 0.25;
constexpr double kMaxUnservedShare = 0.6;
constexpr double kClassFloor = 0.42;  // the lowest of 'floor_classes' in coastline-fennel.toml

constexpr milliseconds kWatchPause{50};
constexpr milliseconds kMaxLate{1'000};

asio::awaitable<Verdict> Play(std::shared_ptr<Scenario> scenario) {
  const Verdict verdict = co_await scenario->Run();
  co_return scenario->MachineTooSlow() ? Verdict::kCouldNotRun : verdict;
}

}  // namespace

std::vector<MachineOptions> CoresAndSidecars(const std::vector<std::string>& services) {
  std::vector<MachineOptions> machines(kCores + services.size());
  for (std::size_t i = 0; i < machines.size(); ++i) {
    machines[i].core = i < kCores;
    machines[i].name =
        i < kCores ? "core-" + std::to_string(i + 1) : "sidecar-" + std::to_string(i - kCores + 1);
    if (i >= kCores) machines[i].service = services[i - kCores];
  }
  return machines;
}

bool Scenario::MachineTooSlow() const {
  if (*most_late_ <= kMaxLate) return false;
  context_.record.Summary("the machine is too slow: a timer was more than a second late");
  return true;
}

asio::awaitable<void> Scenario::WatchTimers(asio::io_context& io,
                                            std::shared_ptr<Clock::duration> most_late) {
  for (;;) {
    const auto due = Clock::now() + kWatchPause;
    co_await Sleep(io, kWatchPause);
    *most_late = std::max(*most_late, Clock::now() - due);
  }
}

asio::awaitable<bool> Scenario::Start(std::vector<nlohmann::json> items) {
  asio::co_spawn(context_.io, WatchTimers(context_.io, most_late_), asio::detached);
  if (!deployment_.StartAll()) co_return false;
  for (const Machine* machine : deployment_.Sidecars()) StartServer(*machine);
  const std::string first = FirstConfiguration(std::move(items)).dump();
  if (!co_await Replace(context_.io, deployment_, first, kStartTimeout)) co_return false;
  if (!co_await WaitUntilReady(context_.io, deployment_, kStartTimeout)) co_return false;
  co_await Sleep(context_.io, kListDelay);
  co_return true;
}

asio::awaitable<bool> Scenario::WaitUntilServed(std::vector<Call> probes, std::vector<std::string> machines) {
  Client client(context_.io, deployment_.Find("sidecar-1").outbound());
  const auto until = Clock::now() + kStartTimeout;
  while (Clock::now() < until) {
    bool served = true;
    for (const Call& probe : probes) {
      const Try last = co_await client.Send(probe, [this](const Try& ended) { RecordTry(ended, "probe"); });
      served = served && last.status == 200;
    }
    for (const std::string& machine : machines) served = served && runs_[machine] > 0;
    if (served) co_return true;
    co_await Sleep(context_.io, kProbePause);
  }
  context_.record.Summary("not all servers are reached in time");
  co_return false;
}

void Scenario::StartServer(const Machine& machine) {
  ServerOptions options;
  options.id = "i-" + machine.name();
  options.service = machine.service();
  options.address = machine.application();
  options.control = machine.control();
  Configure(options);
  const std::string server = "server " + options.id;
  ServerObserver observer;
  observer.on_begin = [this, server, at = machine.name()](const std::string& request, const Request&) {
    context_.record.Line(server + " runs " + request);
    ++runs_[at];
    OnRun(at);
  };
  observer.on_end = [this, server](const std::string& request, bool whole) {
    context_.record.Line(server + (whole ? " has answered " : " has sent no whole answer to ") + request);
  };
  servers_[machine.name()] = std::make_shared<ApplicationServer>(context_.io, options, observer);
  servers_[machine.name()]->Start();
}

void Scenario::AskSteadily(milliseconds pause, int each, std::function<asio::awaitable<void>()> ask) {
  asio::co_spawn(context_.io, Ask(pause, each, std::move(ask)), asio::detached);
}

asio::awaitable<void> Scenario::Ask(milliseconds pause, int each,
                                    std::function<asio::awaitable<void>()> ask) {
  asio::steady_timer timer(context_.io, Clock::now());
  while (asking_) {
    for (int i = 0; i < each; ++i) asio::co_spawn(context_.io, ask(), asio::detached);
    timer.expires_at(timer.expiry() + pause);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

void Scenario::RecordTry(const Try& ended, const std::string& where) {
  context_.record.Line("try " + ended.id + " " + where + ": " + std::to_string(ended.status) +
                       (ended.seal.empty() ? "" : ", Server-Seal " + ended.seal));
}

std::string TextOf(const StatusCounts& statuses) {
  std::string text = "tries:";
  for (const auto& [status, count] : statuses)
    text += " " + (status == 0 ? std::string("no answer") : std::to_string(status)) + " x" +
            std::to_string(count);
  return text;
}

Verdict JudgeGate(Record& record, const std::vector<const KindOfRequest*>& kinds) {
  KindOfRequest all{.name = "all", .call = {}};
  for (const KindOfRequest* kind : kinds) {
    all.asked += kind->asked;
    all.served += kind->served;
  }
  bool starved = false, below_floor = false;
  for (const KindOfRequest* kind : kinds) {
    starved |= kind->ServedShare() < kStarvedFraction * all.ServedShare();
    below_floor |= kind->ServedShare() < kClassFloor;
    record.Summary(kind->name + ": served " + std::to_string(kind->served) + " of " +
                   std::to_string(kind->asked) + "; " + TextOf(kind->statuses));
  }
  const bool gate_failed = 1 - all.ServedShare() > kMaxUnservedShare;
  record.Summary("share served of all: " + std::to_string(all.ServedShare()) +
                 (gate_failed ? "; Gate is broken" : "") +
                 (below_floor ? "; a kind is below its floor" : "") + (starved ? "; Starved is broken" : ""));
  return gate_failed || below_floor || starved ? Verdict::kBroken : Verdict::kHeld;
}

int RunScenario(int argc, char** argv, std::function<std::shared_ptr<Scenario>(CaseContext)> make) {
  return RunCase(argc, argv, [make](CaseContext context) { return Play(make(context)); });
}

}  // namespace review
