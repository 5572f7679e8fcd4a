#include <exception>
#include <utility>

#include "model/sidecars.hpp"

namespace merlinrun::model {
namespace {

class OneSidecar : private ActionSink {
 public:
  OneSidecar(Actions& actions, std::uint32_t number, const Settings& settings, std::uint64_t seed, Micros now)
      : actions_(actions), number_(number) {
    std::string error;
    balancer_ = Balancer::Create(settings, seed, now, *this, error);
    if (balancer_ == nullptr) actions_.Fault("settings: " + error);
  }
  template <typename Tell>
  void Run(Tell tell) {
    if (balancer_ == nullptr) return;
    try {
      tell(*balancer_);
    } catch (const std::exception& error) {
      actions_.Fault(error.what());
    }
  }

 private:
  void Send(std::string_view request, const std::string& server, Micros timeout) override {
    actions_.Send(number_, request, server, timeout);
  }
  void Cancel(std::string_view request, int attempt) override { actions_.Cancel(number_, request, attempt); }
  void Refuse(std::string_view request, Micros after) override { actions_.Refuse(number_, request, after); }
  void Fail(std::string_view request) override { actions_.Fail(number_, request); }
  void SetTimer(Micros delay, std::uint64_t token) override { actions_.SetTimer(number_, delay, token); }
  void Subscribe() override {}  // the model's lists are pushed
  void Log(std::string_view) override {}

  Actions& actions_;
  const std::uint32_t number_;
  std::unique_ptr<Balancer> balancer_;
};

class Module : public Sidecars {
 public:
  explicit Module(Actions& actions) : actions_(actions) {}

  void Start(std::uint32_t sidecar, const Settings& settings, std::uint64_t seed, Micros now) override {
    if (all_.size() <= sidecar) all_.resize(sidecar + 1);
    all_[sidecar] = std::make_unique<OneSidecar>(actions_, sidecar, settings, seed, now);
  }
  void Stop(std::uint32_t sidecar, Micros) override { all_[sidecar] = nullptr; }
  void OnServers(std::uint32_t sidecar, Micros now, const ListUpdate& update) override {
    all_[sidecar]->Run([&](Balancer& b) { b.OnServers(now, update); });
  }
  void OnRequest(std::uint32_t sidecar, Micros now, const Request& request) override {
    all_[sidecar]->Run([&](Balancer& b) { b.OnRequest(now, request); });
  }
  void OnOutcome(std::uint32_t sidecar, Micros now, const Outcome& outcome, std::string_view) override {
    all_[sidecar]->Run([&](Balancer& b) { b.OnOutcome(now, outcome); });
  }
  void OnClientGone(std::uint32_t sidecar, Micros now, std::string_view request) override {
    all_[sidecar]->Run([&](Balancer& b) { b.OnClientGone(now, request); });
  }
  void OnTimer(std::uint32_t sidecar, Micros now, std::uint64_t token) override {
    all_[sidecar]->Run([&](Balancer& b) { b.OnTimer(now, token); });
  }
  void Flush(Micros) override {}

 private:
  Actions& actions_;
  std::vector<std::unique_ptr<OneSidecar>> all_;
};

}  // namespace

std::unique_ptr<Sidecars> InProcess(Actions& actions) { return std::make_unique<Module>(actions); }

}  // namespace merlinrun::model
