#include "rig/cluster/mesh.hpp"

#include <boost/asio/buffer.hpp>
#include <utility>

#include "net/address.hpp"
#include "rig/process.hpp"
#include "rig/world.hpp"

namespace merlinrun::rig {
namespace {

using ErrorCode = boost::system::error_code;

Udp::endpoint AsUdp(const std::string& address) {
  const Tcp::endpoint at = rig::At(address);
  return {at.address(), at.port()};
}

std::string Text(const Udp::endpoint& at) {
  return net::FormatAddress(Tcp::endpoint(at.address(), at.port()));
}

}  // namespace

Mesh::Mesh(boost::asio::io_context& io, core::Loop& loop, std::size_t size, std::uint64_t seed)
    : loop_(loop), size_(size), random_(seed), faces_(size * size) {
  for (std::size_t i = 0; i < size; ++i) listens_.push_back(AsUdp(FreeAddress()));
  for (std::size_t viewer = 0; viewer < size; ++viewer)
    for (std::size_t seen = 0; seen < size; ++seen) {
      if (viewer == seen) continue;
      faces_[viewer * size + seen] = std::make_unique<Face>(
          Udp::socket(io, Udp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)));
      Receive(viewer, seen);
    }
}

Mesh::~Mesh() { *alive_ = false; }

std::string Mesh::ListenOf(std::size_t sidecar) const { return Text(listens_.at(sidecar)); }

std::vector<std::string> Mesh::PeersOf(std::size_t sidecar) const {
  std::vector<std::string> out;
  for (std::size_t seen = 0; seen < size_; ++seen)
    out.push_back(seen == sidecar ? ListenOf(sidecar) : Text(At(sidecar, seen).socket.local_endpoint()));
  return out;
}

// What a sidecar sends to another comes to the face that it sees of it.
void Mesh::Set(std::size_t from, std::size_t to, const Fault& fault) { At(from, to).fault = fault; }

void Mesh::SetBetween(std::size_t one, std::size_t other, const Fault& fault) {
  Set(one, other, fault);
  Set(other, one, fault);
}

void Mesh::SetAll(const Fault& fault) {
  for (const auto& face : faces_)
    if (face != nullptr) face->fault = fault;
}

void Mesh::SayAs(std::size_t sidecar, const std::string& bytes) {
  for (std::size_t to = 0; to < size_; ++to)
    if (to != sidecar) Deliver(sidecar, to, bytes);
}

void Mesh::Receive(std::size_t viewer, std::size_t seen) {
  Face& face = At(viewer, seen);
  face.socket.async_receive_from(boost::asio::buffer(face.buffer), face.from,
                                 [this, viewer, seen, alive = alive_](ErrorCode error, std::size_t size) {
                                   if (!*alive || error == boost::asio::error::operation_aborted) return;
                                   Face& here = At(viewer, seen);
                                   if (!error)
                                     Carry(viewer, seen, std::string(here.buffer.data(), size), here.fault);
                                   Receive(viewer, seen);
                                 });
}

void Mesh::Carry(std::size_t from, std::size_t to, std::string bytes, const Fault& fault) {
  std::uniform_real_distribution<double> unit;
  if (unit(random_) < fault.lose) return;
  const int times = unit(random_) < fault.twice ? 2 : 1;
  for (int i = 0; i < times; ++i) {
    const auto wait = static_cast<Micros>(unit(random_) * static_cast<double>(fault.hold));
    if (wait == 0) {
      Deliver(from, to, bytes);
      continue;
    }
    loop_.After(wait, [this, from, to, bytes, alive = alive_] {
      if (*alive) Deliver(from, to, bytes);
    });
  }
}

void Mesh::Deliver(std::size_t from, std::size_t to, const std::string& bytes) {
  ErrorCode ignored;  // nobody may listen there just now
  At(to, from).socket.send_to(boost::asio::buffer(bytes), listens_[to], 0, ignored);
}

}  // namespace merlinrun::rig
