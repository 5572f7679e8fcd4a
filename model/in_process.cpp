#include <exception>
#include <utility>

#include "model/sidecars.hpp"

namespace merlinrun::model {
namespace {

// An action, deferred to Flush. The adapter program's actions also arrive only after a batch, so both kinds
// of sides see the same order of events.
struct PendingAction {
  enum class Kind { kSend, kCancel, kRefuse, kFail, kTimer } kind = Kind::kSend;
  std::uint32_t sidecar = 0;
  std::string request;
  std::string server;
  std::int64_t number = 0;  // timeout, attempt number, retry-after or delay
  std::uint64_t token = 0;
};

class InProcessSidecar : private ActionSink {
 public:
  InProcessSidecar(std::vector<PendingAction>& actions, Actions& sink, std::uint32_t number,
                   const Settings& settings, std::uint64_t seed, Micros now)
      : pending_(actions), sink_(sink), sidecar_(number) {
    std::string error;
    balancer_ = Balancer::Create(settings, seed, now, *this, error);
    if (balancer_ == nullptr) sink_.Fault("settings: " + error);
  }
  template <typename Call>
  void Run(Call call) {
    if (balancer_ == nullptr) return;
    try {
      call(*balancer_);
    } catch (const std::exception& error) {
      sink_.Fault(error.what());
    }
  }

 private:
  using Kind = PendingAction::Kind;
  void Send(std::string_view request, const std::string& server, Micros timeout) override {
    pending_.push_back({Kind::kSend, sidecar_, std::string(request), server, timeout, 0});
  }
  void Cancel(std::string_view request, int attempt) override {
    pending_.push_back({Kind::kCancel, sidecar_, std::string(request), "", attempt, 0});
  }
  void Refuse(std::string_view request, Micros retry_after, Cause) override {
    pending_.push_back({Kind::kRefuse, sidecar_, std::string(request), "", retry_after, 0});
  }
  void Fail(std::string_view request, Cause) override {
    pending_.push_back({Kind::kFail, sidecar_, std::string(request), "", 0, 0});
  }
  void SetTimer(Micros delay, std::uint64_t token) override {
    pending_.push_back({Kind::kTimer, sidecar_, "", "", delay, token});
  }
  void Subscribe() override {}  // lists are pushed
  void Log(std::string_view) override {}

  std::vector<PendingAction>& pending_;
  Actions& sink_;
  const std::uint32_t sidecar_;
  std::unique_ptr<Balancer> balancer_;
};

class InProcessSidecars : public Sidecars {
 public:
  explicit InProcessSidecars(Actions& sink) : sink_(sink) {}

  void Start(std::uint32_t sidecar, const Settings& settings, std::uint64_t seed, Micros now) override {
    if (sidecars_.size() <= sidecar) sidecars_.resize(sidecar + 1);
    sidecars_[sidecar] = std::make_unique<InProcessSidecar>(pending_, sink_, sidecar, settings, seed, now);
  }
  void Stop(std::uint32_t sidecar, Micros) override { sidecars_[sidecar] = nullptr; }
  void OnServers(std::uint32_t sidecar, Micros now, const ListUpdate& update) override {
    sidecars_[sidecar]->Run([&](Balancer& b) { b.OnServers(now, update); });
  }
  void OnRequest(std::uint32_t sidecar, Micros now, const Request& request) override {
    sidecars_[sidecar]->Run([&](Balancer& b) { b.OnRequest(now, request); });
  }
  void OnOutcome(std::uint32_t sidecar, Micros now, const Outcome& outcome, std::string_view) override {
    sidecars_[sidecar]->Run([&](Balancer& b) { b.OnOutcome(now, outcome); });
  }
  void OnClientGone(std::uint32_t sidecar, Micros now, std::string_view request) override {
    sidecars_[sidecar]->Run([&](Balancer& b) { b.OnClientGone(now, request); });
  }
  void OnTimer(std::uint32_t sidecar, Micros now, std::uint64_t token) override {
    sidecars_[sidecar]->Run([&](Balancer& b) { b.OnTimer(now, token); });
  }

  void Flush(Micros) override {
    for (const PendingAction& action : pending_) Execute(action);
    pending_.clear();
  }

 private:
  void Execute(const PendingAction& deferred) {
    switch (deferred.kind) {
      case PendingAction::Kind::kSend:
        return sink_.Send(deferred.sidecar, deferred.request, deferred.server, deferred.number);
      case PendingAction::Kind::kCancel:
        return sink_.Cancel(deferred.sidecar, deferred.request, static_cast<int>(deferred.number));
      case PendingAction::Kind::kRefuse:
        return sink_.Refuse(deferred.sidecar, deferred.request, deferred.number);
      case PendingAction::Kind::kFail:
        return sink_.Fail(deferred.sidecar, deferred.request);
      case PendingAction::Kind::kTimer:
        return sink_.SetTimer(deferred.sidecar, deferred.number, deferred.token);
    }
  }

  Actions& sink_;
  std::vector<PendingAction> pending_;
  std::vector<std::unique_ptr<InProcessSidecar>> sidecars_;
};

}  // namespace

std::unique_ptr<Sidecars> MakeInProcessSidecars(Actions& actions) {
  return std::make_unique<InProcessSidecars>(actions);
}

}  // namespace merlinrun::model
