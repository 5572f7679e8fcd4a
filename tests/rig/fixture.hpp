// What the tests on the rig share: a world, a sidecar in it, and a Diameter peer that does as it is told.
#ifndef MERLINRUN_TESTS_RIG_FIXTURE_HPP_
#define MERLINRUN_TESTS_RIG_FIXTURE_HPP_

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "net/config.hpp"
#include "net/sidecar.hpp"
#include "rig/names.hpp"
#include "rig/world.hpp"

namespace merlinrun::rig::testing {

using diameter::AvpWriter;
using diameter::Message;
using diameter::ResultCode;

inline void Replace(std::string& text, const std::string& from, const std::string& to) {
  const auto at = text.find(from);
  ASSERT_NE(at, std::string::npos) << from;
  text.replace(at, from.size(), to);
}

inline Tcp::endpoint Loopback() { return {boost::asio::ip::make_address("127.0.0.1"), 0}; }

inline std::string ExampleFile() { return ExampleDiameterFile("127.0.0.1:0"); }

// A connection to the sidecar over which the test says what it likes.
class RawPeer {
 public:
  RawPeer(World& world, const Tcp::endpoint& sidecar, const std::string& host, std::uint32_t state_id = 1)
      : RawPeer(world, Connected(world, sidecar), host, state_id) {}
  RawPeer(World& world, diameter::ConnectionPtr connection, const std::string& host,
          std::uint32_t state_id = 1)
      : world_(world), connection_(std::move(connection)) {
    identity.host = host;
    identity.realm = "franchise.example";
    identity.state_id = state_id;
    identity.addresses = {diameter::AddressData(std::string("\177\0\0\1", 4))};
    identity.applications = {world.application.id};
    Listen();
  }
  ~RawPeer() { connection_->Close(); }
  RawPeer(const RawPeer&) = delete;
  RawPeer& operator=(const RawPeer&) = delete;

  void Listen() {
    diameter::Connection::Events events;
    events.on_frame = [this](std::string_view frame) {
      received.push_back(std::get<Message>(diameter::Decode(frame)));
    };
    events.on_framing_error = [this](const diameter::MalformedMessage&) { broken = true; };
    events.on_closed = [this] { ended = true; };
    connection_->Start(std::move(events));
  }
  void Write(const std::string& bytes) { connection_->Write(bytes); }
  void Send(const Message& message) { Write(diameter::Encode(message.header, message.avps)); }
  void Reset() { connection_->Reset(); }
  // Says who it is; true if it was let in.
  bool Introduce() {
    Send(diameter::MakeCer(identity));
    return Next() && diameter::ResultCodeOf(Last()) == ResultCode::kSuccess;
  }
  // Waits for one more message than were looked at before.
  bool Next() {
    ++looked_at;
    return world_.RunUntil([&] { return received.size() >= looked_at; }, std::chrono::seconds(20));
  }
  bool Ends() {
    return world_.RunUntil([&] { return ended; }, std::chrono::seconds(20));
  }
  const Message& Last() const { return received.at(looked_at - 1); }
  ResultCode Code() const { return diameter::ResultCodeOf(Last()); }
  // What it is told in answer to a message.
  ResultCode Ask(const Message& message) {
    Send(message);
    return Next() ? Code() : ResultCode::kNone;
  }

  Message Request(const std::string& its_class, std::uint32_t end_to_end, const std::string& id = "",
                  bool resend = false) {
    Message request;
    request.header = {diameter::kRequestBit | diameter::kProxiableBit, kCommand, world_.application.id,
                      ++last_hop_, end_to_end};
    if (resend) request.header.flags |= diameter::kRetransmitBit;
    AvpWriter avps;
    avps.Add(diameter::avp::kSessionId, identity.host + ";" + std::to_string(end_to_end));
    avps.Add(diameter::avp::kOriginHost, identity.host).Add(diameter::avp::kOriginRealm, identity.realm);
    avps.Add(diameter::avp::kDestinationRealm, "activation.example");
    avps.Add(kClassCode, its_class, diameter::kMandatoryBit, kVendor);
    const std::string name = id.empty() ? "raw-" + std::to_string(end_to_end) : id;
    avps.Add(kIdCode, name, 0, kVendor);
    if (its_class == "activate") avps.Add(kKeyCode, "k" + name, 0, kVendor);
    request.avps = avps.Take();
    for (const WorkClass& c : world_.classes)
      if (c.name == its_class && !resend) world_.ledger.Asked(name, c, world_.loop.Now());
    return request;
  }

