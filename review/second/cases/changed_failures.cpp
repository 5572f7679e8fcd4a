// One server turns grey: it runs requests and then fails part of them with a 503 of its own, without
// Not-Executed. Judges MIXED: a failure must not bear a server's Server-Seal together with another status
// than that server gave.
#include "stand_ins/scenario.hpp"

namespace review {
namespace {

// srv_grey of the grown site files: share 0.14, x 0.45, for_s 6.5. Here one server of three.
constexpr double kFailedShare = 0.45;
constexpr milliseconds kGreyTime{6'500};
constexpr milliseconds kCalm{2'000}, kLastAnswers{3'000};
constexpr milliseconds kOrderPause{20};  // 50 orders a second
constexpr int kFurtherTries = 2;

std::vector<nlohmann::json> Items() {
  return {
      RouteItem({.name = "r-orders", .path_prefix = "/orders/", .kind = "unsafe", .service = "activation"}),
      ServiceItem("activation")};
}

class ChangedFailures : public Scenario {
 public:
  explicit ChangedFailures(CaseContext context)
      : Scenario(context, CoresAndSidecars({"activation", "activation", "activation"})) {}

  asio::awaitable<Verdict> Run() override {
    const bool started = co_await Start(Items());
    if (!started) co_return Verdict::kCouldNotRun;
    AskSteadily(kOrderPause, 1, [this] { return AskOnce(); });
    co_await Sleep(context_.io, kCalm);
    ApplicationServer& grey = *servers_["sidecar-1"];
    if (context_.trouble) grey.FailRequests(kFailedShare, http::status::service_unavailable);
    context_.record.Summary("one server turns grey");
    co_await Sleep(context_.io, kGreyTime);
    grey.FailRequests(0, http::status::service_unavailable);
    co_await Sleep(context_.io, kCalm);
    StopAsking();
    co_await Sleep(context_.io, kLastAnswers);
    co_return Judge();
  }

 private:
  void OnRunFailed(const std::string& request, int status) override { given_[request] = status; }

  asio::awaitable<void> AskOnce() {
    Call call;
    call.host = kHost;
    call.path = "/orders/1";
    call.unsafe = true;
    call.further_tries = kFurtherTries;
    co_await client_.Send(call, [this](const Try& ended) {
      ++tries_;
      RecordTry(ended, "orders");
      const auto given = given_.find(ended.id);
      if (given != given_.end() && !ended.seal.empty() && ended.status != given->second) ++changed_;
    });
  }

  Verdict Judge() {
    context_.record.Summary("tries " + std::to_string(tries_) + ", failed by the server " +
                            std::to_string(given_.size()) + ", of those with its seal and another status " +
                            std::to_string(changed_));
    if (context_.trouble && given_.empty()) return Verdict::kCouldNotRun;
    return changed_ > 0 ? Verdict::kBroken : Verdict::kHeld;
  }

  Client client_{context_.io, deployment_.Find("sidecar-1").outbound()};
  std::map<std::string, int> given_;  // request -> the status with which its server failed it
  int tries_ = 0, changed_ = 0;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return review::RunScenario<review::ChangedFailures>(argc, argv); }
