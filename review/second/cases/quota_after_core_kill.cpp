// A sidecar is cut off from the cores while all core processes are killed and come back. Judges QUOTA: over
// all machines, a tenant's requests that run within a window stay within its limit.
#include <deque>

#include "stand_ins/relay.hpp"
#include "stand_ins/scenario.hpp"

namespace review {
namespace {

constexpr char kTenant[] = "north-dealers", kKey[] = "89anu6wsjnbanfqasnmg";
constexpr double kRatePerS = 40, kBurst = 40;
// QUOTA: (ratePerS x window + burst) x (1 + quotaOvershoot) + quotaSlack, with the bounds of the settings.
constexpr std::chrono::seconds kWindow{5};
constexpr double kQuotaOvershoot = 0.1, kQuotaSlack = 20;
constexpr double kLimit = (kRatePerS * kWindow.count() + kBurst) * (1 + kQuotaOvershoot) + kQuotaSlack;
constexpr milliseconds kCalmBefore{8'000};
constexpr milliseconds kCutTime{
    10'000};  // node_cut of coastline-fennel.toml: share 0.3 for 10 s; here one of five
constexpr milliseconds kKillAfter{300};  // after the beginning of the cut
constexpr milliseconds kCoresDown{700};  // "back within a second"
constexpr milliseconds kAfterCut{10'000}, kLastAnswers{3'000};
// The tenant's clients ask more than its limit, most of them at one machine.
constexpr char kMainMachine[] = "sidecar-1";
constexpr milliseconds kMainPause{11}, kOtherPause{100};  // 90 a second there, 10 at each of the others

std::vector<MachineOptions> Machines() {
  auto machines = CoresAndSidecars({"plans", "plans", "plans", "plans", "plans"});
  for (MachineOptions& machine : machines) machine.behind_relay = machine.core;
  return machines;
}

std::vector<nlohmann::json> Items() {
  return {RouteItem({.name = "r-reads", .path_prefix = "/reads/", .kind = "safe", .service = "plans"}),
          ServiceItem("plans"), TenantItem(kTenant, kKey, kRatePerS, kBurst)};
}

class QuotaAfterCoreKill : public Scenario {
 public:
  explicit QuotaAfterCoreKill(CaseContext context) : Scenario(context, Machines()) {}

  asio::awaitable<Verdict> Run() override {
    for (const Machine* core : deployment_.Cores())
      relays_.push_back(std::make_unique<Relay>(context_.io, core->internal(), core->behind_relay()));
    const bool started = co_await Start(Items());
    if (!started) co_return Verdict::kCouldNotRun;
    const bool reached = co_await WaitUntilServed(Probes(), Probed());
    if (!reached) co_return Verdict::kCouldNotRun;
    for (const Machine* machine : deployment_.Sidecars()) {
      const auto client = std::make_shared<Client>(context_.io, machine->outbound());
      const std::string name = machine->name();
      AskSteadily(name == kMainMachine ? kMainPause : kOtherPause, 1,
                  [this, client, name] { return AskOnce(client, name); });
    }
    co_await Sleep(context_.io, kCalmBefore);
    if (context_.trouble) {
      co_await Disrupt();
    } else {
      co_await Sleep(context_.io, kCutTime);
    }
    co_await Sleep(context_.io, kAfterCut);
    StopAsking();
    co_await Sleep(context_.io, kLastAnswers);
    co_return Judge();
  }

 private:
  std::vector<Call> Probes() const { return {Read()}; }
  static std::vector<std::string> Probed() { return {}; }

  asio::awaitable<void> Disrupt() {
    context_.record.Summary(std::string(kMainMachine) + " is cut off from the cores");
    for (const auto& relay : relays_) relay->Cut(kMainMachine);
    co_await Sleep(context_.io, kKillAfter);
    context_.record.Summary("the processes of all cores are killed");
    for (Machine* core : deployment_.Cores()) core->Kill();
    co_await Sleep(context_.io, kCoresDown);
    for (Machine* core : deployment_.Cores()) core->Start();
    context_.record.Summary("they start again");
    co_await Sleep(context_.io, kCutTime - kKillAfter - kCoresDown);
    for (const auto& relay : relays_) relay->Heal(kMainMachine);
    context_.record.Summary(std::string(kMainMachine) + " reaches the cores again");
  }

  static Call Read() {
    Call call;
    call.host = kHost;
    call.path = "/reads/1";
    call.key = kKey;
    return call;
  }

  asio::awaitable<void> AskOnce(std::shared_ptr<Client> client, std::string machine) {
    co_await client->Send(Read(), [&](const Try& ended) {
      ++statuses_[ended.status];
      RecordTry(ended, "at " + machine);
      if (ended.status == 200) served_.push_back({ended.sent, Clock::now()});
    });
  }

  // The most requests that were both sent and run within one window. Each has run before its answer came, so
  // one that was sent and answered within a window counts.
  std::size_t MostInWindow() const {
    std::size_t most = 0;
    for (const Served& first : served_) {
      std::size_t count = 0;
      for (const Served& served : served_)
        if (served.sent >= first.sent && served.answered <= first.sent + kWindow) ++count;
      most = std::max(most, count);
    }
    return most;
  }

  Verdict Judge() {
    context_.record.Summary(TextOf(statuses_));
    const std::size_t most = MostInWindow();
    context_.record.Summary("most requests of the tenant within 5 s: " + std::to_string(most) +
                            "; the limit is " + std::to_string(static_cast<int>(kLimit)));
    if (served_.empty()) return Verdict::kCouldNotRun;
    return static_cast<double>(most) > kLimit ? Verdict::kBroken : Verdict::kHeld;
  }

  struct Served {
    Clock::time_point sent, answered;
  };
  std::vector<std::unique_ptr<Relay>> relays_;
  std::deque<Served> served_;
  StatusCounts statuses_;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return review::RunScenario<review::QuotaAfterCoreKill>(argc, argv); }
