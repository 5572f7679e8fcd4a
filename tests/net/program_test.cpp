// Tests the program as a separate process.
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>

#include "loopback.hpp"

namespace merlinrun::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

class ProgramTest : public ::testing::Test {
 protected:
  ProgramTest() : discovery_(io, SendsList(List(7, true, {}))) {
    Tcp::acceptor free_port(io, Loopback());
    listen = free_port.local_endpoint();
    char name[] = "/tmp/fennelhollow-test-XXXXXX";
    const int file = ::mkstemp(name);
    ::close(file);
    path = name;
  }
  ~ProgramTest() override {
    if (pid > 0) {
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
    }
    ::unlink(path.c_str());
  }

  static std::function<void(Peer&)> SendsList(const nlohmann::json& list) {
    return [list](Peer& peer) {
      if (peer.received.find("stream=1") == std::string::npos)
        peer.Write(Reply("200 OK", list.dump()));
      else
        peer.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    };
  }
  void WriteConfig(const std::string& text) { std::ofstream(path, std::ios::trunc) << text; }
  std::string ConfigText(const Tcp::endpoint& discovery, const std::vector<nlohmann::json>& instances) const {
    nlohmann::json json = ConfigJson(discovery, instances);
    json["listen"] = net::FormatAddress(listen);
    return json.dump();
  }
  void Spawn() {
    const std::string config = "EDGE_CONFIG=" + path;
    const std::string discovery_variable = "EDGE_DISCOVERY=" + net::FormatAddress(discovery_.address);
    const std::vector<const char*> environment = {config.c_str(), discovery_variable.c_str(), nullptr};
    const std::vector<const char*> arguments = {FENNELHOLLOW_PROGRAM, nullptr};
    ASSERT_EQ(::posix_spawn(&pid, FENNELHOLLOW_PROGRAM, nullptr, nullptr,
                            const_cast<char* const*>(arguments.data()),
                            const_cast<char* const*>(environment.data())),
              0);
  }
  void Start() {
    Spawn();
    ASSERT_TRUE(RunUntil(io, [&] { return !StatusOf("GET /ready HTTP/1.1\r\n\r\n").empty(); }));
  }
  // The status of the response; empty if there is none.
  std::string StatusOf(const std::string& text) {
    auto client = std::make_shared<Peer>(Tcp::socket(io));
    ErrorCode error;
    client->socket.connect(listen, error);
    if (error) return "";
    client->Read();
    client->Write(text);
    RunUntil(io, [&] { return client->requests() > 0 || client->ended; });
    return client->requests() > 0 ? client->received.substr(9, 3) : "";
  }
  bool Runs() { return ::waitpid(pid, nullptr, WNOHANG) == 0; }

  asio::io_context io;
  ScriptedServer discovery_;
  Tcp::endpoint listen;
  std::string path;
  pid_t pid = 0;
};

// On SIGHUP the discovery address of the file takes precedence over EDGE_DISCOVERY. Invalid configurations
// change nothing.
TEST_F(ProgramTest, SighupSwitchesToTheDiscoveryOfTheNewConfiguration) {
  ScriptedServer server(io, Serves("ok"));
  ScriptedServer other(io, SendsList(List(2, true, {Entry("s1", server.address)})));
  WriteConfig(ConfigText(other.address, {}));  // at the start EDGE_DISCOVERY takes precedence
  Start();
  ASSERT_TRUE(RunUntil(io, [&] { return discovery_.requests() >= 2; }));
  EXPECT_TRUE(other.peers.empty());
  WriteConfig("{nonsense");
  ::kill(pid, SIGHUP);
  ::kill(pid, SIGHUP);
  RunFor(io, 50ms);
  EXPECT_TRUE(Runs());
  EXPECT_FALSE(discovery_.peers.back()->ended);
  WriteConfig(ConfigText(other.address, {}));
  ::kill(pid, SIGHUP);
  ASSERT_TRUE(RunUntil(io, [&] { return StatusOf("GET /ready HTTP/1.1\r\n\r\n") == "200"; }));
  EXPECT_EQ(StatusOf("GET /api HTTP/1.1\r\nReq-Id: r1\r\nReq-Kind: look\r\n\r\n"), "200");
  EXPECT_TRUE(RunUntil(io, [&] { return discovery_.peers.back()->ended; }));
}

TEST_F(ProgramTest, WaitsForAnAddressThatAnotherProcessHolds) {
  Tcp::acceptor held(io, listen);
  ::fcntl(held.native_handle(), F_SETFD, FD_CLOEXEC);  // else the program inherits it
  WriteConfig(ConfigText(discovery_.address, {}));
  Spawn();
  RunFor(io, 600ms);
  ASSERT_TRUE(Runs());
  held.close();
  EXPECT_TRUE(RunUntil(io, [&] { return !StatusOf("GET /ready HTTP/1.1\r\n\r\n").empty(); }));
}

TEST_F(ProgramTest, SigtermEndsTheWaitForAnAddress) {
  const Tcp::acceptor held(io, listen);
  WriteConfig(ConfigText(discovery_.address, {}));
  Spawn();
  RunFor(io, 600ms);
  ::kill(pid, SIGTERM);
  int status = -1;
  EXPECT_TRUE(RunUntil(io, [&] { return ::waitpid(pid, &status, WNOHANG) == pid; }));
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  pid = 0;
}

}  // namespace
}  // namespace merlinrun::net
