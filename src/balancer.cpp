// Implementation of the public interface: validates settings and passes events to src/policy. See
// docs/design.md.
#include "merlinrun/balancer.hpp"

#include <utility>

#include "policy/requests.hpp"

namespace merlinrun {

class Balancer::State : public Requests {
 public:
  using Requests::Requests;

  void OnZoneOverrides(std::span<const ZoneOverride> overrides) {
    c_.zones.OnOverrides(c_.now, overrides);
    c_.InvalidateCapacity();
  }
  std::uint64_t zones_epoch() const { return c_.zones.epoch(); }
  std::vector<BalancerSnapshot::Zone> TakeZoneSnapshots(Micros now) const {
    return c_.zones.TakeSnapshot(now);
  }
  BalancerSnapshot TakeSnapshot(Micros now) const {
    BalancerSnapshot out;
    for (std::size_t i = 0; i < out.pools.size(); ++i) out.pools[i] = admission_.TakeSnapshot(i, now);
    out.zones = c_.zones.TakeSnapshot(now);
    out.zones_epoch = c_.zones.epoch();
    for (const auto& [id, server] : servers_.all()) {
      if (!server.listed) continue;
      BalancerSnapshot::Server entry{id,
                                     server.info.state,
                                     false,
                                     server.in_flight,
                                     server.latency_ratio,
                                     server.error_rate,
                                     server.consecutive_ejections};
      entry.ejected_for = std::max<Micros>(server.ejected_until - now, 0);
      entry.capacity_share = cold_start_.CapacityShare(server);
      const Pool& pool = c_.pools[server.pool];
      for (std::size_t i = 0; i < Width(pool, c_.set); ++i) entry.in_window |= &pool.InWindow(i) == &server;
      out.servers.push_back(entry);
    }
    return out;
  }
};

std::unique_ptr<Balancer> Balancer::Create(const Settings& s, std::uint64_t seed, Micros now,
                                           ActionSink& sink, std::string& error) {
  error.clear();
  if (s.classes.empty()) error = "no request classes";
  for (const RequestClass& c : s.classes) {
    if (c.latency_target < 0 || c.deadline < 0 || c.dedup_window < 0)
      error = "negative time in class " + c.name;
    if (c.retry_safety < RetrySafety::kSafe || c.retry_safety > RetrySafety::kNever)
      error = "unknown repeat kind in class " + c.name;
    if (c.dedup_scope < DedupScope::kAll || c.dedup_scope > DedupScope::kCell)
      error = "unknown group in class " + c.name;
    if (!(c.value >= 0)) error = "negative worth in class " + c.name;
  }
  if (s.max_attempts < 1) error = "max_attempts under 1";
  if (s.tuning.window_width < 1 || s.tuning.retry_base < 0 || s.tuning.retry_cap < 0)
    error = "tuning: below its least";
  if (!(s.tuning.windows_per_server >= 0)) error = "tuning: windows_per_server under 0";
  if (!(s.tuning.jitter >= 0 && s.tuning.jitter <= 1)) error = "tuning: jitter outside [0, 1]";
  if (!(s.tuning.in_flight_shed_full > s.tuning.in_flight_shed_start))
    error = "tuning: out_full not above out_from";
  if (s.sidecar_count < 1 || s.sidecar_index >= s.sidecar_count)
    error = "rank outside the number of sidecars";
  if (!(s.cold_start_capacity > 0 && s.cold_start_capacity <= 1)) error = "cold_share outside (0, 1]";
  if (!(s.overload_factor > 0)) error = "overload_factor not above 0";
  if (s.warmup_time < 0 || s.drain_grace < 0 || s.overload_crash_time < 0 || s.tick < 0 ||
      s.list_retry_cap < 0 || s.max_retry_after < 0 || s.hold_after_uncertain_outcome < 0)
    error = "negative time";
  if (!error.empty()) return nullptr;
  return std::unique_ptr<Balancer>(new Balancer(std::make_unique<State>(s, seed, now, sink)));
}

Balancer::Balancer(std::unique_ptr<State> state) : state_(std::move(state)) {}
Balancer::~Balancer() = default;

void Balancer::OnServers(Micros now, const ListUpdate& update) {
  state_->Advance(now);
  state_->OnServers(update);
}
void Balancer::OnRequest(Micros now, const Request& request) {
  state_->Advance(now);
  state_->OnRequest(request);
}
void Balancer::OnUploadComplete(Micros now, std::string_view request, Micros budget) {
  state_->Advance(now);
  state_->OnUploadComplete(request, budget);
}
void Balancer::OnResponseStarted(Micros now, std::string_view, int) {
  state_->Advance(now);  // only the outcome matters
}
void Balancer::OnOutcome(Micros now, const Outcome& outcome) {
  state_->Advance(now);
  state_->OnOutcome(outcome);
}
void Balancer::OnClientGone(Micros now, std::string_view request) {
  state_->Advance(now);
  state_->OnClientGone(request);
}
void Balancer::OnTimer(Micros now, std::uint64_t token) {
  state_->Advance(now);
  state_->OnTimer(token);
}
void Balancer::OnProbeResult(Micros now, const ProbeResult&) { state_->Advance(now); }
void Balancer::OnPeerMessage(Micros now, std::uint32_t, std::string_view) { state_->Advance(now); }
void Balancer::OnZonePeerSummary(Micros now, const ZonePeerSummary& report) {
  state_->Advance(now);
  state_->OnZonePeerSummary(report);
}
void Balancer::OnZoneOverrides(Micros now, std::span<const ZoneOverride> overrides) {
  state_->Advance(now);
  state_->OnZoneOverrides(overrides);
}
std::vector<BalancerSnapshot::Zone> Balancer::TakeZoneSnapshots(Micros now) const {
  return state_->TakeZoneSnapshots(now);
}
std::uint64_t Balancer::zones_epoch() const { return state_->zones_epoch(); }
BalancerSnapshot Balancer::TakeSnapshot(Micros now) const { return state_->TakeSnapshot(now); }
std::size_t Balancer::requests_held() const { return state_->size(); }

}  // namespace merlinrun
