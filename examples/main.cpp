// A complete example: settings, events and actions. One of four servers refuses every request.
#include <cstdio>
#include <map>
#include <merlinrun/balancer.hpp>
#include <string>
#include <utility>
#include <vector>

namespace {

// A real caller performs the actions; this one records them.
class Sink : public merlinrun::ActionSink {
 public:
  void Send(std::string_view request, const std::string& server, merlinrun::Micros) override {
    std::printf("send    %s to %s\n", std::string(request).c_str(), server.c_str());
    sent.emplace_back(request, server);
  }
  void Cancel(std::string_view, int) override {}
  void Refuse(std::string_view request, merlinrun::Micros retry_after, merlinrun::Cause) override {
    std::printf("refuse  %s, retry after %lld us\n", std::string(request).c_str(),
                static_cast<long long>(retry_after));
  }
  void Fail(std::string_view request, merlinrun::Cause) override {
    std::printf("fail    %s\n", std::string(request).c_str());
  }
  void SetTimer(merlinrun::Micros delay, std::uint64_t token) override { timers[token] = delay; }
  void Subscribe() override {}
  void Log(std::string_view) override {}

  std::vector<std::pair<std::string, std::string>> sent;
  std::map<std::uint64_t, merlinrun::Micros> timers;
};

}  // namespace

int main() {
  using namespace merlinrun;
  Settings settings;
  RequestClass read_class;
  read_class.name = "read";
  read_class.latency_target = 500'000;
  read_class.deadline = 2'000'000;
  read_class.retry_safety = RetrySafety::kSafe;
  settings.classes = {read_class};
  settings.max_attempts = 4;

  Sink sink;
  std::string error;
  Micros now = 1'000'000;  // any monotonic clock in microseconds
  const auto balancer = Balancer::Create(settings, /*seed=*/1, now, sink, error);
  if (balancer == nullptr) {
    std::fprintf(stderr, "settings: %s\n", error.c_str());
    return 1;
  }

  std::vector<ServerInfo> servers(4);
  for (std::size_t i = 0; i < servers.size(); ++i) servers[i].id = "10.0.0." + std::to_string(i + 1) + ":80";
  balancer->OnServers(now, {ListUpdate::Kind::kFull, 1, servers});

  int served = 0;
  for (int i = 0; i < 8; ++i) {
    const std::string id = "r" + std::to_string(i);
    Request request;
    request.id = id;
    request.budget = read_class.deadline;
    balancer->OnRequest(now, request);
    for (int attempt = 0; !sink.sent.empty(); ++attempt) {
      const auto [request_id, server] = sink.sent.back();
      sink.sent.clear();
      Outcome outcome;
      outcome.request = request_id;
      outcome.attempt = attempt;
      outcome.elapsed = 20'000;
      outcome.result = server == servers[0].id ? Result::kRefused : Result::kSuccess;
      outcome.request_done = outcome.result == Result::kSuccess;  // a success reaches the client and ends it
      served += outcome.request_done;
      now += outcome.elapsed;
      balancer->OnOutcome(now, outcome);
      for (const auto& [token, delay] : std::exchange(sink.timers, {}))
        balancer->OnTimer(now += delay, token);
    }
  }
  std::printf("%d of 8 served, %zu held\n", served, balancer->requests_held());
  return served == 8 && balancer->requests_held() == 0 ? 0 : 1;
}
