// Diameter over TLS: peers without a certificate, or with that of another host or authority, are rejected.
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
    Replace(file, "tls = false", "tls = true");  // of the first client
    Build(1, {}, file);
  }
  // Connects with these certificates; null if it fails. `to`: expected name in the sidecar's certificate.
  diameter::ConnectionPtr Dial(const diameter::TlsFiles& files,
                               const std::string& to = "n0.sidecars.example") {
    const diameter::Tls tls(env->io, files, {});
    bool done = false;
    diameter::ConnectionPtr got;
    tls.Connector()(sidecar->diameter()->downstream().address(1), to,
                    [&](diameter::ConnectionPtr connection) {
                      done = true;
                      got = std::move(connection);
                    });
    EXPECT_TRUE(env->RunUntil([&] { return done; }));
    return got;
  }
  // Result code of the response to a CER from this host; kNone if the connection is closed without one.
  ResultCode HandshakeResult(const diameter::ConnectionPtr& connection, const std::string& host) {
    RawPeer peer(*env, connection, host);
    peer.Send(diameter::MakeCer(peer.identity));
    env->RunUntil([&] { return peer.ended || !peer.received.empty(); });
    return peer.received.empty() ? ResultCode::kNone : diameter::ResultCodeOf(peer.received[0]);
  }
  Certificates certificates;
};

TEST_F(TlsTest, ServesAClientWithAMatchingCertificate) {
  BuildWithTls();
  RawPeer peer(*env, Dial(certificates.Make(kHost)), kHost);
  ASSERT_TRUE(peer.ExchangeCapabilities());
  EXPECT_EQ(peer.Exchange(peer.Request("number-port", 1)), ResultCode::kSuccess);
  EXPECT_EQ(Violations(), "");
}

TEST_F(TlsTest, RejectsACertificateOfAnotherHost) {
  BuildWithTls();
  EXPECT_EQ(HandshakeResult(Dial(certificates.Make("backoffice-2.franchise.example")), kHost),
            ResultCode::kUnknownPeer);
}

TEST_F(TlsTest, RejectsACertificateOfAnUnknownAuthority) {
  BuildWithTls();
  auto files = certificates.Make("other.example", "stranger");
  files.authorities =
      certificates.Make("own.example").authorities;  // trusts the sidecar, but is not trusted by it
  const auto connection = Dial(files);
  if (connection != nullptr) {  // with TLS 1.3 the client learns of it after its handshake
    EXPECT_EQ(HandshakeResult(connection, kHost), ResultCode::kNone);
  }
  // Clients that don't trust the sidecar's authority or expect another name must not connect.
  EXPECT_EQ(Dial(certificates.Make("third.example", "stranger")), nullptr);
  EXPECT_EQ(Dial(certificates.Make(kHost), "n1.sidecars.example"), nullptr);
}

TEST_F(TlsTest, RejectsAPlaintextClientThatRequiresTls) {
  BuildWithTls();
  RawPeer peer(*env, DiameterEndpoint(), kHost);
  EXPECT_FALSE(peer.ExchangeCapabilities());
  EXPECT_EQ(peer.Code(), ResultCode::kNoCommonSecurity);
}

TEST_F(TlsTest, ConnectionsWithoutHandshakeDoNotBlockOthers) {
  BuildWithTls();
  std::vector<std::unique_ptr<Tcp::socket>> silent;
  for (int i = 0; i < 100; ++i) {
    silent.push_back(std::make_unique<Tcp::socket>(env->io));
    silent.back()->connect(sidecar->diameter()->downstream().address(1));
  }
  RawPeer peer(*env, Dial(certificates.Make(kHost)), kHost);
  EXPECT_TRUE(peer.ExchangeCapabilities());
}

TEST_F(TlsTest, AnUnusableFileIsNamedInTheError) {
  boost::asio::io_context io;
  auto files = certificates.Make(kHost);
  files.key = certificates.Make("other.example").key;
  try {
    const diameter::Tls tls(io, files, {});
    ADD_FAILURE() << "accepted";
  } catch (const std::invalid_argument& error) {
    EXPECT_NE(std::string(error.what()).find("other.example.key"), std::string::npos) << error.what();
  }
  files.certificate = "/nonexistent";
  EXPECT_THROW(diameter::Tls(io, files, {}), std::invalid_argument);
}

}  // namespace
}  // namespace merlinrun::rig
