// Servers of an unsafe route lose a few answers for some seconds, one server after the other. Afterwards
// every server is sound again. Judges Gate with its parts, and Starved.
#include "stand_ins/scenario.hpp"

namespace review {
namespace {

// answer_lost: share (.5) of the servers lose the answer of x (.03) of what they ran (`fleetbench kinds`);
// for 6.2 s in
// ../given/kit/more/system/sites/coastline-fennel.toml. Here one of two servers at a time.
constexpr double kLostShare = 0.03;
constexpr milliseconds kLossTime{6'200};
constexpr int kLossRounds = 2;  // each server in turn, twice
constexpr milliseconds kCalmBefore{1'000}, kCalmAfter{62'000}, kLastAnswers{3'000};
constexpr milliseconds kAskPause{10};
// 600 reads and 200 orders a second: about the rate of the quiet day of coastline-fennel.toml (864 a second)
// and its share of unsafe requests (1.8 of 7.74).
constexpr int kReadsEach = 6, kOrdersEach = 2;
constexpr double kMinCalmShare = 0.8;  // the rest may be under way
constexpr double kMinReadShare = 0.9;  // nothing disturbs reads, so that fewer mean a slow machine

std::vector<nlohmann::json> Items() {
  return {
      RouteItem({.name = "r-reads", .path_prefix = "/reads/", .kind = "safe", .service = "plans"}),
      RouteItem({.name = "r-orders", .path_prefix = "/orders/", .kind = "unsafe", .service = "activation"}),
      ServiceItem("plans"), ServiceItem("activation")};
}

class LostAnswers : public Scenario {
 public:
  explicit LostAnswers(CaseContext context)
      : Scenario(context, CoresAndSidecars({"plans", "plans", "activation", "activation"})) {}

  asio::awaitable<Verdict> Run() override {
    const bool started = co_await Start(Items());
    if (!started) co_return Verdict::kCouldNotRun;
    reads_.call.path = "/reads/1";
    orders_.call.path = "/orders/1";
    orders_.call.unsafe = true;
    const bool reached = co_await WaitUntilServed(Probes(), Probed());
    if (!reached) co_return Verdict::kCouldNotRun;
    AskSteadily(kAskPause, kReadsEach, [this] { return AskOnce(reads_); });
    AskSteadily(kAskPause, kOrdersEach, [this] { return AskOnce(orders_); });
    co_await Sleep(context_.io, kCalmBefore);
    for (const KindOfRequest* kind : {&reads_, &orders_}) {
      context_.record.Summary(kind->name + " in the calm: served " + std::to_string(kind->served) + " of " +
                              std::to_string(kind->asked));
      if (kind->ServedShare() < kMinCalmShare) co_return Verdict::kCouldNotRun;  // too slow a machine
    }
    for (int round = 0; round < kLossRounds; ++round)
      for (const char* machine : {"sidecar-3", "sidecar-4"}) co_await LoseAnswersOf(*servers_[machine]);
    sound_again_ = true;
    context_.record.Summary("all servers are sound from here on");
    co_await Sleep(context_.io, kCalmAfter);
    StopAsking();
    co_await Sleep(context_.io, kLastAnswers);
    context_.record.Summary("orders sent after the last loss: served " + std::to_string(served_after_) +
                            " of " + std::to_string(asked_after_));
    for (const auto& [machine, server] : servers_)
      context_.record.Summary("server " + server->options().id + " works on " +
                              std::to_string(server->at_work()) + " of " +
                              std::to_string(server->options().slots) + " at the end");
    const Verdict verdict = JudgeGate(context_.record, {&reads_, &orders_});
    co_return reads_.ServedShare() < kMinReadShare ? Verdict::kCouldNotRun : verdict;
  }

 private:
  std::vector<Call> Probes() const { return {reads_.call, orders_.call}; }
  static std::vector<std::string> Probed() { return {"sidecar-1", "sidecar-2", "sidecar-3", "sidecar-4"}; }

  asio::awaitable<void> LoseAnswersOf(ApplicationServer& server) {
    if (context_.trouble) server.LoseAnswers(kLostShare);
    co_await Sleep(context_.io, kLossTime);
    server.LoseAnswers(0);
    context_.record.Summary("server " + server.options().id + " has lost " +
                            std::to_string(server.answers_lost()) + " answers so far");
  }

  asio::awaitable<void> AskOnce(KindOfRequest& kind) {
    const bool after = sound_again_ && &kind == &orders_;
    ++kind.asked;
    if (after) ++asked_after_;
    const Try last = co_await client_.Send(kind.call, [&](const Try& ended) {
      ++kind.statuses[ended.status];
      RecordTry(ended, kind.name);
    });
    if (last.status != 200 || last.seal != ApplicationServer::Seal(last.id)) co_return;
    ++kind.served;
    if (after) ++served_after_;
  }

  Client client_{context_.io, deployment_.Find("sidecar-1").outbound()};
  KindOfRequest reads_{.name = "reads", .call = {.host = kHost}};
  KindOfRequest orders_{.name = "orders", .call = {.host = kHost}};
  std::uint64_t asked_after_ = 0, served_after_ = 0;
  bool sound_again_ = false;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return review::RunScenario<review::LostAnswers>(argc, argv); }
