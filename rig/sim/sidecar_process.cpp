#include "rig/sim/sidecar_process.hpp"

#include <algorithm>
#include <utility>

#include "mesh/transport/codec.hpp"

namespace fennelhollow::sim {

namespace {

constexpr Micros kTick = 50 * kMillisecond;
constexpr Micros kDialTimeout = 500 * kMillisecond;

push::Client::Settings ClientSettings(const Address& self, std::uint64_t incarnation,
                                      std::vector<Address> seeds) {
  push::Client::Settings out;
  out.sidecar = {self, incarnation, self, "zone", "service"};
  out.seeds = std::move(seeds);
  out.seed = incarnation * 17 + 3;
  return out;
}

}  // namespace

SidecarProcess::SidecarProcess(EventQueue& events, Network& network, Address self, std::uint64_t incarnation,
                               std::vector<Address> seeds,
                               std::function<void(std::uint64_t, const std::string&)> on_state)
    : events_(events),
      network_(network),
      self_(std::move(self)),
      incarnation_(incarnation),
      on_state_(std::move(on_state)),
      client_(ClientSettings(self_, incarnation, std::move(seeds)), *this) {
  network_.Start(self_, *this, incarnation_);
  registry::Server server;
  server.id = "server-" + self_ + "-" + std::to_string(incarnation_);
  server.service = "service";
  server.address = self_;
  server.sidecar_address = self_;
  server.slots = 4;
  client_.SetServers(events_.now(), {server});
  Tick();
}

std::string SidecarProcess::DebugString() const {
  std::string text = "subscribed to " + client_.subscribed_core() + ", hears";
  for (const std::string& core : client_.ResponsiveCores(events_.now())) text += " " + core;
  text += ", knows";
  for (const std::string& core : client_.cores()) text += " " + core;
  return text;
}

void SidecarProcess::Tick() {
  client_.OnTick(events_.now());
  UpdateLinks();
  network_.Deliver(events_.now() + kTick, self_, incarnation_, [this] { Tick(); });
}

void SidecarProcess::UpdateLinks() {
  const std::vector<std::string> wanted = client_.DesiredLinks(events_.now());
  for (auto it = links_.begin(); it != links_.end();) {
    if (std::find(wanted.begin(), wanted.end(), it->first) != wanted.end()) {
      ++it;
      continue;
    }
    network_.Close(it->second, self_);
    it = links_.erase(it);
  }
  for (const std::string& core : wanted) {
    if (links_.count(core) == 0) links_[core] = network_.Dial(self_, core, kDialTimeout);
  }
}

const Address* SidecarProcess::CoreFor(Network::LinkId link) const {
  const auto it =
      std::find_if(links_.begin(), links_.end(), [&](const auto& item) { return item.second == link; });
  return it == links_.end() ? nullptr : &it->first;
}

void SidecarProcess::OnUp(Network::LinkId link) {
  if (const Address* core = CoreFor(link)) client_.OnLinkUp(events_.now(), Address(*core));
}

void SidecarProcess::OnFrame(Network::LinkId link, const std::string& frame) {
  const Address* core = CoreFor(link);
  const auto update = transport::Unpack<push::CoreUpdate>(frame);
  if (core != nullptr && update.ok()) client_.OnUpdate(events_.now(), Address(*core), *update);
}

void SidecarProcess::OnDown(Network::LinkId link, bool) {
  const Address* core = CoreFor(link);
  if (core == nullptr) return;
  const Address address = *core;
  links_.erase(address);
  client_.OnLinkDown(events_.now(), address);
}

void SidecarProcess::Send(const std::string& address, const push::SidecarReport& report) {
  if (const auto it = links_.find(address); it != links_.end())
    network_.Send(it->second, self_, transport::Pack(report));
}

}  // namespace fennelhollow::sim
