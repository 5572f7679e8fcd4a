// A release replaces the servers of one service, one at a time; the new version writes the head of an answer
// first and its body a moment later, as HTTP/1.1 over TCP allows. Judges Gate and Starved. TROUBLE=whole: the
// same release, but the new version writes its answers in one piece.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cstdlib>
#include <set>

#include "stand_ins/scenario.hpp"

namespace review {
namespace {

constexpr milliseconds kCalmBefore{1'000}, kReleaseTime{4'000}, kCalmAfter{65'000}, kLastAnswers{3'000};
constexpr milliseconds kStartOfServer{2'000};  // until its machine is ready and the list has it
constexpr milliseconds kHeadPause{10};
constexpr milliseconds kReadPause{35}, kOrderPause{15};  // 29 reads and 67 orders a second
constexpr int kFurtherTries = 2;

std::vector<MachineOptions> Machines() {
  auto machines = CoresAndSidecars({"plans", "activation", "activation", "activation", "activation"});
  machines[6].joins_later = machines[7].joins_later = true;  // sidecar-4 and sidecar-5
  return machines;
}

std::vector<nlohmann::json> Items() {
  return {
      RouteItem({.name = "r-reads", .path_prefix = "/reads/", .kind = "safe", .service = "plans"}),
      RouteItem({.name = "r-orders", .path_prefix = "/orders/", .kind = "unsafe", .service = "activation"}),
      ServiceItem("plans"), ServiceItem("activation")};
}

class SplitAnswers : public Scenario {
 public:
  explicit SplitAnswers(CaseContext context) : Scenario(context, Machines()) {}

  asio::awaitable<Verdict> Run() override {
    const bool started = co_await Start(Items());
    if (!started) co_return Verdict::kCouldNotRun;
    reads_.call.path = "/reads/1";
    orders_.call.path = "/orders/1";
    orders_.call.unsafe = true;
    AskSteadily(kReadPause, 1, [this] { return AskOnce(reads_); });
    AskSteadily(kOrderPause, 1, [this] { return AskOnce(orders_); });
    co_await Sleep(context_.io, kCalmBefore);
    co_await Release("sidecar-2", "sidecar-4");
    co_await Release("sidecar-3", "sidecar-5");
    co_await Sleep(context_.io, kCalmAfter);
    StopAsking();
    co_await Sleep(context_.io, kLastAnswers);
    context_.record.Summary("orders that a server has run and whose client was told of a failure: " +
                            std::to_string(run_but_failed_));
    co_return JudgeGate(context_.record, {&reads_, &orders_});
  }

 private:
  void Configure(ServerOptions& options) override {
    if (!releasing_) return;
    const char* trouble = std::getenv("TROUBLE");
    const bool whole = trouble != nullptr && std::string(trouble) == "whole";
    options.version = "v2";
    if (!whole) options.head_pause = kHeadPause;
  }

  void OnRun(const std::string& request, const Request&) override { run_.insert(request); }

  // The new server starts first, on a machine of its own; then the old one drains and its machine leaves.
  asio::awaitable<void> Release(std::string before, std::string after) {
    releasing_ = true;
    if (!context_.trouble) co_return co_await Sleep(context_.io, kReleaseTime);
    Machine& machine = deployment_.Find(after);
    machine.Start();
    StartServer(machine);
    co_await Sleep(context_.io, kStartOfServer);
    servers_[before]->Drain();
    asio::co_spawn(context_.io, Leave(before), asio::detached);
    context_.record.Summary("server i-" + before + " drains, i-" + after + " is in its place");
    co_await Sleep(context_.io, kReleaseTime - kStartOfServer);
  }

  // The platform stops a machine once its server has ended.
  asio::awaitable<void> Leave(std::string machine) {
    while (!servers_[machine]->stopped()) co_await Sleep(context_.io, milliseconds(50));
    deployment_.Find(machine).Terminate();
    context_.record.Summary("server i-" + machine + " has ended");
  }

  asio::awaitable<void> AskOnce(KindOfRequest& kind) {
    ++kind.asked;
    const Try last = co_await client_.Send(kind.call, [&](const Try& ended) {
      ++kind.statuses[ended.status];
      RecordTry(ended, kind.name);
    });
    if (last.status == 200 && last.seal == ApplicationServer::Seal(last.id))
      ++kind.served;
    else if (run_.contains(last.id))
      ++run_but_failed_;
  }

  Client client_{context_.io, deployment_.Find("sidecar-1").outbound()};
  KindOfRequest reads_{.name = "reads", .call = {.host = kHost, .further_tries = kFurtherTries}};
  KindOfRequest orders_{.name = "orders", .call = {.host = kHost, .further_tries = kFurtherTries}};
  std::set<std::string> run_;
  std::uint64_t run_but_failed_ = 0;
  bool releasing_ = false;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return review::RunScenario<review::SplitAnswers>(argc, argv); }
