// Diameter over TLS: who has no certificate, another's, or one by a stranger, is turned away.
#include "diameter/io/tls.hpp"

#include "certificates.hpp"
#include "fixture.hpp"

namespace merlinrun::rig {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

class TlsTest : public RigTest {
 protected:
  static constexpr const char* kHost = "backoffice-1.franchise.example";

  void BuildWithTls() {
    const auto files = certificates.Make("n0.sidecars.example");
    std::string file = ExampleFile();
    Replace(file, "# tls_listen = \"127.0.0.1:5868\"", "tls_listen = \"127.0.0.1:0\"");
    Replace(file, "# [tls]", "[tls]");
    Replace(file, "# certificate = \"deploy/tls/sidecar.pem\"",
            "certificate = \"" + files.certificate + "\"");
    Replace(file, "# key = \"deploy/tls/sidecar.key\"", "key = \"" + files.key + "\"");
    Replace(file, "# authorities = \"deploy/tls/authorities.pem\"",
            "authorities = \"" + files.authorities + "\"");
    Replace(file, "tls = false", "tls = true");  // the first client
    Build(1, {}, file);
  }
  // A connection with these certificates, or null; `to`: the name that the sidecar's has to have.
  diameter::ConnectionPtr Dial(const diameter::TlsFiles& files,
                               const std::string& to = "n0.sidecars.example") {
    const diameter::Tls tls(world->io, files, {});
    bool done = false;
    diameter::ConnectionPtr got;
    tls.Connector()(sidecar->diameter()->downstream().address(1), to,
                    [&](diameter::ConnectionPtr connection) {
                      done = true;
                      got = std::move(connection);
                    });
    EXPECT_TRUE(world->RunUntil([&] { return done; }));
    return got;
  }
  // What a CER in this name is told; none if the connection ends without a word.
  ResultCode Greeting(const diameter::ConnectionPtr& connection, const std::string& host) {
    RawPeer peer(*world, connection, host);
    peer.Send(diameter::MakeCer(peer.identity));
    world->RunUntil([&] { return peer.ended || !peer.received.empty(); });
    return peer.received.empty() ? ResultCode::kNone : diameter::ResultCodeOf(peer.received[0]);
  }
  Certificates certificates;
};

TEST_F(TlsTest, ServesWhoHasACertificateOfItsName) {
  BuildWithTls();
  RawPeer peer(*world, Dial(certificates.Make(kHost)), kHost);
  ASSERT_TRUE(peer.Introduce());
  EXPECT_EQ(peer.Ask(peer.Request("number-port", 1)), ResultCode::kSuccess);
  EXPECT_EQ(Broken(), "");
}

TEST_F(TlsTest, ACertificateOfAnotherNameIsNoIntroduction) {
  BuildWithTls();
  EXPECT_EQ(Greeting(Dial(certificates.Make("backoffice-2.franchise.example")), kHost),
            ResultCode::kUnknownPeer);
}

TEST_F(TlsTest, ACertificateByAStrangerIsNone) {
  BuildWithTls();
  auto files = certificates.Make("other.example", "stranger");
  files.authorities =
      certificates.Make("own.example").authorities;  // it trusts the sidecar, not the other way
  const auto connection = Dial(files);
  if (connection != nullptr) {  // TLS 1.3 tells a client of it after its own handshake
    EXPECT_EQ(Greeting(connection, kHost), ResultCode::kNone);
  }
  // And a client that does not trust the sidecar's authority, or asks for another name, does not connect.
  EXPECT_EQ(Dial(certificates.Make("third.example", "stranger")), nullptr);
  EXPECT_EQ(Dial(certificates.Make(kHost), "n1.sidecars.example"), nullptr);
}

TEST_F(TlsTest, WhoHasToUseTlsIsTurnedAwayWithoutIt) {
  BuildWithTls();
  RawPeer peer(*world, Port(), kHost);
  EXPECT_FALSE(peer.Introduce());
  EXPECT_EQ(peer.Code(), ResultCode::kNoCommonSecurity);
}

TEST_F(TlsTest, ManyThatConnectAndShakeNoHandsShutNobodyOut) {
  BuildWithTls();
  std::vector<std::unique_ptr<Tcp::socket>> silent;
  for (int i = 0; i < 100; ++i) {
    silent.push_back(std::make_unique<Tcp::socket>(world->io));
    silent.back()->connect(sidecar->diameter()->downstream().address(1));
  }
  RawPeer peer(*world, Dial(certificates.Make(kHost)), kHost);
  EXPECT_TRUE(peer.Introduce());
}

TEST_F(TlsTest, AFileThatCannotBeUsedIsNamed) {
  boost::asio::io_context io;
  auto files = certificates.Make(kHost);
  files.key = certificates.Make("other.example").key;
  try {
    const diameter::Tls tls(io, files, {});
    ADD_FAILURE() << "taken";
  } catch (const std::invalid_argument& error) {
    EXPECT_NE(std::string(error.what()).find("other.example.key"), std::string::npos) << error.what();
  }
  files.certificate = "/nonexistent";
  EXPECT_THROW(diameter::Tls(io, files, {}), std::invalid_argument);
}

}  // namespace
}  // namespace merlinrun::rig
