// What the cases have in common: a deployment with three cores, a sidecar and a server for each service
// named, a first configuration, and clients that ask at a steady rate.
#ifndef SECOND_REVIEW_STAND_INS_SCENARIO_HPP_
#define SECOND_REVIEW_STAND_INS_SCENARIO_HPP_

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "stand_ins/application_server.hpp"
#include "stand_ins/case_runner.hpp"
#include "stand_ins/client.hpp"
#include "stand_ins/operator.hpp"

namespace review {

using fennelhollow::rig::Sleep;

// core-1 to core-3, and sidecar-1, sidecar-2, ... beside a server of each of these services.
std::vector<MachineOptions> CoresAndSidecars(const std::vector<std::string>& services);

class Scenario {
 public:
  Scenario(CaseContext context, const std::vector<MachineOptions>& machines)
      : context_(context), deployment_(machines) {}
  virtual ~Scenario() = default;
  Scenario(const Scenario&) = delete;
  Scenario& operator=(const Scenario&) = delete;
  virtual asio::awaitable<Verdict> Run() = 0;
  // Whether the machine kept this program waiting so long that its times can't be judged.
  bool MachineTooSlow() const;

 protected:
  // Starts the processes and a server on each of their machines, and has the operator send the routes,
  // services and tenants. True once all sidecars are ready and know the servers.
  asio::awaitable<bool> Start(std::vector<nlohmann::json> items);
  // Sends probes from the first sidecar until each kind has been served and the servers of these machines
  // have all run one, so that a slow start is not taken for a broken rule. False if that takes too long.
  asio::awaitable<bool> WaitUntilServed(std::vector<Call> probes, std::vector<std::string> machines);
  // Starts the server of a machine.
  void StartServer(const Machine& machine);
  // Changes what is special about a server before it starts.
  virtual void Configure(ServerOptions&) {}
  // The server of this machine begins to run a request.
  virtual void OnRun(const std::string& /*machine*/) {}

  // Calls `ask` `each` times at every `pause`, without waiting for the answers, until StopAsking.
  void AskSteadily(milliseconds pause, int each, std::function<asio::awaitable<void>()> ask);
  void StopAsking() { asking_ = false; }
  // Writes a try that has ended to the record.
  void RecordTry(const Try& ended, const std::string& where);

  CaseContext context_;
  Deployment deployment_;
  std::map<std::string, std::shared_ptr<ApplicationServer>> servers_;  // by machine
  std::map<std::string, std::uint64_t> runs_;                          // by machine

 private:
  asio::awaitable<void> Ask(milliseconds pause, int each, std::function<asio::awaitable<void>()> ask);
  // How late a timer of this program was at most.
  static asio::awaitable<void> WatchTimers(asio::io_context& io, std::shared_ptr<Clock::duration> most_late);
  const std::shared_ptr<Clock::duration> most_late_ = std::make_shared<Clock::duration>(0);
  bool asking_ = true;
};

// Number of tries by status.
using StatusCounts = std::map<int, std::uint64_t>;
std::string TextOf(const StatusCounts& statuses);

// Requests of one kind, for the rules of the gate.
struct KindOfRequest {
  std::string name;
  Call call;
  std::uint64_t asked = 0, served = 0;
  StatusCounts statuses = {};
  double ServedShare() const {
    return asked == 0 ? 1 : static_cast<double>(served) / static_cast<double>(asked);
  }
};
// Gate: refused and failed requests of at most 60% of those owed; each kind of request has a floor of the
// worth earned, which the served share can't be below without breaking it. Starved: a kind of request is
// served less than a quarter as often as all requests. Writes the shares to the record.
Verdict JudgeGate(Record& record, const std::vector<const KindOfRequest*>& kinds);

// Plays the scenario that `make` makes, from main.
int RunScenario(int argc, char** argv, std::function<std::shared_ptr<Scenario>(CaseContext)> make);

template <class S>
int RunScenario(int argc, char** argv) {
  return RunScenario(argc, argv, [](CaseContext context) { return std::make_shared<S>(context); });
}

}  // namespace review

#endif  // SECOND_REVIEW_STAND_INS_SCENARIO_HPP_
