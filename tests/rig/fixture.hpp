// Fixture with a sidecar, test servers and a scripted Diameter peer.
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
#include "rig/avp_codes.hpp"
#include "rig/test_environment.hpp"

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

// A Diameter connection to the sidecar on which the test can send anything.
class RawPeer {
 public:
  RawPeer(TestEnvironment& env, const Tcp::endpoint& sidecar, const std::string& host,
          std::uint32_t state_id = 1)
      : RawPeer(env, Connected(env, sidecar), host, state_id) {}
  RawPeer(TestEnvironment& env, diameter::ConnectionPtr connection, const std::string& host,
          std::uint32_t state_id = 1)
      : env_(env), connection_(std::move(connection)) {
    identity.host = host;
    identity.realm = "franchise.example";
    identity.state_id = state_id;
    identity.addresses = {diameter::AddressData(std::string("\177\0\0\1", 4))};
    identity.applications = {env.application.id};
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
    events.on_framing_error = [this](const diameter::MalformedMessage&) { framing_error = true; };
    events.on_closed = [this] { ended = true; };
    connection_->Start(std::move(events));
  }
  void Write(const std::string& bytes) { connection_->Write(bytes); }
  void Send(const Message& message) { Write(diameter::Encode(message.header, message.avps)); }
  void Reset() { connection_->Reset(); }
  // Exchanges capabilities; true if the sidecar accepts.
  bool ExchangeCapabilities() {
    Send(diameter::MakeCer(identity));
    return Next() && diameter::ResultCodeOf(Last()) == ResultCode::kSuccess;
  }
  // Waits for the next message that was not consumed yet.
  bool Next() {
    ++consumed;
    return env_.RunUntil([&] { return received.size() >= consumed; }, std::chrono::seconds(20));
  }
  bool WaitForClose() {
    return env_.RunUntil([&] { return ended; }, std::chrono::seconds(20));
  }
  const Message& Last() const { return received.at(consumed - 1); }
  ResultCode Code() const { return diameter::ResultCodeOf(Last()); }
  // Sends a message and returns the result code of the response.
  ResultCode Exchange(const Message& message) {
    Send(message);
    return Next() ? Code() : ResultCode::kNone;
  }

  Message Request(const std::string& traffic_class, std::uint32_t end_to_end, const std::string& id = "",
                  bool resend = false) {
    Message request;
    request.header = {diameter::kRequestBit | diameter::kProxiableBit, kCommand, env_.application.id,
                      ++last_hop_, end_to_end};
    if (resend) request.header.flags |= diameter::kRetransmitBit;
    AvpWriter avps;
    avps.Add(diameter::avp::kSessionId, identity.host + ";" + std::to_string(end_to_end));
    avps.Add(diameter::avp::kOriginHost, identity.host).Add(diameter::avp::kOriginRealm, identity.realm);
    avps.Add(diameter::avp::kDestinationRealm, "activation.example");
    avps.Add(kClassCode, traffic_class, diameter::kMandatoryBit, kVendor);
    const std::string name = id.empty() ? "raw-" + std::to_string(end_to_end) : id;
    avps.Add(kIdCode, name, 0, kVendor);
    if (traffic_class == "activate") avps.Add(kKeyCode, "k" + name, 0, kVendor);
    request.avps = avps.Take();
    for (const TrafficClass& c : env_.classes)
      if (c.name == traffic_class && !resend) env_.checker.OnRequest(name, c, env_.loop.Now());
    return request;
  }

  diameter::Identity identity;
  std::vector<Message> received;
  std::size_t consumed = 0;
  bool ended = false;
  bool framing_error = false;

 private:
  static diameter::ConnectionPtr Connected(TestEnvironment& env, const Tcp::endpoint& sidecar) {
    Tcp::socket socket(env.io);
    socket.connect(sidecar);
    return diameter::Connection::Plain(std::move(socket), {});
  }
  TestEnvironment& env_;
  const diameter::ConnectionPtr connection_;
  std::uint32_t last_hop_ = 0;
};

class RigTest : public ::testing::Test {
 protected:
  void Build(int servers, ServerOptions options = {}, std::string file = ExampleFile(),
             std::vector<TrafficClass> classes = ShortClasses()) {
    env = std::make_unique<TestEnvironment>(std::move(classes), servers, options, file);
    path = ::testing::TempDir() + "diameter-" + std::to_string(::getpid()) + ".toml";
    std::ofstream(path, std::ios::trunc) << file;
    net::Config config = net::ParseConfig(env->Config().dump(), "", "");
    config.listen = Loopback();
    config.diameter_file = path;
    config.recording_file = record;
    sidecar = std::make_unique<net::Sidecar>(env->io, std::move(config));
    sidecar->Start();
  }
  ~RigTest() override {
    if (!path.empty()) std::remove(path.c_str());
  }
  Tcp::endpoint DiameterEndpoint() { return sidecar->diameter()->downstream().address(); }
  std::unique_ptr<RawPeer> ConnectPeer(int number = 1, std::uint32_t state_id = 1) {
    auto peer = std::make_unique<RawPeer>(
        *env, DiameterEndpoint(), "backoffice-" + std::to_string(number) + ".franchise.example", state_id);
    EXPECT_TRUE(peer->ExchangeCapabilities());
    return peer;
  }
  std::unique_ptr<DiameterClient> Client(TrafficGenerator& traffic, std::size_t window, int number = 1) {
    auto client = std::make_unique<DiameterClient>(
        env->io, env->loop, env->checker, traffic, DiameterEndpoint(),
        "backoffice-" + std::to_string(number) + ".franchise.example", env->application.id, window);
    client->Start();
    EXPECT_TRUE(env->RunUntil([&] { return client->up(); }));
    return client;
  }
  // One line for each violation.
  std::string Violations() const {
    std::string out;
    for (const std::string& line : env->checker.violations()) out += line + "\n";
    return out;
  }
  std::string Overdue() const {
    std::string out;
    for (const std::string& id : env->checker.Overdue(env->loop.Now() + 60'000'000)) out += id + " ";
    return out;
  }
  const TrafficClass& FindClass(const std::string& name) const {
    return *std::find_if(env->classes.begin(), env->classes.end(),
                         [&](const TrafficClass& c) { return c.name == name; });
  }
  std::uint64_t Executions(const std::string& name) const { return env->checker.Summary()[name].executed; }
  std::uint64_t TotalArrivals() const {
    std::uint64_t sum = 0;
    for (const auto& server : env->servers) sum += server->arrived();
    return sum;
  }
  void SetScript(const Server::Script& script) {
    for (const auto& server : env->servers) server->set_script(script);
  }

  std::string path;
  std::string record;  // recording settings file, set before Build; empty: off
  std::unique_ptr<TestEnvironment> env;
  std::unique_ptr<net::Sidecar> sidecar;
};

}  // namespace merlinrun::rig::testing

#endif  // MERLINRUN_TESTS_RIG_FIXTURE_HPP_