  diameter::Identity identity;
  std::vector<Message> received;
  std::size_t looked_at = 0;
  bool ended = false;
  bool broken = false;

 private:
  static diameter::ConnectionPtr Connected(World& world, const Tcp::endpoint& sidecar) {
    Tcp::socket socket(world.io);
    socket.connect(sidecar);
    return diameter::Connection::Plain(std::move(socket), {});
  }
  World& world_;
  const diameter::ConnectionPtr connection_;
  std::uint32_t last_hop_ = 0;
};

class RigTest : public ::testing::Test {
 protected:
  void Build(int servers, ServerOptions options = {}, std::string file = ExampleFile(),
             std::vector<WorkClass> classes = ShortClasses()) {
    world = std::make_unique<World>(std::move(classes), servers, options, file);
    path = ::testing::TempDir() + "diameter-" + std::to_string(::getpid()) + ".toml";
    std::ofstream(path, std::ios::trunc) << file;
    net::Config config = net::ParseConfig(world->Config().dump(), "", "");
    config.listen = Loopback();
    config.diameter_file = path;
    config.recording_file = record;
    sidecar = std::make_unique<net::Sidecar>(world->io, std::move(config));
    sidecar->Start();
  }
  ~RigTest() override {
    if (!path.empty()) std::remove(path.c_str());
  }
  Tcp::endpoint Port() { return sidecar->diameter()->downstream().address(); }
  std::unique_ptr<RawPeer> Raw(int number = 1, std::uint32_t state_id = 1) {
    auto peer = std::make_unique<RawPeer>(
        *world, Port(), "backoffice-" + std::to_string(number) + ".franchise.example", state_id);
    EXPECT_TRUE(peer->Introduce());
    return peer;
  }
  std::unique_ptr<DiameterClient> Client(Traffic& traffic, std::size_t window, int number = 1) {
    auto client = std::make_unique<DiameterClient>(
        world->io, world->loop, world->ledger, traffic, Port(),
        "backoffice-" + std::to_string(number) + ".franchise.example", world->application.id, window);
    client->Start();
    EXPECT_TRUE(world->RunUntil([&] { return client->up(); }));
    return client;
  }
  // What was broken, a line each.
  std::string Broken() const {
    std::string out;
    for (const std::string& line : world->ledger.broken()) out += line + "\n";
    return out;
  }
  std::string Owed() const {
    std::string out;
    for (const std::string& id : world->ledger.Owed(world->loop.Now() + 60'000'000)) out += id + " ";
    return out;
  }
  const WorkClass& Class(const std::string& name) const {
    return *std::find_if(world->classes.begin(), world->classes.end(),
                         [&](const WorkClass& c) { return c.name == name; });
  }
  std::uint64_t Ran(const std::string& name) const { return world->ledger.Rows()[name].ran; }
  std::uint64_t Arrived() const {
    std::uint64_t sum = 0;
    for (const auto& server : world->servers) sum += server->arrived();
    return sum;
  }
  void Script(const Server::Script& script) {
    for (const auto& server : world->servers) server->set_script(script);
  }

  std::string path;
  std::string record;  // the operator's recording file, set before Build; empty: off
  std::unique_ptr<World> world;
  std::unique_ptr<net::Sidecar> sidecar;
};

}  // namespace merlinrun::rig::testing

#endif  // MERLINRUN_TESTS_RIG_FIXTURE_HPP_
